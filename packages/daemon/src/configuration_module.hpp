#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>

#include "control_context.hpp"

namespace shallotproxy {

using PublishOutcome = ChangeOutcome;

/// The record in the store of one applied version, shown to operators.
struct HistoryRecord
{
    ConfigurationVersion version = 0;
    std::string change; // id of the publication that wrote the version
    std::int64_t wallMilliseconds = 0;
    std::vector<std::string> lines;
    MSGPACK_DEFINE(version, change, wallMilliseconds, lines)
};

/// Registers this member, loads new versions of the configuration, tracks until when it is fresh,
/// and publishes new versions. Freshness and HeadChange make the decisions; this class performs
/// their actions.
class ConfigurationModule
{
public:
    explicit ConfigurationModule(ControlContext &context);

    auto tick(BootTime now) -> void;
    auto receive(const PeerEnvelope &envelope, BootTime now) -> void;
    /// Called after the loaded configuration has been sent to the front duty.
    auto configurationChanged() -> void;
    auto drain() -> void;

    using PublishCallback = std::function<void(PublishOutcome)>;
    /// Replaces the loaded version by `next`, which is made from it. `callback` runs once `next` is
    /// in force on every registered member, is known not to have been applied, or its outcome stays
    /// unknown. `records` are written in the same transaction.
    auto publish(const Configuration &next, std::vector<StorePut> records, PublishCallback callback)
        -> void;
    auto publish(const Configuration &next, PublishCallback callback) -> void;
    /// Returns the version that each member has last reported in its heartbeat.
    [[nodiscard]] auto memberVersions() const -> const std::map<MemberName, ConfigurationVersion> &;

    using HistoryCallback = std::function<void(const std::vector<HistoryRecord> &)>;
    /// Reads the retained history, oldest version first; empty if the store does not answer.
    auto readHistory(const HistoryCallback &callback) -> void;

private:
    struct Publication
    {
        std::string id;
        Configuration next;
        std::vector<StorePut> records;
        PublishCallback callback;
        BootTime deadline;
        bool isWritten = false; // the parts of `next` are in the store
    };

    auto registerMember() -> void;
    auto writeMemberRecord() -> void;
    auto renewLease(BootTime now) -> void;
    auto poll(BootTime now) -> void;
    auto applyPoll(const StoreAnswer &answer, BootTime started) -> void;
    auto updateDirectory(const std::vector<StoreRecord> &records, BootTime now) -> void;
    auto addUnlistedMember(const PeerEnvelope &envelope, const Heartbeat &heartbeat) -> void;
    auto sendHeartbeat(BootTime now) -> void;
    auto answerRequest(const Incarnation &from, const ConfigurationRequest &request) -> void;
    auto applyReply(const ConfigurationReply &reply, BootTime now) -> void;
    auto requestFrom(const MemberName &peer, BootTime now) -> void;

    auto stepFreshness(const FreshnessEvent &event, BootTime now) -> void;
    auto perform(const SendFreshnessMessage &action) -> void;
    auto perform(const FetchFromStore &action) -> void;
    auto perform(const FetchFromPeer &action) -> void;
    auto perform(const FenceHead &action) -> void;
    auto load(const ConfigurationHead &head, Configuration configuration) -> void;
    auto updateFreshness() -> void;

    [[nodiscard]] auto membersToRegister(BootTime now) -> std::vector<Incarnation>;
    auto updateRegisteredMembers(BootTime now) -> void;
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
    auto applyChangeReply(const StoreReply &reply, bool isFence) -> void;
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
    BootTime m_lastAnsweredPoll; // when the last answered poll was sent
    std::map<MemberName, ConfigurationVersion> m_versions;
    std::map<MemberName, Incarnation> m_departed;
    std::map<MemberName, BootTime> m_absentSince; // members without a record in the store
    BootTime m_membersDifferSince;
    std::optional<HeadChange> m_change;
    bool m_isMembersChange = false;
    std::uint64_t m_lastAttempt = 0;
    BootTime m_nextAttempt;
    std::deque<Publication> m_publications; // the first one is being published
};

} // namespace shallotproxy
