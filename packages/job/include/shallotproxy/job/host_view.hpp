#pragma once

#include <set>

#include "steward.hpp"

namespace shallotproxy {

/// State of a host in the platform's list.
enum class HostState { Up, Moving, InUpkeep, Down };

/// A host in the platform's list.
struct HostReport
{
    HostName host;
    PoolName pool;
    HostState state = HostState::Down;
    Resources capacity;
    /// The current incarnation of its worker; empty if there is none.
    WorkerName worker;
};

/// A host together with the load of its worker.
struct HostView
{
    HostReport report;
    std::size_t longRunningRuns = 0;
    std::size_t otherRuns = 0;
    /// Some ends of runs aren't persisted yet and would be lost with the worker.
    bool hasUnpersistedEnds = false;
    /// The runs are known, or the host can't have any.
    bool isLoadKnown = false;
    bool isDraining = false;

    /// Whether the host can be moved or maintained without stopping runs or losing results.
    [[nodiscard]] auto isIdle() const -> bool
    {
        return isLoadKnown && longRunningRuns == 0 && otherRuns == 0 && !hasUnpersistedEnds;
    }
};

/// Combines a host with the load of its worker; no value if the steward doesn't know the worker.
auto viewOf(const HostReport &report, const std::optional<WorkerLoad> &load, bool isStandby)
    -> HostView;

} // namespace shallotproxy
