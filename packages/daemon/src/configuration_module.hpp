#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>

#include "control_context.hpp"

namespace shallotproxy {

using PublishOutcome = ChangeOutcome;

/// What lasts of one accepted version, in the platform's service, for operators.
struct HistoryRecord
{
    ConfigurationVersion version = 0;
    std::string change; // unique id of the change
    std::int64_t wallMilliseconds = 0;
    std::vector<std::string> lines;
    MSGPACK_DEFINE(version, change, wallMilliseconds, lines)
};

/// Registers this member, follows the configuration, knows until when it is fresh, and publishes
/// new versions. Freshness and HeadChange decide; this performs.
class ConfigurationModule
{
public:
    explicit ConfigurationModule(ControlContext &context);

    auto tick(BootTime now) -> void;
    auto receive(const PeerEnvelope &envelope, BootTime now) -> void;
    /// The front has been told of the configuration that is held.
    auto configurationChanged() -> void;
    auto drain() -> void;

    using PublishCallback = std::function<void(PublishOutcome)>;
    /// Swaps in the next version, made from the one held; `callback` runs once it is in force on
    /// every registered member, or is known not to have been applied. `records` are written
    /// together with it.
    auto publish(const Configuration &next, std::vector<StorePut> records, PublishCallback callback)
        -> void;
    auto publish(const Configuration &next, PublishCallback callback) -> void;
    /// Newest version that each member has said it holds.
    [[nodiscard]] auto memberVersions() const -> const std::map<MemberName, ConfigurationVersion> &;

    using HistoryCallback = std::function<void(const std::vector<HistoryRecord> &)>;
    /// Reads the kept history, oldest first; empty if the store is silent.
    auto readHistory(HistoryCallback callback) -> void;

private:
    struct Publication
    {
        std::string id;
        Configuration next;
        std::vector<StorePut> records;
        PublishCallback callback;
        BootTime deadline;
        bool isWritten = false; // its parts are in the store
    };

    auto registerMember() -> void;
    auto writeMemberRecord() -> void;
    auto keepLease(BootTime now) -> void;
    auto poll(BootTime now) -> void;
    auto applyPoll(const StoreAnswer &answer, BootTime started) -> void;
    auto updateDirectory(const std::vector<StoreRecord> &records, BootTime now) -> void;
    auto learnMember(const PeerEnvelope &envelope, const Heartbeat &heartbeat) -> void;
    auto sendHeartbeat(BootTime now) -> void;
    auto answerRequest(const Incarnation &from, const ConfigurationRequest &request) -> void;
    auto takeReply(const ConfigurationReply &reply, BootTime now) -> void;
    auto requestFrom(const MemberName &peer, BootTime now) -> void;

    auto stepFreshness(const FreshnessEvent &event, BootTime now) -> void;
    auto perform(const SendFreshnessMessage &action) -> void;
    auto perform(const FetchFromStore &action) -> void;
    auto perform(const FetchFromPeer &action) -> void;
    auto perform(const FenceHead &action) -> void;
    auto hold(const ConfigurationHead &head, Configuration configuration) -> void;
    auto updateFreshness() -> void;

    [[nodiscard]] auto wantedMembers(BootTime now) -> std::vector<Incarnation>;
    auto changeMembers(BootTime now) -> void;
    auto startPublication(BootTime now) -> void;
    auto writeParts() -> void;
    auto startChange(const std::string &id, HeadRecord next, BootTime now) -> void;
    auto stepChange(const HeadChangeEvent &event, BootTime now) -> void;
    auto perform(const SendAnnounce &action) -> void;
    auto perform(const SendAnnounceCancel &action) -> void;
    auto perform(const SwapHead &action) -> void;
    auto perform(const ReadBack &action) -> void;
    auto perform(const FenceSwap &action) -> void;
    auto perform(const ChangeFinished &action) -> void;
    auto answerChange(const StoreReply &reply, bool isFence) -> void;
    [[nodiscard]] auto readChange(const StoreAnswer &answer) const -> ChangeRead;
    [[nodiscard]] auto readOperations() const -> std::vector<StoreOperation>;
    [[nodiscard]] auto isPublishing() const -> bool;
    [[nodiscard]] auto historyPut(const Publication &publication) const -> StorePut;
    auto finishPublication(PublishOutcome outcome) -> void;
    auto removeOldVersions() -> void;

    ControlContext &m_context;
    Freshness m_freshness;
    StoreLease m_lease = 0;
    bool m_isRegistering = false;
    bool m_isRegistered = false;
    bool m_isPolling = false;
    bool m_isReading = false;
    bool m_isDraining = false;
    bool m_isFrontBehind = false;
    BootTime m_nextPoll;
    BootTime m_nextKeepAlive;
    BootTime m_nextHeartbeat;
    BootTime m_nextRequest;
    BootTime m_lastAnswer; // when the newest answered poll was sent
    std::map<MemberName, ConfigurationVersion> m_versions;
    std::map<MemberName, Incarnation> m_departed;
    std::map<MemberName, BootTime> m_absentSince; // no record in the store
    BootTime m_membersDifferSince;
    std::optional<HeadChange> m_change;
    bool m_isMembersChange = false;
    std::uint64_t m_lastAttempt = 0;
    BootTime m_nextAttempt;
    std::deque<Publication> m_publications; // the first one is under way
};

} // namespace shallotproxy
