#pragma once

#include <string>
#include <variant>
#include <vector>

#include "../configuration/configuration.hpp"

namespace shallotproxy {

/// Replaces the declared configuration. Keys made by `key create` and maintenance in progress stay.
struct ApplyDeclarations
{
    Configuration declared;
};

/// Takes a data centre out of service or brings it back into service.
struct SetDataCentreState
{
    DataCentreName dataCentre;
    ServiceState state = ServiceState::Out;
    bool mayBreakBudget = false;
};

/// Drains the hosts of a pool or brings them back into service.
struct SetPoolState
{
    PoolName pool;
    ServiceState state = ServiceState::Leaving;
    bool mayBreakBudget = false;
};

/// Drains a host, takes it out of service or brings it back into service.
struct SetHostState
{
    HostName host;
    ServiceState state = ServiceState::Leaving;
    bool mayBreakBudget = false;
};

/// Moves a host to another pool at once.
struct MoveHost
{
    HostName host;
    PoolName pool;
};

/// Adds a key to a team.
struct AddKey
{
    TeamName team;
    TeamKey key;
};

/// Withdraws a key of a team.
struct WithdrawKey
{
    TeamName team;
    KeyName key;
};

/// Reboots the hosts of a pool, of a data centre, or all, in waves that respect every budget.
struct RebootHosts
{
    PoolName pool; // any if empty
    DataCentreName dataCentre; // any if empty
};

/// Moves hosts of other pools into this one, in waves that respect every budget.
struct GrowPool
{
    PoolName pool;
    HostRole role = HostRole::Target;
    std::uint32_t hosts = 0;
};

/// Stops maintenance in progress: waiting hosts stay as they are, and hosts that are out of service
/// complete it and return.
struct StopMaintenance
{
    IntentId intent;
};

/// A change that an operator requests. New kinds are appended at the end.
using Intent = std::variant<ApplyDeclarations, SetDataCentreState, SetPoolState, SetHostState,
                            MoveHost, AddKey, WithdrawKey, RebootHosts, GrowPool, StopMaintenance>;

} // namespace shallotproxy
