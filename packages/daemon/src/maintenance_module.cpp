#include "maintenance_module.hpp"

#include <algorithm>
#include <chrono>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include "shallotproxy/request.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;
using namespace Qt::StringLiterals;

constexpr auto MaintenanceLog = Log("maintenance");
constexpr Duration ListInterval = 2s;

} // namespace

MaintenanceModule::MaintenanceModule(ControlContext &context, ConfigurationModule &configuration)
    : m_context(context)
    , m_configuration(configuration)
{ }

auto MaintenanceModule::tick(BootTime now) -> void
{
    readHostList(now);
    if (m_context.isFresh() && !m_isDraining)
        step(MaintenanceTick());
}

auto MaintenanceModule::drain() -> void
{
    m_isDraining = true;
}

auto MaintenanceModule::configurationChanged() -> void
{
    updateDrains();
    notifyDriver();
}

auto MaintenanceModule::membersChanged() -> void
{
    updateDrains();
    notifyDriver();
}

auto MaintenanceModule::readHostList(BootTime now) -> void
{
    const auto &endpoint = m_context.process.settings.platformEndpoint;
    if (endpoint.empty() || m_isReadingList || now < m_nextList)
        return;
    m_isReadingList = true;
    m_nextList = now + ListInterval;
    m_context.platform({endpoint, "/hosts", ""}, [this](const PlatformReply &reply) {
        m_isReadingList = false;
        if (reply)
            applyHostList(*reply);
    });
}

auto MaintenanceModule::applyHostList(const std::string &json) -> void
{
    if (!m_context.configuration)
        return;
    auto unavailable = std::set<std::string>();
    const auto document = QJsonDocument::fromJson(QByteArray::fromStdString(json));
    const auto list = document.object().value("hosts"_L1).toArray();
    for (const auto &it : list) {
        const auto host = it.toObject();
        if (host.value("state"_L1).toString() != u"live"_s)
            unavailable.insert(host.value("address"_L1).toString().toStdString());
    }
    auto failed = HostSet();
    for (const auto &[name, host] : m_context.configuration->hosts) {
        if (unavailable.contains(host.address))
            failed.insert(name);
    }
    if (failed == m_context.failedHosts)
        return;
    m_context.failedHosts = std::move(failed);
    m_context.record("hosts.unavailable", std::to_string(m_context.failedHosts.size()));
    notifyDriver();
}

auto MaintenanceModule::memberNames() const -> std::vector<MemberName>
{
    auto names = std::vector<MemberName>();
    for (const auto &[name, member] : m_context.members)
        names.push_back(name);
    return names;
}

auto MaintenanceModule::updateDrains() -> void
{
    if (m_context.configuration)
        m_drains.applyConfiguration(*m_context.configuration, memberNames(), BootClock::now());
}

auto MaintenanceModule::receive(const PeerEnvelope &envelope, BootTime /*now*/) -> void
{
    if (const auto *query = std::get_if<DrainQuery>(&envelope.message))
        answerQuery(envelope.from.member, *query);
    if (const auto *answer = std::get_if<DrainAnswer>(&envelope.message)) {
        m_drains.applyReply(envelope.from.member, answer->version,
                            {answer->hosts.begin(), answer->hosts.end()},
                            {answer->busy.begin(), answer->busy.end()});
    }
}

auto MaintenanceModule::answerQuery(const MemberName &from, const DrainQuery &query) -> void
{
    auto answer = DrainAnswer{m_context.servedVersion, query.hosts, {}};
    for (const auto &it : query.hosts) {
        if (m_context.busyHosts.contains(it))
            answer.busy.push_back(it);
    }
    m_context.send(from, std::move(answer));
}

auto MaintenanceModule::queryMembers(const HostName &host) -> void
{
    const auto &self = m_context.process.self.member;
    for (const auto &member : m_drains.pendingMembers(host)) {
        if (member == self) {
            m_drains.applyReply(self, m_context.servedVersion, {host}, m_context.busyHosts);
        } else if (m_context.members.contains(member)) {
            m_context.send(member, DrainQuery{{host}});
        }
    }
}

auto MaintenanceModule::notifyDriver() -> void
{
    if (!m_context.configuration)
        return;
    const auto members = memberNames();
    auto changed = MaintenanceChanged{m_context.configuration, m_context.failedHosts, {}};
    for (const auto &[id, job] : m_context.configuration->maintenance) {
        if (stewardOf("maintenance/" + id.value(), members) == m_context.process.self.member)
            changed.driven.insert(id);
    }
    step(changed);
}

auto MaintenanceModule::step(const MaintenanceEvent &event) -> void
{
    const auto actions = m_driver.step(event, BootClock::now());
    for (const auto &action : actions)
        std::visit([this](const auto &it) { perform(it); }, action);
}

auto MaintenanceModule::maxRequestDuration(const Host &host) const -> Duration
{
    auto deadline = std::uint32_t{0};
    for (const auto &[name, queue] : m_context.configuration->queues) {
        if (host.role == HostRole::Target && queue.pool == host.pool)
            deadline = std::max(deadline, queue.deadlineMilliseconds);
    }
    return std::chrono::milliseconds(deadline);
}

auto MaintenanceModule::perform(const WatchDrain &action) -> void
{
    const auto &hosts = m_context.configuration->hosts;
    const auto host = hosts.find(action.host);
    if (host == hosts.end())
        return;
    if (host->second.role == HostRole::Target)
        queryMembers(action.host);
    if (!m_drains.isDrained(action.host, maxRequestDuration(host->second), BootClock::now()))
        return;
    if (host->second.role == HostRole::Worker) {
        readTasksOnHost(action, host->second.pool);
    } else {
        step(HostDrained{action.job, action.host});
    }
}

// A placement is written before the run's start is sent, and no placement can be made from an older
// version once this one is applied. So a read from now on shows every run that the worker may have.
auto MaintenanceModule::readTasksOnHost(const WatchDrain &action, const PoolName &pool) -> void
{
    auto transaction = StoreTransaction();
    transaction.onSuccess.emplace_back(StoreRange{m_context.key(taskPrefix(pool)), true});
    m_context.store(std::move(transaction), [this, action](const StoreReply &reply) {
        if (!reply)
            return;
        const auto isOnHost = [&action](const StoreRecord &it) {
            const auto record = unpackTask(it.value);
            return !record || record->host == action.host;
        };
        if (std::ranges::none_of(reply->reads.front(), isOnHost))
            step(HostDrained{action.job, action.host});
    });
}

auto MaintenanceModule::perform(const RebootHost &action) -> void
{
    const auto &endpoint = m_context.process.settings.platformEndpoint;
    const auto host = m_context.configuration->hosts.find(action.host);
    if (host == m_context.configuration->hosts.end())
        return;
    if (endpoint.empty()) {
        MaintenanceLog.warning("no platform endpoint in the settings: host {} can't be rebooted",
                               action.host.value());
        return;
    }
    m_context.record("host.reboot", action.host.value(), {{"intent", action.job.value()}});
    const auto rebootRequest = QJsonObject{{u"address"_s, toQString(host->second.address)},
                                           {u"operation"_s, toQString(action.job.value())}};
    auto body = QJsonDocument(rebootRequest).toJson(QJsonDocument::Compact).toStdString();
    m_context.platform(
        {endpoint, "/hosts/reboot", std::move(body)}, [this, action](const PlatformReply &reply) {
            if (!reply)
                return;
            const auto answer = QJsonDocument::fromJson(QByteArray::fromStdString(*reply)).object();
            if (answer.value("state"_L1).toString() == u"done"_s)
                step(HostRebooted{action.job, action.host});
        });
}

auto MaintenanceModule::perform(const GrantWave &action) -> void
{
    const auto subject = std::to_string(action.next.version);
    m_context.record("maintenance.grant", subject);
    m_configuration.publish(action.next, [this, subject](PublishOutcome outcome) {
        const auto isApplied = outcome == PublishOutcome::Applied;
        m_context.record(isApplied ? "maintenance.granted" : "maintenance.not-granted", subject);
        step(GrantCompleted());
    });
}

} // namespace shallotproxy
