#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <set>

#include "shallotproxy/process/base/boot_clock.hpp"
#include "shallotproxy/process/base/names.hpp"

namespace shallotproxy {

/// Detects workers that fail tasks which succeed on other workers.
///
/// The failure rate of a worker is compared with that of its peers. A limit on the number of
/// workers in quarantine keeps failures that all workers share from emptying the pool.
class Quarantine
{
public:
    /// Length of a worker's first quarantine. Each further one is twice as long.
    static constexpr Duration DefaultFirstDuration = std::chrono::minutes(5);

    explicit Quarantine(Duration firstDuration = DefaultFirstDuration)
        : m_firstDuration(firstDuration)
    { }

    auto workersChanged(const std::set<HostName> &workers) -> void;
    auto workerAdded(const HostName &worker) -> void { m_workers.try_emplace(worker); }
    auto workerRemoved(const HostName &worker) -> void { m_workers.erase(worker); }
    auto runSucceeded(const HostName &host, const TaskId &task) -> void;
    /// Records a failed run. A task that fails on several workers counts against none of them.
    auto runFailed(const HostName &host, const TaskId &task, BootTime now) -> void;
    /// Whether the worker gets no work now. After its quarantine it is on probation: if its next
    /// run fails, it is quarantined again.
    [[nodiscard]] auto isQuarantined(const HostName &host, BootTime now) const -> bool;
    [[nodiscard]] auto quarantinedCount(BootTime now) const -> std::size_t;

private:
    struct Outcome
    {
        TaskId task;
        bool isFailed = false;
    };

    struct Worker
    {
        /// The last outcomes, the newest at the back.
        std::deque<Outcome> outcomes;
        BootTime quarantinedUntil;
        /// Number of quarantines so far.
        std::uint32_t quarantineCount = 0;
    };

    auto addOutcome(Worker &worker, Outcome outcome) -> void;
    auto clearFailuresElsewhere(const HostName &failedNow, const TaskId &task) -> bool;
    [[nodiscard]] auto failureRate(const Worker &worker) const -> double;
    [[nodiscard]] auto peerFailureRate(const HostName &host) const -> double;
    [[nodiscard]] auto maxQuarantined() const -> std::size_t;

    Duration m_firstDuration;
    std::map<HostName, Worker> m_workers;
};

} // namespace shallotproxy
