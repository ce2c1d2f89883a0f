#include "maintenance_simulation.hpp"

#include <algorithm>
#include <chrono>

namespace shallotproxy::bench {

namespace {

constexpr double TickSeconds = 0.5;
constexpr double PublishSeconds = 1.5; // until a version is in force on all members
constexpr double InForceWaitSeconds = 5; // how long the driver waits for a version to be in force
constexpr double ReportAgeSeconds = 1; // age of a member's report of its running requests and tasks
constexpr double MaxRunSeconds = 40 * 3'600; // ends a job that does not complete

auto bootTime(double seconds) -> BootTime
{
    return BootTime(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)));
}

} // namespace

auto drawNeeds(const Configuration &configuration, std::uint32_t seed) -> HostNeeds
{
    constexpr double CheckpointSeconds = 4;
    constexpr double RequestSeconds = 5;
    constexpr double MaxRebootSeconds = 180;
    constexpr double MinRebootSeconds = 60;
    auto random = std::mt19937(seed);
    auto factor = std::uniform_real_distribution<double>(0.5, 4);
    auto reboot = std::uniform_real_distribution<double>(MinRebootSeconds, MaxRebootSeconds);
    auto needs = HostNeeds();
    for (const auto &[name, host] : configuration.hosts) {
        const auto declared = host.role == HostRole::Worker ? CheckpointSeconds : RequestSeconds;
        needs[name] = {declared * factor(random), reboot(random)};
    }
    return needs;
}

MaintenanceSimulation::MaintenanceSimulation(Configuration configuration, HostNeeds needs,
                                             DrainRule drainRule, double failingFraction,
                                             std::uint32_t seed)
    : m_configuration(std::make_shared<const Configuration>(std::move(configuration)))
    , m_needs(std::move(needs))
    , m_drainRule(drainRule)
{
    constexpr double MaxFailureSeconds = 600;
    constexpr double FailureWindowSeconds = 1'200; // seconds from the start
    auto random = std::mt19937(seed ^ 0x5eedU);
    auto uniform = std::uniform_real_distribution<double>(0, 1);
    for (const auto &[name, host] : m_configuration->hosts) {
        if (uniform(random) >= failingFraction)
            continue;
        const auto begin = uniform(random) * FailureWindowSeconds;
        m_failures.push_back({name, begin, begin + uniform(random) * MaxFailureSeconds});
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

// In each pool, no schedule is shorter than the time of the slowest host, nor than the sum of the
// times of all hosts divided by the number of hosts that the budget allows out of service at once.
// Failures can only lengthen the schedule.
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
    m_outcome.minMoves = first.waiting.size();
    for (const auto &name : first.waiting) {
        const auto &need = m_needs.at(name);
        m_outcome.neededSeconds +=
            need.drainSeconds + (first.kind == MaintenanceKind::Reboot ? need.rebootSeconds : 0);
    }
    notifyDriver();
    while (!m_configuration->maintenance.empty() && m_now < MaxRunSeconds) {
        m_now += TickSeconds;
        updateFailures();
        applyGrant();
        step(MaintenanceTick());
    }
    m_outcome.rollOutSeconds = m_now;
    m_outcome.moves = m_takenOut.size();
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
    notifyDriver();
}

auto MaintenanceSimulation::notifyDriver() -> void
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
    const auto secondsOut = m_now - m_outSince.at(host);
    const auto &declared = m_configuration->hosts.at(host);
    if (m_drainRule == DrainRule::Reported || declared.role == HostRole::Worker) {
        return secondsOut
            >= std::max(InForceWaitSeconds, m_needs.at(host).drainSeconds + ReportAgeSeconds);
    }
    return secondsOut >= InForceWaitSeconds + deadlineSeconds(declared);
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
    m_grantInForceAt = m_now + PublishSeconds;
    ++m_outcome.versions;
    if (!brokenBudgets(*m_configuration, action.next, m_failed).empty())
        ++m_outcome.brokenBudgets;
    for (const auto &[id, job] : action.next.maintenance) {
        for (const auto &it : job.active) {
            m_takenOut.insert(it.host);
            m_outSince.try_emplace(it.host, m_now);
        }
    }
    // A host that returns accepts work again once the version is in force.
    for (const auto &[id, job] : m_configuration->maintenance) {
        for (const auto &it : job.active) {
            const auto next = action.next.maintenance.find(id);
            const auto isStillOut = next != action.next.maintenance.end()
                && std::ranges::find(next->second.active, it.host, &ActiveHost::host)
                    != next->second.active.end();
            if (!isStillOut)
                m_outcome.outSeconds += m_grantInForceAt - m_outSince.at(it.host);
        }
    }
}

auto MaintenanceSimulation::applyGrant() -> void
{
    if (!m_granted || m_now < m_grantInForceAt)
        return;
    m_configuration = std::make_shared<const Configuration>(std::move(*m_granted));
    m_granted.reset();
    notifyDriver();
    step(GrantCompleted());
}

} // namespace shallotproxy::bench
