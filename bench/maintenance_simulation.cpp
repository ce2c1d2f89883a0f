#include "maintenance_simulation.hpp"

#include <algorithm>
#include <chrono>

namespace shallotproxy::bench {

namespace {

constexpr double TickSeconds = 0.5;
constexpr double PublishSeconds = 1.5; // until a version is in force on every member
constexpr double ForceSeconds = 5; // that the driver waits for it to be in force
constexpr double ReportSeconds = 1; // age of a member's report of what it runs
constexpr double LongestRun = 40 * 3'600;

auto bootTime(double seconds) -> BootTime
{
    return BootTime(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)));
}

} // namespace

auto drawNeeds(const Configuration &configuration, std::uint32_t seed) -> HostNeeds
{
    constexpr double CheckpointSeconds = 4;
    constexpr double RequestSeconds = 5;
    constexpr double SlowestReboot = 180;
    constexpr double FastestReboot = 60;
    auto random = std::mt19937(seed);
    auto factor = std::uniform_real_distribution<double>(0.5, 4);
    auto reboot = std::uniform_real_distribution<double>(FastestReboot, SlowestReboot);
    auto needs = HostNeeds();
    for (const auto &[name, host] : configuration.hosts) {
        const auto declared = host.role == HostRole::Worker ? CheckpointSeconds : RequestSeconds;
        needs[name] = {declared * factor(random), reboot(random)};
    }
    return needs;
}

MaintenanceSimulation::MaintenanceSimulation(Configuration configuration, HostNeeds needs,
                                             DrainRule rule, double selfFailing, std::uint32_t seed)
    : m_configuration(std::make_shared<const Configuration>(std::move(configuration)))
    , m_needs(std::move(needs))
    , m_rule(rule)
{
    constexpr double LongestFailure = 600;
    constexpr double FailureWindow = 1'200; // seconds from the start
    auto random = std::mt19937(seed ^ 0x5eedU);
    auto draw = std::uniform_real_distribution<double>(0, 1);
    for (const auto &[name, host] : m_configuration->hosts) {
        if (draw(random) >= selfFailing)
            continue;
        const auto begin = draw(random) * FailureWindow;
        m_failures.push_back({name, begin, begin + draw(random) * LongestFailure});
    }
}

auto MaintenanceSimulation::deadlineSeconds(const Host &host) const -> double
{
    constexpr double MillisecondsPerSecond = 1'000;
    auto deadline = std::uint32_t{0};
    for (const auto &[name, queue] : m_configuration->queues) {
        if (queue.pool == host.pool)
            deadline = std::max(deadline, queue.deadlineMilliseconds);
    }
    return deadline / MillisecondsPerSecond;
}

// Per pool: no schedule beats the time of its longest host, nor the sum of all its hosts' times
// spread evenly over as many hosts as the budget lets out at once. Failures only add to it.
auto MaintenanceSimulation::lowerBound(const MaintenanceJob &job) const -> double
{
    auto sum = std::map<PoolName, double>();
    auto bound = 0.0;
    for (const auto &name : job.waiting) {
        const auto &need = m_needs.at(name);
        const auto reboot = job.kind == MaintenanceKind::Reboot ? need.rebootSeconds : 0;
        sum[m_configuration->hosts.at(name).pool] += need.drainSeconds + reboot;
        bound = std::max(bound, need.drainSeconds + reboot);
    }
    for (const auto &[pool, seconds] : sum)
        bound = std::max(bound, seconds / m_configuration->pools.at(pool).maxUnavailable);
    return bound;
}

auto MaintenanceSimulation::run(const IntentId &job) -> Outcome
{
    const auto first = m_configuration->maintenance.at(job);
    m_outcome.lowerBoundSeconds = lowerBound(first);
    m_outcome.fewestMoves = first.waiting.size();
    for (const auto &name : first.waiting) {
        const auto &need = m_needs.at(name);
        m_outcome.neededSeconds +=
            need.drainSeconds + (first.kind == MaintenanceKind::Reboot ? need.rebootSeconds : 0);
    }
    tellDriver();
    while (!m_configuration->maintenance.empty() && m_now < LongestRun) {
        m_now += TickSeconds;
        updateFailures();
        applyGrant();
        step(MaintenanceTick());
    }
    m_outcome.rollOutSeconds = m_now;
    m_outcome.moves = m_taken.size();
    return m_outcome;
}

auto MaintenanceSimulation::updateFailures() -> void
{
    auto failed = HostSet();
    for (const auto &it : m_failures) {
        if (m_now >= it.begin && m_now < it.end)
            failed.insert(it.host);
    }
    if (failed == m_failed)
        return;
    m_failed = std::move(failed);
    tellDriver();
}

auto MaintenanceSimulation::tellDriver() -> void
{
    auto changed = MaintenanceChanged{m_configuration, m_failed, {}};
    for (const auto &[id, job] : m_configuration->maintenance)
        changed.driven.insert(id);
    step(changed);
}

auto MaintenanceSimulation::step(const MaintenanceEvent &event) -> void
{
    const auto actions = m_driver.step(event, bootTime(m_now));
    for (const auto &action : actions)
        std::visit([this](const auto &it) { perform(it); }, action);
}

auto MaintenanceSimulation::isEmpty(const HostName &host) const -> bool
{
    const auto out = m_now - m_outSince.at(host);
    const auto &declared = m_configuration->hosts.at(host);
    if (m_rule == DrainRule::Reported || declared.role == HostRole::Worker)
        return out >= std::max(ForceSeconds, m_needs.at(host).drainSeconds + ReportSeconds);
    return out >= ForceSeconds + deadlineSeconds(declared);
}

auto MaintenanceSimulation::perform(const WatchDrain &action) -> void
{
    if (isEmpty(action.host))
        step(HostDrained{action.job, action.host});
}

auto MaintenanceSimulation::perform(const RebootHost &action) -> void
{
    const auto end = m_now + m_needs.at(action.host).rebootSeconds;
    const auto it = m_rebootEnd.try_emplace(action.host, end).first;
    if (m_now >= it->second)
        step(HostRebooted{action.job, action.host});
}

auto MaintenanceSimulation::perform(const GrantWave &action) -> void
{
    m_granted = action.next;
    m_grantAt = m_now + PublishSeconds;
    ++m_outcome.versions;
    if (!brokenBudgets(*m_configuration, action.next, m_failed).empty())
        ++m_outcome.brokenBudgets;
    for (const auto &[id, job] : action.next.maintenance) {
        for (const auto &it : job.active) {
            m_taken.insert(it.host);
            m_outSince.try_emplace(it.host, m_now);
        }
    }
    // A host that is back serves again once the version is in force.
    for (const auto &[id, job] : m_configuration->maintenance) {
        for (const auto &it : job.active) {
            const auto next = action.next.maintenance.find(id);
            const auto isStillOut = next != action.next.maintenance.end()
                && std::ranges::find(next->second.active, it.host, &ActiveHost::host)
                    != next->second.active.end();
            if (!isStillOut)
                m_outcome.outSeconds += m_grantAt - m_outSince.at(it.host);
        }
    }
}

auto MaintenanceSimulation::applyGrant() -> void
{
    if (!m_granted || m_now < m_grantAt)
        return;
    m_configuration = std::make_shared<const Configuration>(std::move(*m_granted));
    m_granted.reset();
    tellDriver();
    step(GrantCompleted());
}

} // namespace shallotproxy::bench
