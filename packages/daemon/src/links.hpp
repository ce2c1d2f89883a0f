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

/// Which face a call came in by, and so where its reply goes.
enum class CallFace : std::uint8_t { Callers, Operators };

/// A request that the control duty answers. `team` is set on the callers' face.
struct ControlCall
{
    CallFace face = CallFace::Callers;
    std::uint64_t number = 0;
    TeamName team;
    HttpRequest request;
};

struct ControlReply
{
    CallFace face = CallFace::Callers;
    std::uint64_t number = 0;
    HttpResponse response;
};

/// What the front has queued, running and done. `unitsMark` is of the newest UnitsUpdate in force.
struct LoadReport
{
    std::vector<PoolTeamLoad> loads;
    ConfigurationVersion version = 0; // by which requests are started
    HostSet busyHosts; // with requests of this member
    std::uint64_t unitsMark = 0;
    TeamUsages usage;
};

/// Units that the front may use; load reports name the mark once they are in force.
struct UnitsUpdate
{
    std::uint64_t mark = 0;
    UnitsChanged units;
};

using FrontReport =
    std::variant<std::monostate, ControlCall, LoadReport, ClaimRequested, ClaimedRequestEnded>;

using FrontUpdate =
    std::variant<std::monostate, ConfigurationChanged, FreshnessChanged, CreditsChanged,
                 UnitsUpdate, DrainStarted, ControlReply, ClaimDecision>;

struct StoreOrder
{
    std::uint64_t number = 0;
    StoreCall call;
};

struct StoreResult
{
    std::uint64_t number = 0;
    StoreReply reply = StoreAnswer();
};

/// Where a member's peers port is.
struct PeerAddress
{
    MemberName member;
    std::string endpoint;
};

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

struct PlatformOrder
{
    std::uint64_t number = 0;
    PlatformCall call;
};

struct PlatformResult
{
    std::uint64_t number = 0;
    PlatformReply reply;
};

using PeerOrder = std::variant<std::monostate, PeerRoster, PeerSend>;

/// Rings between the duties, named after what they carry.
struct Links
{
    static constexpr std::size_t Capacity = 8'192; // elements

    Ring<FrontReport> frontToControl = Ring<FrontReport>(Capacity);
    Ring<FrontUpdate> controlToFront = Ring<FrontUpdate>(Capacity);
    Ring<ControlCall> operatorsToControl = Ring<ControlCall>(Capacity);
    Ring<ControlReply> controlToOperators = Ring<ControlReply>(Capacity);
    Ring<StoreOrder> controlToStore = Ring<StoreOrder>(Capacity);
    Ring<StoreResult> storeToControl = Ring<StoreResult>(Capacity);
    Ring<PlatformOrder> controlToPlatform = Ring<PlatformOrder>(Capacity);
    Ring<PlatformResult> platformToControl = Ring<PlatformResult>(Capacity);
    Ring<PeerOrder> controlToPeers = Ring<PeerOrder>(Capacity);
    Ring<PeerEnvelope> peersToControl = Ring<PeerEnvelope>(Capacity);
};

} // namespace shallotproxy
