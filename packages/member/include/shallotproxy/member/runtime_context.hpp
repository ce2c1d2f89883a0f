#pragma once

#include "event_log.hpp"
#include "fleet_state.hpp"
#include "ports.hpp"
#include "store_health.hpp"

namespace shallotproxy {

/// Settings that the platform gives to a member at its start.
struct RuntimeSettings
{
    std::string member;
    DataCentreName dataCentre;
    std::string callersEndpoint;
    std::string readinessEndpoint;
    std::string peerEndpoint; // where other members reach this one
    std::string metricsEndpoint; // empty: metrics aren't served
    bool isFirstStart = false; // the whole system starts for the first time
    double processorShare = 1; // the part of a core that this member may use
    /// The configuration counts as fresh for this long after the store confirmed it. Bounds how
    /// long a withdrawn API key works.
    std::chrono::milliseconds freshnessPeriod{4'000};
    std::chrono::milliseconds maxRunLease{10'000}; // the longest lease of runs that workers accept
    /// The longest time that workers take to stop a run.
    std::chrono::milliseconds runStopTimeout{900};
    std::chrono::milliseconds shutdownGracePeriod{6'000}; // from SIGTERM until the process exits
    /// Minimum time between orders about hosts from two successive stewards: a new one waits this
    /// long before its first order.
    std::chrono::milliseconds hostLeaseDuration{3'000};
    std::chrono::milliseconds hostUpkeepDuration{2'000}; // the platform's time for a host's upkeep
    std::chrono::milliseconds jobStateRetention{120'000}; // callers can read ended jobs this long
    RunTimeLearning runTimes;
};

/// Objects that all parts of one member share.
struct RuntimeContext
{
    RuntimeSettings settings;
    ObservedStore store;
    WorkerPort &workers;
    HostPort &hosts;
    const PlatformRecordCodec &recordCodec;
    const CallerCodec &callerCodec;
    EventLog &log;
    Metrics &metrics;
    FleetState fleet;
    BootTime startedAt = BootClock::now();
};

} // namespace shallotproxy
