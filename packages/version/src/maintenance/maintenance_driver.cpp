#include "shallotproxy/version/maintenance/maintenance_driver.hpp"

#include <chrono>

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr Duration HostPollInterval = 1s; // between checks or reboot requests for one host
constexpr Duration GrantInterval = 500ms; // batches hosts that finish at about the same time

} // namespace

auto MaintenanceDriver::step(const MaintenanceEvent &event, BootTime now)
    -> std::vector<MaintenanceAction>
{
    m_now = now;
    m_actions.clear();
    std::visit([this](const auto &it) { handle(it); }, event);
    return std::move(m_actions);
}

auto MaintenanceDriver::handle(const MaintenanceChanged &event) -> void
{
    m_state = event;
    syncActiveSteps();
}

/// Keeps the steps of hosts that are still active for a job that this driver drives. Other hosts
/// start with the first step.
auto MaintenanceDriver::syncActiveSteps() -> void
{
    auto active = std::map<HostKey, ActiveStep>();
    if (m_state.configuration) {
        for (const auto &[id, job] : m_state.configuration->maintenance) {
            if (!m_state.driven.contains(id))
                continue;
            for (const auto &it : job.active) {
                const auto key = HostKey(id, it.host);
                const auto previous = m_active.find(key);
                active[key] = previous == m_active.end() ? ActiveStep() : previous->second;
            }
        }
    }
    m_active = std::move(active);
}

auto MaintenanceDriver::handle(const HostDrained &event) -> void
{
    const auto it = m_active.find({event.job, event.host});
    if (it == m_active.end() || it->second.step != Step::Draining)
        return;
    const auto &job = m_state.configuration->maintenance.at(event.job);
    it->second.step = job.kind == MaintenanceKind::Reboot ? Step::Rebooting : Step::Finished;
    it->second.nextPoll = m_now;
}

auto MaintenanceDriver::handle(const HostRebooted &event) -> void
{
    const auto it = m_active.find({event.job, event.host});
    if (it != m_active.end() && it->second.step == Step::Rebooting)
        it->second.step = Step::Finished;
}

auto MaintenanceDriver::handle(const GrantCompleted & /*event*/) -> void
{
    m_isGrantPending = false;
    m_nextGrant = m_now + GrantInterval;
}

auto MaintenanceDriver::handle(const MaintenanceTick & /*event*/) -> void
{
    pollHosts();
    grant();
}

auto MaintenanceDriver::pollHosts() -> void
{
    for (auto &[key, active] : m_active) {
        if (active.step == Step::Finished || m_now < active.nextPoll)
            continue;
        active.nextPoll = m_now + HostPollInterval;
        if (active.step == Step::Draining) {
            m_actions.emplace_back(WatchDrain{key.first, key.second});
        } else {
            m_actions.emplace_back(RebootHost{key.first, key.second});
        }
    }
}

auto MaintenanceDriver::finishedHosts() const -> std::vector<FinishedHosts>
{
    auto jobs = std::map<IntentId, FinishedHosts>();
    for (const auto &[key, active] : m_active) {
        if (active.step != Step::Finished)
            continue;
        auto &job = jobs[key.first];
        job.job = key.first;
        job.hosts.insert(key.second);
    }
    auto list = std::vector<FinishedHosts>();
    for (auto &[id, job] : jobs)
        list.push_back(std::move(job));
    return list;
}

auto MaintenanceDriver::grant() -> void
{
    if (m_isGrantPending || m_state.driven.empty() || m_now < m_nextGrant)
        return;
    auto next = advanceMaintenance(*m_state.configuration, m_state.failed, finishedHosts());
    if (!next)
        return;
    m_isGrantPending = true;
    m_actions.emplace_back(GrantWave{std::move(*next)});
}

} // namespace shallotproxy
