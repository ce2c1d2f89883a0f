#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <set>

#include "shallotproxy/process/base/boot_clock.hpp"
#include "shallotproxy/process/base/names.hpp"

namespace shallotproxy {

/// Finds workers that fail what others run well. A worker is judged against its peers, and a cap
/// keeps failures that they share from emptying the pool.
class Quarantine
{
public:
    /// How long a worker is held the first time; each further time it is twice as long.
    static constexpr Duration DefaultFirstHold = std::chrono::minutes(5);

    explicit Quarantine(Duration firstHold = DefaultFirstHold)
        : m_firstHold(firstHold)
    { }

    auto workersChanged(const std::set<HostName> &workers) -> void;
    auto runSucceeded(const HostName &host, const TaskId &task) -> void;
    /// A task that fails on several workers is held against none of them.
    auto runFailed(const HostName &host, const TaskId &task, BootTime now) -> void;
    /// Whether the worker gets no work now. After its time it is let back on probation.
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
        std::deque<Outcome> outcomes; // newest last
        BootTime heldUntil;
        std::uint32_t times = 0; // how often it was held
    };

    auto addOutcome(Worker &worker, Outcome outcome) -> void;
    auto forgive(const HostName &failedNow, const TaskId &task) -> bool;
    [[nodiscard]] auto failureRate(const Worker &worker) const -> double;
    [[nodiscard]] auto peerFailureRate(const HostName &host) const -> double;
    [[nodiscard]] auto capacity() const -> std::size_t;

    Duration m_firstHold;
    std::map<HostName, Worker> m_workers;
};

} // namespace shallotproxy
