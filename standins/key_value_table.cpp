#include "key_value_table.hpp"

#include <QByteArray>
#include <QJsonArray>

namespace standin {

namespace {

using namespace Qt::StringLiterals;

constexpr std::int64_t MillisecondsPerSecond = 1'000;

auto decodeBase64(const QJsonValue &value) -> std::string
{
    return QByteArray::fromBase64(value.toString().toLatin1()).toStdString();
}

auto encodeBase64(const std::string &bytes) -> QString
{
    return QString::fromLatin1(QByteArray::fromStdString(bytes).toBase64());
}

auto int64Value(const QJsonValue &value) -> std::int64_t
{
    return value.isString() ? value.toString().toLongLong() : value.toInteger();
}

} // namespace

auto KeyValueTable::call(const std::string &path, const QJsonObject &body,
                         std::int64_t nowMilliseconds) -> QJsonObject
{
    expire(nowMilliseconds);
    const auto id = int64Value(body.value("ID"_L1));
    if (path == "/v3/kv/txn")
        return transaction(body);
    if (path == "/v3/lease/grant") {
        const auto lease = ++m_lastLease;
        const auto seconds = int64Value(body.value("TTL"_L1));
        m_leases[lease] = {seconds, nowMilliseconds + seconds * MillisecondsPerSecond};
        return {{u"header"_s, header()},
                {u"ID"_s, QString::number(lease)},
                {u"TTL"_s, QString::number(seconds)}};
    }
    if (path == "/v3/lease/keepalive") {
        const auto it = m_leases.find(id);
        auto result = QJsonObject{{u"header"_s, header()}, {u"ID"_s, QString::number(id)}};
        if (it != m_leases.end()) {
            it->second.expiresAt = nowMilliseconds + it->second.seconds * MillisecondsPerSecond;
            result.insert("TTL"_L1, QString::number(it->second.seconds));
        }
        return {{u"result"_s, result}};
    }
    if (path == "/v3/lease/revoke") {
        removeLease(id);
        return {{u"header"_s, header()}};
    }
    return {};
}

auto KeyValueTable::expire(std::int64_t now) -> void
{
    auto expired = std::vector<std::int64_t>();
    for (const auto &[id, lease] : m_leases) {
        if (now >= lease.expiresAt)
            expired.push_back(id);
    }
    for (const auto id : expired)
        removeLease(id);
}

auto KeyValueTable::removeLease(std::int64_t lease) -> void
{
    m_leases.erase(lease);
    const auto removedCount =
        std::erase_if(m_entries, [lease](const auto &it) { return it.second.lease == lease; });
    m_revision += removedCount > 0 ? 1 : 0;
}

auto KeyValueTable::transaction(const QJsonObject &body) -> QJsonObject
{
    auto isMatch = true;
    for (const auto &it : body.value("compare"_L1).toArray()) {
        const auto compare = it.toObject();
        const auto entry = m_entries.find(decodeBase64(compare.value("key"_L1)));
        const auto revision = entry == m_entries.end() ? 0 : entry->second.revision;
        isMatch = isMatch && revision == int64Value(compare.value("mod_revision"_L1));
    }
    const auto operations = body.value(isMatch ? "success"_L1 : "failure"_L1).toArray();
    auto isWrite = false;
    for (const auto &it : operations)
        isWrite = isWrite || !it.toObject().contains("request_range"_L1);
    m_revision += isWrite ? 1 : 0;
    auto responses = QJsonArray();
    for (const auto &it : operations) {
        const auto operation = it.toObject();
        if (operation.contains("request_put"_L1)) {
            put(operation.value("request_put"_L1).toObject());
            responses.append(QJsonObject{{u"response_put"_s, QJsonObject()}});
        } else if (operation.contains("request_range"_L1)) {
            const auto result = range(operation.value("request_range"_L1).toObject());
            responses.append(QJsonObject{{u"response_range"_s, result}});
        } else {
            remove(operation.value("request_delete_range"_L1).toObject());
            responses.append(QJsonObject{{u"response_delete_range"_s, QJsonObject()}});
        }
    }
    return {{u"header"_s, header()}, {u"succeeded"_s, isMatch}, {u"responses"_s, responses}};
}

auto KeyValueTable::range(const QJsonObject &body) const -> QJsonObject
{
    const auto key = decodeBase64(body.value("key"_L1));
    const auto end = decodeBase64(body.value("range_end"_L1));
    auto records = QJsonArray();
    for (auto it = m_entries.lower_bound(key); it != m_entries.end(); ++it) {
        if (end.empty() ? it->first != key : it->first >= end)
            break;
        records.append(QJsonObject{{u"key"_s, encodeBase64(it->first)},
                                   {u"value"_s, encodeBase64(it->second.value)},
                                   {u"mod_revision"_s, QString::number(it->second.revision)}});
    }
    return {{u"kvs"_s, records}, {u"count"_s, QString::number(records.size())}};
}

auto KeyValueTable::put(const QJsonObject &body) -> void
{
    const auto lease = int64Value(body.value("lease"_L1));
    if (lease != 0 && !m_leases.contains(lease))
        return;
    m_entries[decodeBase64(body.value("key"_L1))] = {decodeBase64(body.value("value"_L1)),
                                                     m_revision, lease};
}

auto KeyValueTable::remove(const QJsonObject &body) -> void
{
    const auto key = decodeBase64(body.value("key"_L1));
    const auto end = decodeBase64(body.value("range_end"_L1));
    if (end.empty()) {
        m_entries.erase(key);
    } else {
        m_entries.erase(m_entries.lower_bound(key), m_entries.lower_bound(end));
    }
}

auto KeyValueTable::header() const -> QJsonObject
{
    return {{u"revision"_s, QString::number(m_revision)}};
}

} // namespace standin
