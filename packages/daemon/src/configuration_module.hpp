#pragma once

#include <functional>
#include <map>
#include <string>

#include "control_context.hpp"

namespace shallotproxy {

/// Head record of the configuration: the one point of compare-and-swap.
struct ConfigurationHead
{
    ConfigurationVersion version = 0;
    std::string writer; // names the parts: config/VERSION.WRITER/
    std::uint32_t parts = 0;
    MSGPACK_DEFINE(version, writer, parts)
};

enum class PublishOutcome : std::uint8_t { Applied, NotApplied, Unknown };

/// Registers this member, follows the configuration and knows until when it is fresh.
class ConfigurationModule
{
public:
    explicit ConfigurationModule(ControlContext &context);

    auto tick(BootTime now) -> void;
    auto receive(const PeerEnvelope &envelope, BootTime now) -> void;
    auto drain() -> void;

    using PublishCallback = std::function<void(PublishOutcome)>;
    /// Swaps in the next version, made from the one held; `callback` runs once it is in force on
    /// every registered member, or is known not to have been applied.
    auto publish(const Configuration &next, PublishCallback callback) -> void;
    /// Newest version that each member has said it holds.
    [[nodiscard]] auto memberVersions() const -> const std::map<MemberName, ConfigurationVersion> &;

private:
    struct Publication
    {
        ConfigurationHead head;
        PublishCallback callback;
        BootTime deadline;
        bool isSwapped = false;
    };

    auto registerMember() -> void;
    auto writeMemberRecord() -> void;
    auto keepLease(BootTime now) -> void;
    auto poll(BootTime now) -> void;
    auto applyPoll(const StoreAnswer &answer, BootTime started) -> void;
    auto readParts(const ConfigurationHead &head, StoreRevision revision, BootTime started) -> void;
    auto hold(ConfigurationPointer configuration) -> void;
    auto extendFreshness(BootTime until) -> void;
    auto writeParts(const std::vector<std::string> &parts) -> void;
    auto swapHead() -> void;
    auto readBack() -> void;
    auto finishPublication(PublishOutcome outcome) -> void;
    auto checkPublication(BootTime now) -> void;

    ControlContext &m_context;
    StoreLease m_lease = 0;
    bool m_isRegistering = false;
    bool m_isRegistered = false;
    bool m_isPolling = false;
    bool m_isReading = false;
    bool m_isDraining = false;
    BootTime m_nextPoll;
    BootTime m_nextKeepAlive;
    BootTime m_nextHeartbeat;
    ConfigurationHead m_head;
    StoreRevision m_headRevision = 0;
    std::map<MemberName, ConfigurationVersion> m_versions;
    std::unique_ptr<Publication> m_publication;
};

} // namespace shallotproxy
