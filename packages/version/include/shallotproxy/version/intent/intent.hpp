#pragma once

#include <string>
#include <variant>
#include <vector>

#include "../configuration/configuration.hpp"

namespace shallotproxy {

/// Replaces everything declared by these declarations; keys made by `key create` stay.
struct ApplyDeclarations
{
    Configuration wanted;
};

/// Takes a data centre out of service or brings it back.
struct SetDataCentreState
{
    DataCentreName dataCentre;
    ServiceState state = ServiceState::Out;
    bool mayBreakBudget = false;
};

/// Drains a pool's hosts, or brings them back.
struct SetPoolState
{
    PoolName pool;
    ServiceState state = ServiceState::Leaving;
    bool mayBreakBudget = false;
};

struct SetHostState
{
    HostName host;
    ServiceState state = ServiceState::Leaving;
    bool mayBreakBudget = false;
};

/// Moves a host to another pool.
struct MoveHost
{
    HostName host;
    PoolName pool;
};

struct AddKey
{
    TeamName team;
    TeamKey key;
};

struct WithdrawKey
{
    TeamName team;
    KeyName key;
};

/// Reboots hosts in waves that keep every budget: of a pool, of a data centre, or all.
struct RebootHosts
{
    PoolName pool; // empty: any
    DataCentreName dataCentre; // empty: any
};

/// Moves hosts of other pools into this one, in waves that keep every budget.
struct GrowPool
{
    PoolName pool;
    HostRole role = HostRole::Target;
    std::uint32_t hosts = 0;
};

/// Ends maintenance under way: hosts that wait stay as they are, hosts that are out go back.
struct StopMaintenance
{
    IntentId intent;
};

/// What an operator wants. A new kind goes to the end.
using Intent = std::variant<ApplyDeclarations, SetDataCentreState, SetPoolState, SetHostState,
                            MoveHost, AddKey, WithdrawKey, RebootHosts, GrowPool, StopMaintenance>;

} // namespace shallotproxy
