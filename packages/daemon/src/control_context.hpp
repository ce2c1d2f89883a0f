#pragma once

#include <functional>
#include <map>

#include "links.hpp"
#include "process_context.hpp"

namespace shallotproxy {

/// The record of a registered member in the store.
struct MemberRecord
{
    Incarnation incarnation;
    DataCentreName dataCentre;
    std::string peersEndpoint;
    std::string operatorsEndpoint;
    auto operator==(const MemberRecord &other) const -> bool = default;
    MSGPACK_DEFINE(incarnation, dataCentre, peersEndpoint, operatorsEndpoint)
};

using MemberDirectory = std::map<MemberName, MemberRecord>;

/// State that the modules of the control duty share, and their access to the other duties. It is
/// used on the control thread only.
class ControlContext
{
public:
    ControlContext(ProcessContext &process, Links &links);

    ProcessContext &process; // NOLINT(readability-identifier-naming)
    MemberDirectory members; // all registered members, including this one
    ConfigurationPointer configuration; // null until the first one is loaded
    BootTime freshUntil;
    ConfigurationVersion servedVersion = 0; // the front duty starts requests by this version
    HostSet busyHosts; // hosts that run requests of this member
    HostSet failedHosts; // hosts not live in the platform's list, which lags behind
    std::vector<PoolTeamLoad> loads; // loads of this member, as last reported by the front duty
    std::uint64_t unitsGeneration = 0; // generation of the units that applied to `loads`
    TeamUsages usage; // total usage since this incarnation started

    /// Sends a call to the store; `callback` runs on the control thread.
    auto store(StoreCall call, StoreCallback callback) -> void;
    using PlatformCallback = std::function<void(PlatformReply)>;
    /// Sends a call to a worker or the platform's host list; `callback` runs on the control thread.
    auto platform(PlatformCall call, PlatformCallback callback) -> void;
    /// Returns the store key for `suffix` below this deployment's prefix.
    [[nodiscard]] auto key(std::string_view suffix) const -> std::string;
    auto send(const MemberName &to, PeerMessage message) -> void;
    /// Sends to every registered member but this one.
    auto broadcast(const PeerMessage &message) -> void;
    auto updateFront(FrontUpdate update) -> void;
    /// Passes the addresses of all other members to the peer duty.
    auto setRoster() -> void;
    auto reply(const ControlCall &call, HttpResponse response) -> void;
    auto record(std::string_view kind, std::string_view subject,
                std::vector<TimelineAttribute> attributes = {}) -> std::uint64_t;
    /// Names `envelope` as the cause of all events that are recorded until clearCause().
    auto setCause(const PeerEnvelope &envelope) -> void;
    auto clearCause() -> void;
    [[nodiscard]] auto version() const -> ConfigurationVersion;
    [[nodiscard]] auto isFresh() const -> bool;
    auto handle(StoreResult result) -> void;
    auto handle(PlatformResult result) -> void;

private:
    Links &m_links;
    Incarnation m_causeSource;
    std::uint64_t m_causeSequence = 0;
    std::uint64_t m_lastCallNumber = 0;
    std::map<std::uint64_t, StoreCallback> m_pendingStoreCalls;
    std::map<std::uint64_t, PlatformCallback> m_pendingPlatformCalls;
};

} // namespace shallotproxy
