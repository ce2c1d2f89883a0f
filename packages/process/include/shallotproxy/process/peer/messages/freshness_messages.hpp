#pragma once

#include <string>
#include <vector>

#include "../../base/names.hpp"
#include "../../freshness/configuration_head.hpp"

namespace shallotproxy {

/// Sent every 500 ms to every registered member: what the sender holds and where it listens.
struct Heartbeat
{
    ConfigurationVersion version = 0;
    StoreRevision revision = 0; // of the head that the sender holds
    std::string dataCentre;
    std::string peersEndpoint;
    std::string operatorsEndpoint;
    MSGPACK_DEFINE(version, revision, dataCentre, peersEndpoint, operatorsEndpoint)
};

/// A writer is about to swap the head of revision `base`; the receiver vouches for nothing as old
/// as that until the change is resolved.
struct Announce
{
    StoreRevision base = 0;
    std::string change; // unique id of the change
    MSGPACK_DEFINE(base, change)
};

struct AnnounceAnswer
{
    std::string change;
    bool isAccepted = false;
    bool hasConfirmedUnregistered =
        false; // for an unregistered member, whose freshness may last yet
    MSGPACK_DEFINE(change, isAccepted, hasConfirmedUnregistered)
};

/// The writer gave up before it sent its swap, so the announcement is void.
struct AnnounceCancel
{
    std::string change;
    MSGPACK_DEFINE(change)
};

/// Asks whether the head of this revision is the newest that the receiver knows of.
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
    StoreRevision revision = 0; // of the head that the sender holds
    MSGPACK_DEFINE(round, isConfirmed, revision)
};

/// Asks a peer for the configuration it holds; sent while the store is silent.
struct ConfigurationRequest
{
    StoreRevision revision = 0; // of the head that the sender holds
    MSGPACK_DEFINE(revision)
};

struct ConfigurationReply
{
    ConfigurationHead head;
    std::vector<std::string> parts;
    MSGPACK_DEFINE(head, parts)
};

} // namespace shallotproxy
