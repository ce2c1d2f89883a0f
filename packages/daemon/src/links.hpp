#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "shallotproxy/connection/http/http_message.hpp"
#include "shallotproxy/process.hpp"
#include "shallotproxy/request/claim/claim_table.hpp"
#include "shallotproxy/request/dispatch/dispatcher.hpp"
#include "shallotproxy/request/task/task_error.hpp"
#include "shallotproxy/version/maintenance/budget.hpp"

namespace shallotproxy {

/// The listener that received a call, which also sends the reply.
enum class CallSource : std::uint8_t { Callers, Operators };

/// A request that the control duty answers. `team` is set only on calls from callers.
struct ControlCall
{
    CallSource source = CallSource::Callers;
    std::uint64_t number = 0;
    TeamName team;
    HttpRequest request;
};

struct ControlReply
{
    CallSource source = CallSource::Callers;
    std::uint64_t number = 0;
    HttpResponse response;
};

/// The load of the front duty: queued and running requests, and usage so far. `unitsGeneration` is
/// the generation of the newest UnitsUpdate that the front duty has applied.
struct LoadReport
{
    std::vector<PoolTeamLoad> loads;
    ConfigurationVersion version = 0; // requests are started by this version
    HostSet busyHosts; // hosts that run requests of this member
    std::uint64_t unitsGeneration = 0;
    TeamUsages usage;
};

/// Units that the front duty may use. Load reports carry the generation once it is applied.
struct UnitsUpdate
{
    std::uint64_t generation = 0;
    UnitsChanged units;
};

using FrontReport =
    std::variant<std::monostate, ControlCall, LoadReport, ClaimRequested, ClaimedRequestEnded>;

using FrontUpdate =
    std::variant<std::monostate, ConfigurationChanged, FreshnessChanged, CreditsChanged,
                 UnitsUpdate, DrainStarted, ControlReply, ClaimDecision>;

/// A store call with the number that its StoreResult carries.
struct NumberedStoreCall
{
    std::uint64_t number = 0;
    StoreCall call;
};

struct StoreResult
{
    std::uint64_t number = 0;
    StoreReply reply = StoreAnswer();
};

/// The address on which a member listens for peers.
struct PeerAddress
{
    MemberName member;
    std::string endpoint;
};

/// The peers that this member sends to; replaces the previous roster.
struct PeerRoster
{
    std::vector<PeerAddress> peers;
};

struct PeerSend
{
    MemberName to;
    PeerEnvelope envelope;
};

/// A call to a worker or to the platform's host list: GET if `body` is empty, else POST.
struct PlatformCall
{
    std::string endpoint; // ADDRESS:PORT
    std::string path;
    std::string body;
};

using PlatformReply = Expected<std::string, PlatformError>;

/// A platform call with the number that its PlatformResult carries.
struct NumberedPlatformCall
{
    std::uint64_t number = 0;
    PlatformCall call;
};

struct PlatformResult
{
    std::uint64_t number = 0;
    PlatformReply reply;
};

using PeerCommand = std::variant<std::monostate, PeerRoster, PeerSend>;

/// Rings between the duties, named after sender and receiver.
struct Links
{
    static constexpr std::size_t Capacity = 8'192; // elements

    Ring<FrontReport> frontToControl = Ring<FrontReport>(Capacity);
    Ring<FrontUpdate> controlToFront = Ring<FrontUpdate>(Capacity);
    Ring<ControlCall> operatorsToControl = Ring<ControlCall>(Capacity);
    Ring<ControlReply> controlToOperators = Ring<ControlReply>(Capacity);
    Ring<NumberedStoreCall> controlToStore = Ring<NumberedStoreCall>(Capacity);
    Ring<StoreResult> storeToControl = Ring<StoreResult>(Capacity);
    Ring<NumberedPlatformCall> controlToPlatform = Ring<NumberedPlatformCall>(Capacity);
    Ring<PlatformResult> platformToControl = Ring<PlatformResult>(Capacity);
    Ring<PeerCommand> controlToPeers = Ring<PeerCommand>(Capacity);
    Ring<PeerEnvelope> peersToControl = Ring<PeerEnvelope>(Capacity);
};

} // namespace shallotproxy
