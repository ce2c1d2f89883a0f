#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkReply>
#include <QUrl>

#include "shallotproxy/process/store/etcd_store.hpp"

namespace shallotproxy {

namespace {

auto toBase64Text(const std::string &bytes) -> QString
{
    return QString::fromLatin1(QByteArray::fromStdString(bytes).toBase64());
}

auto fromBase64Text(const QJsonValue &value) -> std::string
{
    return QByteArray::fromBase64(value.toString().toLatin1()).toStdString();
}

/// Parses a 64-bit number, which etcd writes as a JSON string and other servers as a JSON number.
auto integer(const QJsonValue &value) -> std::int64_t
{
    return value.isString() ? value.toString().toLongLong() : value.toInteger();
}

/// Returns the first key after all keys that start with `prefix`, for etcd's `range_end`.
auto prefixEnd(std::string prefix) -> std::string
{
    while (!prefix.empty()) {
        auto &last = prefix.back();
        if (static_cast<unsigned char>(last) != 0xff) {
            last = static_cast<char>(last + 1);
            return prefix;
        }
        prefix.pop_back();
    }
    return {'\0'};
}

struct OperationJson
{
    auto operator()(const StorePut &put) const -> QJsonObject
    {
        auto body = QJsonObject{{QStringLiteral("key"), toBase64Text(put.key)},
                                {QStringLiteral("value"), toBase64Text(put.value)}};
        if (put.lease != 0)
            body.insert(QStringLiteral("lease"), QString::number(put.lease));
        return {{QStringLiteral("request_put"), body}};
    }
    auto operator()(const StoreDelete &it) const -> QJsonObject
    {
        auto body = QJsonObject{{QStringLiteral("key"), toBase64Text(it.key)}};
        if (it.isPrefix)
            body.insert(QStringLiteral("range_end"), toBase64Text(prefixEnd(it.key)));
        return {{QStringLiteral("request_delete_range"), body}};
    }
    auto operator()(const StoreRange &range) const -> QJsonObject
    {
        auto body = QJsonObject{{QStringLiteral("key"), toBase64Text(range.key)}};
        if (range.isPrefix)
            body.insert(QStringLiteral("range_end"), toBase64Text(prefixEnd(range.key)));
        return {{QStringLiteral("request_range"), body}};
    }
};

auto operationsJson(const std::vector<StoreOperation> &operations) -> QJsonArray
{
    auto array = QJsonArray();
    for (const auto &it : operations)
        array.append(std::visit(OperationJson(), it));
    return array;
}

auto transactionJson(const StoreTransaction &transaction) -> QJsonObject
{
    auto compares = QJsonArray();
    for (const auto &it : transaction.compares) {
        compares.append(
            QJsonObject{{QStringLiteral("key"), toBase64Text(it.key)},
                        {QStringLiteral("target"), QStringLiteral("MOD")},
                        {QStringLiteral("result"), QStringLiteral("EQUAL")},
                        {QStringLiteral("mod_revision"), QString::number(it.revision)}});
    }
    return {{QStringLiteral("compare"), compares},
            {QStringLiteral("success"), operationsJson(transaction.onSuccess)},
            {QStringLiteral("failure"), operationsJson(transaction.onFailure)}};
}

auto parseRecords(const QJsonObject &range) -> std::vector<StoreRecord>
{
    auto records = std::vector<StoreRecord>();
    const auto array = range.value(QStringLiteral("kvs")).toArray();
    for (const auto &it : array) {
        const auto object = it.toObject();
        records.push_back({fromBase64Text(object.value(QStringLiteral("key"))),
                           fromBase64Text(object.value(QStringLiteral("value"))),
                           integer(object.value(QStringLiteral("mod_revision")))});
    }
    return records;
}

auto parseAnswer(const QByteArray &body) -> StoreReply
{
    const auto document = QJsonDocument::fromJson(body);
    if (!document.isObject()) {
        return tl::unexpected(
            StoreError{StoreError::Kind::Malformed, "the answer is not a JSON object"});
    }
    const auto root = document.object();
    auto answer = StoreAnswer();
    answer.hasSucceeded = root.value(QStringLiteral("succeeded")).toBool();
    answer.revision =
        integer(root.value(QStringLiteral("header")).toObject().value(QStringLiteral("revision")));
    const auto responses = root.value(QStringLiteral("responses")).toArray();
    for (const auto &it : responses) {
        const auto range = it.toObject().value(QStringLiteral("response_range"));
        if (range.isObject())
            answer.reads.push_back(parseRecords(range.toObject()));
    }
    // The answer to a keep-alive is a stream whose elements are wrapped in "result".
    const auto lease = root.contains(QStringLiteral("result"))
        ? root.value(QStringLiteral("result")).toObject()
        : root;
    answer.lease = integer(lease.value(QStringLiteral("ID")));
    answer.leaseSeconds = integer(lease.value(QStringLiteral("TTL")));
    return answer;
}

struct CallRequest
{
    const char *path;
    QJsonObject body;
};

struct CallJson
{
    auto operator()(const StoreTransaction &it) const -> CallRequest
    {
        return {"/v3/kv/txn", transactionJson(it)};
    }
    auto operator()(const StoreLeaseGrant &it) const -> CallRequest
    {
        return {"/v3/lease/grant", {{QStringLiteral("TTL"), QString::number(it.seconds)}}};
    }
    auto operator()(const StoreLeaseKeepAlive &it) const -> CallRequest
    {
        return {"/v3/lease/keepalive", {{QStringLiteral("ID"), QString::number(it.lease)}}};
    }
    auto operator()(const StoreLeaseRevoke &it) const -> CallRequest
    {
        return {"/v3/lease/revoke", {{QStringLiteral("ID"), QString::number(it.lease)}}};
    }
};

auto networkError(const QNetworkReply &reply) -> StoreError
{
    const auto status = reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    const auto detail = reply.errorString().toStdString();
    if (status >= 400)
        return {StoreError::Kind::Refused, detail};
    if (reply.error() == QNetworkReply::OperationCanceledError)
        return {StoreError::Kind::TimedOut, detail};
    return {StoreError::Kind::Unreachable, detail};
}

} // namespace

auto StoreError::name() const -> std::string_view
{
    switch (kind) {
    case Kind::Unreachable:
        return "store-unreachable";
    case Kind::TimedOut:
        return "store-timed-out";
    case Kind::Malformed:
        return "store-malformed-answer";
    case Kind::Refused:
        break;
    }
    return "store-refused";
}

auto StoreError::message() const -> std::string
{
    return std::string(name()) + ": " + detail;
}

EtcdStore::EtcdStore(std::string endpoint, std::chrono::milliseconds timeout)
    : m_endpoint(std::move(endpoint))
    , m_timeout(timeout)
{ }

// QNetworkAccessManager may send a request twice. Every write is a compare-and-swap, so a repeated
// one fails its compare. Every caller resolves a failed compare by reading back its writer id and
// so recognises that its own write succeeded.
auto EtcdStore::call(StoreCall call, StoreCallback callback) -> void
{
    const auto [path, body] = std::visit(CallJson(), call);
    const auto url = QStringLiteral("http://%1%2")
                         .arg(QString::fromStdString(m_endpoint), QString::fromLatin1(path));
    auto request = QNetworkRequest(QUrl(url));
    request.setHeader(QNetworkRequest::ContentTypeHeader, QStringLiteral("application/json"));
    request.setTransferTimeout(static_cast<int>(m_timeout.count()));
    auto *reply = m_manager.post(request, QJsonDocument(body).toJson(QJsonDocument::Compact));
    QObject::connect(reply, &QNetworkReply::finished, &m_manager,
                     [reply, callback = std::move(callback)] {
                         reply->deleteLater();
                         if (reply->error() != QNetworkReply::NoError) {
                             callback(tl::unexpected(networkError(*reply)));
                         } else {
                             callback(parseAnswer(reply->readAll()));
                         }
                     });
}

} // namespace shallotproxy
