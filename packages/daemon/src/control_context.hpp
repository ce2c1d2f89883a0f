#pragma once

#include <functional>
#include <map>

#include "links.hpp"
#include "process_context.hpp"

namespace shallotproxy {

/// One registered member, as its record in the platform's service says.
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

/// What the modules of the control duty share and how they act on the rest of the process.
/// Everything here is used on the control thread only.
class ControlContext
{
public:
    ControlContext(ProcessContext &process, Links &links);

    ProcessContext &process; // NOLINT(readability-identifier-naming)
    MemberDirectory members; // registered members, this one included
    ConfigurationPointer configuration; // null until the first one is read
    BootTime freshUntil;
    ConfigurationVersion servedVersion = 0; // by which this member starts requests
    HostSet busyHosts; // with requests of this member
    HostSet failedHosts; // that the platform's lagging list doesn't call live
    std::vector<PoolTeamLoad> loads; // of this member
    std::uint64_t unitsMark = 0; // of the units in force when the loads were taken
    TeamUsages usage; // of this incarnation so far

    /// Sends a call to the platform's service; `callback` runs on the control thread.
    auto store(StoreCall call, StoreCallback callback) -> void;
    using PlatformCallback = std::function<void(PlatformReply)>;
    /// Sends a call to a worker or the platform's host list; `callback` runs on the control thread.
    auto platform(PlatformCall call, PlatformCallback callback) -> void;
    /// Key below this deployment's prefix.
    [[nodiscard]] auto key(std::string_view suffix) const -> std::string;
    auto send(const MemberName &to, PeerMessage message) -> void;
    /// Sends to every registered member but this one.
    auto broadcast(const PeerMessage &message) -> void;
    auto updateFront(FrontUpdate update) -> void;
    auto setRoster() -> void;
    auto reply(const ControlCall &call, HttpResponse response) -> void;
    auto record(std::string_view kind, std::string_view subject,
                std::vector<TimelineAttribute> attributes = {}) -> std::uint64_t;
    /// Until it is cleared, events are recorded as effects of this message.
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
    std::uint64_t m_lastOrder = 0;
    std::map<std::uint64_t, StoreCallback> m_orders;
    std::map<std::uint64_t, PlatformCallback> m_platformOrders;
};

} // namespace shallotproxy
