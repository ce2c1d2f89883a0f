#pragma once

#include <map>

#include "../../base/names.hpp"

namespace shallotproxy {

/// Asks for units of a team's upper limit; `held` and `wanted` are the sender's own.
struct UnitRequest
{
    TeamName team;
    std::uint32_t held = 0;
    std::uint32_t wanted = 0;
    MSGPACK_DEFINE(team, held, wanted)
};

/// Moves units that the giver has already subtracted; repeated with the same id until acknowledged.
/// Giver and receiver are accounts of the unit ledger.
struct UnitTransfer
{
    Incarnation giver;
    Incarnation receiver;
    std::uint64_t transfer = 0;
    std::map<TeamName, std::uint32_t> units;
    MSGPACK_DEFINE(giver, receiver, transfer, units)
};

struct UnitTransferAck
{
    Incarnation giver;
    Incarnation receiver;
    std::uint64_t transfer = 0;
    MSGPACK_DEFINE(giver, receiver, transfer)
};

/// Asks whether the receiver still counts the sender's account as live.
struct UnitAttestRequest
{
    Incarnation account;
    std::uint64_t round = 0;
    MSGPACK_DEFINE(account, round)
};

struct UnitAttestation
{
    Incarnation account;
    Incarnation attestor;
    std::uint64_t round = 0;
    MSGPACK_DEFINE(account, attestor, round)
};

} // namespace shallotproxy
