#pragma once

#include <vector>

#include "../../base/names.hpp"

namespace shallotproxy {

struct TeamDemand
{
    TeamName team;
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    MSGPACK_DEFINE(team, queued, running)
};

/// Queued and running requests of a member in one pool, sent to the pool's steward.
struct DemandReport
{
    PoolName pool;
    std::uint64_t round = 0;
    std::vector<TeamDemand> teams;
    MSGPACK_DEFINE(pool, round, teams)
};

struct TeamCredit
{
    TeamName team;
    std::uint32_t slots = 0;
    MSGPACK_DEFINE(team, slots)
};

/// Slots of one pool that the receiver may keep busy per team for a short time. `round` rises with
/// every grant of one incarnation of the steward.
struct CreditGrant
{
    PoolName pool;
    std::uint64_t round = 0;
    std::vector<TeamCredit> teams;
    MSGPACK_DEFINE(pool, round, teams)
};

} // namespace shallotproxy
