#pragma once

#include <map>

#include "../../base/names.hpp"

namespace shallotproxy {

/// Requests units of a team's upper limit; `held` and `wanted` are the units that the requester
/// holds and needs.
struct UnitRequest
{
    TeamName team;
    std::uint32_t held = 0;
    std::uint32_t wanted = 0;
    MSGPACK_DEFINE(team, held, wanted)
};

/// Transfers units that the sender has already subtracted from its own; repeated with the same
/// number until acknowledged. Sender and receiver are accounts of the unit ledger.
struct UnitTransfer
{
    Incarnation sender;
    Incarnation receiver;
    std::uint64_t transfer = 0;
    std::map<TeamName, std::uint32_t> units;
    MSGPACK_DEFINE(sender, receiver, transfer, units)
};

struct UnitTransferAck
{
    Incarnation sender;
    Incarnation receiver;
    std::uint64_t transfer = 0;
    MSGPACK_DEFINE(sender, receiver, transfer)
};

/// Requests an attestation that the receiver regards the account as live.
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
