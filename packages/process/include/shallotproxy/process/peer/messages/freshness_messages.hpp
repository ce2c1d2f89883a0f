#pragma once

#include <string>
#include <vector>

#include "../../base/names.hpp"
#include "../../freshness/configuration_head.hpp"

namespace shallotproxy {

/// Sent to every registered member every 500 ms: which configuration the sender has loaded, and its
/// endpoints.
struct Heartbeat
{
    ConfigurationVersion version = 0;
    StoreRevision revision = 0; // Revision of the head that the sender has loaded.
    std::string dataCentre;
    std::string peersEndpoint;
    std::string operatorsEndpoint;
    MSGPACK_DEFINE(version, revision, dataCentre, peersEndpoint, operatorsEndpoint)
};

/// A writer is about to swap the head of revision `base`. A receiver that accepts confirms no head
/// of that revision or an older one until the outcome of the change is known.
struct Announce
{
    StoreRevision base = 0;
    std::string change; // Unique id of the change.
    MSGPACK_DEFINE(base, change)
};

struct AnnounceAnswer
{
    std::string change;
    bool isAccepted = false;
    /// Whether an unregistered member may still be fresh because the sender confirmed its head.
    bool hasConfirmedUnregistered = false;
    MSGPACK_DEFINE(change, isAccepted, hasConfirmedUnregistered)
};

/// The writer gave up before it sent its swap, so receivers drop the announcement.
struct AnnounceCancel
{
    std::string change;
    MSGPACK_DEFINE(change)
};

/// Requests a confirmation that the head of this revision is the newest that the receiver knows of.
struct HeadConfirmationRequest
{
    StoreRevision revision = 0;
    std::uint64_t round = 0;
    MSGPACK_DEFINE(revision, round)
};

struct HeadConfirmationAnswer
{
    std::uint64_t round = 0;
    bool isConfirmed = false;
    StoreRevision revision = 0; // Revision of the head that the sender has loaded.
    MSGPACK_DEFINE(round, isConfirmed, revision)
};

/// Requests the configuration of a peer that has loaded a newer one; sent while the store does not
/// answer.
struct ConfigurationRequest
{
    StoreRevision revision = 0; // Revision of the head that the sender has loaded.
    MSGPACK_DEFINE(revision)
};

struct ConfigurationReply
{
    ConfigurationHead head;
    std::vector<std::string> parts;
    MSGPACK_DEFINE(head, parts)
};

} // namespace shallotproxy
