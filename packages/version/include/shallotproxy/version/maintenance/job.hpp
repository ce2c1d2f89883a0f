#pragma once

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

#include "shallotproxy/process/base/names.hpp"

namespace shallotproxy {

enum class ServiceState : std::uint8_t;

/// What maintenance does with a host once it is drained.
enum class MaintenanceKind : std::uint8_t { Reboot, Move };

/// Returns the name of the kind as plans show it.
auto maintenanceName(MaintenanceKind kind) -> std::string_view;

/// A host that a wave has taken out of service, and the state that it returns to.
struct ActiveHost
{
    HostName host;
    ServiceState previousState{};
    MSGPACK_DEFINE(host, previousState)
};

/// Confirmed maintenance in progress. It is part of the configuration, so each wave is granted by
/// the same compare-and-swap as any other change, and its progress survives the loss of any member.
struct MaintenanceJob
{
    IntentId name; // the id of its intent
    MaintenanceKind kind = MaintenanceKind::Reboot;
    PoolName pool; // the destination, for Move
    std::vector<HostName> waiting; // in the order in which they are taken out
    std::vector<ActiveHost> active; // out of service for this job
    std::uint32_t done = 0; // hosts completed
    std::uint32_t waves = 0; // waves granted
    MSGPACK_DEFINE(name, kind, pool, waiting, active, done, waves)
};

using MaintenanceJobs = std::map<IntentId, MaintenanceJob>;

} // namespace shallotproxy

MSGPACK_ADD_ENUM(shallotproxy::MaintenanceKind)
