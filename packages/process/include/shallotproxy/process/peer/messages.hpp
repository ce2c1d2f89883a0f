#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "../base/names.hpp"
#include "messages/claim_messages.hpp"
#include "messages/drain_messages.hpp"
#include "messages/freshness_messages.hpp"
#include "messages/limit_messages.hpp"
#include "messages/share_messages.hpp"

namespace shallotproxy {

/// Every message between members. The index is the wire tag, so new types are appended at the end.
using PeerMessage =
    std::variant<Heartbeat, Announce, AnnounceAnswer, HeadConfirmationRequest,
                 HeadConfirmationAnswer, UnitRequest, UnitTransfer, UnitTransferAck, DemandReport,
                 CreditGrant, ClaimQuery, ClaimAnswer, AnnounceCancel, ConfigurationRequest,
                 ConfigurationReply, UnitAttestRequest, UnitAttestation, DrainQuery, DrainAnswer>;

/// A message with its sender; `sequence` is the sequence number of the event in the sender's
/// timeline.
struct PeerEnvelope
{
    Incarnation from;
    std::uint64_t sequence = 0;
    PeerMessage message;
};

} // namespace shallotproxy
