#include "shallotproxy/job/quarantine.hpp"

#include <algorithm>

namespace shallotproxy {

namespace {

// Number of runs over which the failure rate of a worker is computed.
constexpr std::size_t WindowSize = 8;
constexpr std::size_t MinFailures = 3;
constexpr double MinFailureRate = 0.6;
// Minimum ratio of the failure rate to that of the other workers.
constexpr double MinPeerRatio = 2;
// At most one in this many workers is quarantined.
constexpr std::size_t WorkersPerQuarantined = 5;
// With fewer workers none is quarantined.
constexpr std::size_t MinWorkers = 3;
// Limits the growth of the length of quarantines.
constexpr std::uint32_t MaxDoublings = 4;

} // namespace

auto Quarantine::workersChanged(const std::set<HostName> &workers) -> void
{
    std::erase_if(m_workers, [&workers](const auto &it) { return !workers.contains(it.first); });
    for (const auto &it : workers)
        m_workers.try_emplace(it);
}

auto Quarantine::addOutcome(Worker &worker, Outcome outcome) -> void
{
    worker.outcomes.push_back(std::move(outcome));
    if (worker.outcomes.size() > WindowSize)
        worker.outcomes.pop_front();
}

auto Quarantine::runSucceeded(const HostName &host, const TaskId &task) -> void
{
    const auto it = m_workers.find(host);
    if (it != m_workers.end())
        addOutcome(it->second, {task, false});
}

/// Drops the failures of a task on other workers and returns whether there were any. A task that
/// fails on a second worker is more likely the cause than either worker.
auto Quarantine::clearFailuresElsewhere(const HostName &failedNow, const TaskId &task) -> bool
{
    auto hasFailedElsewhere = false;
    for (auto &[name, worker] : m_workers) {
        if (name == failedNow)
            continue;
        const auto n = std::erase_if(
            worker.outcomes, [&task](const Outcome &it) { return it.isFailed && it.task == task; });
        hasFailedElsewhere = hasFailedElsewhere || n > 0;
    }
    return hasFailedElsewhere;
}

auto Quarantine::runFailed(const HostName &host, const TaskId &task, BootTime now) -> void
{
    const auto it = m_workers.find(host);
    if (it == m_workers.end() || isQuarantined(host, now))
        return;
    auto &worker = it->second;
    const auto isPeerQuarantined = quarantinedCount(now) > 0;
    // The failures of a quarantined worker are its own and don't excuse those of this worker.
    if (!isPeerQuarantined && clearFailuresElsewhere(host, task))
        return;
    addOutcome(worker, {task, true});
    const auto failures = std::ranges::count_if(worker.outcomes, &Outcome::isFailed);
    const auto isOnProbation = worker.quarantineCount > 0 && worker.outcomes.size() == 1;
    const auto rate = failureRate(worker);
    const auto isBad = static_cast<std::size_t>(failures) >= MinFailures && rate >= MinFailureRate
        && rate >= MinPeerRatio * peerFailureRate(host);
    if ((!isBad && !isOnProbation) || quarantinedCount(now) >= maxQuarantined())
        return;
    const auto doublings = std::min(worker.quarantineCount, MaxDoublings);
    worker.quarantinedUntil = now + m_firstDuration * (1U << doublings);
    worker.outcomes.clear();
    ++worker.quarantineCount;
}

auto Quarantine::isQuarantined(const HostName &host, BootTime now) const -> bool
{
    const auto it = m_workers.find(host);
    return it != m_workers.end() && it->second.quarantineCount > 0
        && now < it->second.quarantinedUntil;
}

auto Quarantine::quarantinedCount(BootTime now) const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_workers, [this, now](const auto &it) { return isQuarantined(it.first, now); }));
}

auto Quarantine::failureRate(const Worker &worker) const -> double
{
    if (worker.outcomes.empty())
        return 0;
    const auto failures = std::ranges::count_if(worker.outcomes, &Outcome::isFailed);
    return static_cast<double>(failures) / static_cast<double>(worker.outcomes.size());
}

auto Quarantine::peerFailureRate(const HostName &host) const -> double
{
    auto failures = 0.0;
    auto runs = 0.0;
    for (const auto &[name, worker] : m_workers) {
        if (name == host)
            continue;
        failures += static_cast<double>(std::ranges::count_if(worker.outcomes, &Outcome::isFailed));
        runs += static_cast<double>(worker.outcomes.size());
    }
    return runs == 0 ? 0 : failures / runs;
}

auto Quarantine::maxQuarantined() const -> std::size_t
{
    if (m_workers.size() < MinWorkers)
        return 0;
    return std::max<std::size_t>(1, m_workers.size() / WorkersPerQuarantined);
}

} // namespace shallotproxy
