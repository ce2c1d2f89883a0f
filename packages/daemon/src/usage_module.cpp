#include "usage_module.hpp"

#include <chrono>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include "shallotproxy/process/base/record_codec.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;
using namespace Qt::StringLiterals;

/// A crash loses at most the usage of this interval and of a store outage before it.
constexpr Duration WriteInterval = 10s;
constexpr std::string_view UsagePrefix = "usage/";
constexpr unsigned Ok = 200;
constexpr unsigned Unavailable = 503;
constexpr auto MicrosecondsPerSecond = 1e6;

auto usageJson(const TeamName &team, const TeamUsage &usage) -> QJsonObject
{
    const auto seconds = static_cast<double>(usage.slotMicroseconds) / MicrosecondsPerSecond;
    return {{u"team"_s, toQString(team.value())},
            {u"slotSeconds"_s, seconds},
            {u"requests"_s, static_cast<qint64>(usage.requests)},
            {u"tasks"_s, static_cast<qint64>(usage.tasks)}};
}

auto textOf(const QJsonObject &json) -> std::string
{
    return QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace

UsageModule::UsageModule(ControlContext &context)
    : m_context(context)
{ }

auto UsageModule::tick(BootTime now) -> void
{
    if (now < m_nextWrite || m_isWriting || m_context.usage == m_written)
        return;
    m_nextWrite = now + WriteInterval;
    write();
}

auto UsageModule::drain() -> void
{
    write();
}

// Only this incarnation writes this record, and each write contains the totals so far. Repeated or
// late writes do no harm, so no compare is needed.
auto UsageModule::write() -> void
{
    const auto &self = m_context.process.self;
    const auto suffix = fmt::format("{}{}.{}", UsagePrefix, self.member.value(), self.number);
    auto transaction = StoreTransaction();
    transaction.onSuccess.emplace_back(
        StorePut{m_context.key(suffix), packRecord(UsageRecord{self, m_context.usage}), 0});
    m_isWriting = true;
    m_context.store(std::move(transaction),
                    [this, usage = m_context.usage](const StoreReply &reply) {
                        m_isWriting = false;
                        if (reply)
                            m_written = usage;
                    });
}

auto UsageModule::handle(const ControlCall &call) -> bool
{
    if (call.request.path != "/usage" || call.request.method != "GET")
        return false;
    auto transaction = StoreTransaction();
    transaction.onSuccess.emplace_back(StoreRange{m_context.key(UsagePrefix), true});
    m_context.store(std::move(transaction),
                    [this, call](const StoreReply &reply) { answer(call, reply); });
    return true;
}

auto UsageModule::answer(const ControlCall &call, const StoreReply &reply) -> void
{
    if (!reply || reply->reads.size() != 1) {
        const auto error = reply ? StoreError{StoreError::Kind::Malformed, ""} : reply.error();
        const auto body =
            QJsonObject{{u"error"_s, error.number()}, {u"name"_s, toQString(error.name())}};
        m_context.reply(call, jsonResponse(Unavailable, textOf(body)));
        return;
    }
    auto sum = UsageSum();
    for (const auto &it : reply->reads[0]) {
        if (const auto record = unpackRecord<UsageRecord>(it.value))
            sum.add(*record);
    }
    sum.add({m_context.process.self, m_context.usage});
    const auto total = sum.total();
    if (call.source == CallSource::Callers) {
        const auto own = total.find(call.team);
        const auto usage = own == total.end() ? TeamUsage() : own->second;
        m_context.reply(call, jsonResponse(Ok, textOf(usageJson(call.team, usage))));
        return;
    }
    auto teams = QJsonArray();
    for (const auto &[team, usage] : total)
        teams.append(usageJson(team, usage));
    m_context.reply(call, jsonResponse(Ok, textOf({{u"teams"_s, teams}})));
}

} // namespace shallotproxy
