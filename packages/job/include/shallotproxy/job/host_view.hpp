#pragma once

#include <set>

#include "steward.hpp"

namespace shallotproxy {

enum class HostState { Up, Moving, InUpkeep, Down };

/// A host as the platform lists it.
struct HostReport
{
    HostName host;
    PoolName pool;
    HostState state = HostState::Down;
    Resources capacity;
    WorkerName worker; // its present life; empty if there is none
};

/// A host together with what its worker runs.
struct HostView
{
    HostReport report;
    std::size_t lastingRuns = 0;
    std::size_t otherRuns = 0;
    bool hasUnkeptEnds = false; // they would go with the worker
    bool isKnown = false; // what runs there is known, or nothing can
    bool isDraining = false;

    [[nodiscard]] auto isIdle() const -> bool
    {
        return isKnown && lastingRuns == 0 && otherRuns == 0 && !hasUnkeptEnds;
    }
};

/// Joins a host with the load of its worker, if the steward knows one.
auto viewOf(const HostReport &report, const std::optional<WorkerLoad> &load, bool isStandby)
    -> HostView;

} // namespace shallotproxy
