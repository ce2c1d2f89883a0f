#pragma once

#include <msgpack.hpp>

#include "shallotproxy/connection.hpp"
#include "shallotproxy/job.hpp"
#include "shallotproxy/member/submission.hpp"

namespace shallotproxy {

/// Reply of one member to another about a job or a queue of its steward.
struct PeerReply
{
    bool isSteward = false;
    std::uint8_t state = 0; // JobState
    TeamName team;
    std::uint64_t pending = 0;

    MSGPACK_DEFINE(isSteward, state, team, pending)
};

auto encodePeerReply(const PeerReply &answer) -> HttpResponse;
auto decodePeerReply(const TargetReply &reply) -> PeerReply;

/// The reply to a member that relayed a submission.
auto encodeOutcome(WriteOutcome outcome) -> HttpResponse;
auto decodeOutcome(const TargetReply &reply) -> WriteOutcome;

} // namespace shallotproxy
