#pragma once

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

#include "shallotproxy/process/base/names.hpp"

namespace shallotproxy {

enum class ServiceState : std::uint8_t;

/// What maintenance does with a host once it is empty.
enum class MaintenanceKind : std::uint8_t { Reboot, Move };

auto maintenanceName(MaintenanceKind kind) -> std::string_view;

/// A host that a wave has taken out, and the state that it goes back to.
struct ActiveHost
{
    HostName host;
    ServiceState before{};
    MSGPACK_DEFINE(host, before)
};

/// Confirmed maintenance under way. It is part of the configuration, so each wave is granted by the
/// same compare-and-swap as any other change, and its steps survive every member.
struct MaintenanceJob
{
    IntentId name; // of the intent
    MaintenanceKind kind = MaintenanceKind::Reboot;
    PoolName pool; // where hosts go, for Move
    std::vector<HostName> waiting; // in the order of their turn
    std::vector<ActiveHost> active; // out of service for this job
    std::uint32_t done = 0; // hosts
    std::uint32_t waves = 0; // granted
    MSGPACK_DEFINE(name, kind, pool, waiting, active, done, waves)
};

using MaintenanceJobs = std::map<IntentId, MaintenanceJob>;

} // namespace shallotproxy

MSGPACK_ADD_ENUM(shallotproxy::MaintenanceKind)
