#pragma once

#include "event_log.hpp"
#include "fleet_state.hpp"
#include "ports.hpp"
#include "store_health.hpp"

namespace shallotproxy {

/// What a member is told by its platform at its start.
struct RuntimeSettings
{
    std::string member;
    std::string callersEndpoint;
    std::string readinessEndpoint;
    std::string innerEndpoint; // for other members
    std::string metricsEndpoint; // empty: none
    bool isFirstStart = false; // of the whole system
    double processorShare = 1; // of a core that this member may use
    std::chrono::milliseconds longestUnsure{4'000}; // a withdrawn key must stop before this
    std::chrono::milliseconds longestLease{10'000}; // that workers grant
    std::chrono::milliseconds grace{6'000}; // from SIGTERM to the end
    std::chrono::milliseconds hostHolderLease{3'000}; // two holders order a host this far apart
    std::chrono::milliseconds stateKept{120'000}; // ended jobs are known for so long
};

/// What the duties of one member share.
struct RuntimeContext
{
    RuntimeSettings settings;
    ObservedStore store;
    WorkerPort &workers;
    HostPort &hosts;
    const PlatformRecords &records;
    const CallerCodec &codec;
    EventLog &log;
    Metrics &metrics;
    FleetState fleet;
};

} // namespace shallotproxy
