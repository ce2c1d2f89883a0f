#include "peer_messages.hpp"

#include "shallotproxy/process/base/record_codec.hpp"

namespace shallotproxy {

auto encodeOutcome(WriteOutcome outcome) -> HttpResponse
{
    switch (outcome) {
    case WriteOutcome::Stored:
        return {201, {}, {}};
    case WriteOutcome::AlreadyStored:
        return {200, {}, {}};
    case WriteOutcome::Cancelled:
        return {410, {}, {}};
    case WriteOutcome::NotApplied:
        return {503, {}, {}};
    case WriteOutcome::Unknown:
        break;
    }
    return {504, {}, {}};
}

auto decodeOutcome(const TargetReply &reply) -> WriteOutcome
{
    if (!reply)
        return reply.error().isNotSent() ? WriteOutcome::NotApplied : WriteOutcome::Unknown;
    switch (reply->status) {
    case 201:
        return WriteOutcome::Stored;
    case 200:
        return WriteOutcome::AlreadyStored;
    case 410:
        return WriteOutcome::Cancelled;
    case 400:
    case 503:
        return WriteOutcome::NotApplied;
    default:
        return WriteOutcome::Unknown;
    }
}

auto encodePeerReply(const PeerReply &answer) -> HttpResponse
{
    return {200, {}, packRecord(answer)};
}

auto decodePeerReply(const TargetReply &reply) -> PeerReply
{
    if (!reply || reply->status != 200)
        return {};
    // An unreadable reply counts as one of a member that isn't the steward: the store is read then.
    return unpackRecord<PeerReply>(reply->body).value_or(PeerReply());
}

} // namespace shallotproxy
