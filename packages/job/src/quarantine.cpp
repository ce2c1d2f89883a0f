#include "shallotproxy/job/quarantine.hpp"

#include <algorithm>

namespace shallotproxy {

namespace {

constexpr std::size_t WindowRuns = 8;
constexpr std::size_t EnoughFailures = 3;
constexpr double BadRate = 0.6;
constexpr double PeerFactor = 2;
constexpr std::size_t HostsPerHeld = 5; // at most one in five is held
constexpr std::size_t SmallestPool = 3;
constexpr std::uint32_t MostDoublings = 4;

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
    if (worker.outcomes.size() > WindowRuns)
        worker.outcomes.pop_front();
}

auto Quarantine::runSucceeded(const HostName &host, const TaskId &task) -> void
{
    const auto it = m_workers.find(host);
    if (it != m_workers.end())
        addOutcome(it->second, {task, false});
}

// A task that fails on a second worker says more about the task than about either worker.
auto Quarantine::forgive(const HostName &failedNow, const TaskId &task) -> bool
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
    const auto peerHeld = quarantinedCount(now) > 0;
    // A held worker's failures are its own: they don't excuse the next worker.
    if (!peerHeld && forgive(host, task))
        return;
    addOutcome(worker, {task, true});
    const auto failures = std::ranges::count_if(worker.outcomes, &Outcome::isFailed);
    const auto isOnProbation = worker.times > 0 && worker.outcomes.size() == 1;
    const auto rate = failureRate(worker);
    const auto isBad = static_cast<std::size_t>(failures) >= EnoughFailures && rate >= BadRate
        && rate >= PeerFactor * peerFailureRate(host);
    if ((!isBad && !isOnProbation) || quarantinedCount(now) >= capacity())
        return;
    const auto doublings = std::min(worker.times, MostDoublings);
    worker.heldUntil = now + m_firstHold * (1U << doublings);
    worker.outcomes.clear();
    ++worker.times;
}

auto Quarantine::isQuarantined(const HostName &host, BootTime now) const -> bool
{
    const auto it = m_workers.find(host);
    return it != m_workers.end() && it->second.times > 0 && now < it->second.heldUntil;
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

auto Quarantine::capacity() const -> std::size_t
{
    if (m_workers.size() < SmallestPool)
        return 0;
    return std::max<std::size_t>(1, m_workers.size() / HostsPerHeld);
}

} // namespace shallotproxy
