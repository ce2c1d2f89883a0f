#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "../base/boot_clock.hpp"
#include "../peer/messages/freshness_messages.hpp"
#include "configuration_head.hpp"

namespace shallotproxy {

/// How long a store answer or a round of confirmations proves that the configuration is the newest,
/// counted from before the request was sent.
inline constexpr Duration FreshnessPeriod = std::chrono::seconds(3);

/// The store has answered a read of the head that was sent at `startedAt`.
struct HeadRead
{
    BootTime startedAt;
    ConfigurationHead head;
};

/// The configuration that this head names has been loaded completely.
struct HeadLoaded
{
    ConfigurationHead head;
};

using FreshnessMessage =
    std::variant<Announce, AnnounceCancel, HeadConfirmationRequest, HeadConfirmationAnswer>;

struct FreshnessMessageReceived
{
    Incarnation from;
    FreshnessMessage message;
};

/// This process is shutting down: it confirms no head any more.
struct MemberRetired
{ };

struct FreshnessTick
{ };

using FreshnessEvent =
    std::variant<HeadRead, HeadLoaded, FreshnessMessageReceived, MemberRetired, FreshnessTick>;

struct SendFreshnessMessage
{
    MemberName to;
    std::variant<AnnounceAnswer, HeadConfirmationRequest, HeadConfirmationAnswer> message;
};

/// Reads the configuration of a newer head from the store; answered by HeadLoaded.
struct FetchFromStore
{
    ConfigurationHead head;
};

/// Requests the configuration of a peer that has loaded a newer head; answered by HeadLoaded.
struct FetchFromPeer
{
    MemberName peer;
};

/// Swaps the head for itself, so that a swap still in flight on this revision fails.
struct FenceHead
{
    ConfigurationHead head;
};

using FreshnessAction =
    std::variant<SendFreshnessMessage, FetchFromStore, FetchFromPeer, FenceHead>;

/// Decides until when the loaded configuration of a member is known to be the newest ("fresh"). It
/// stays fresh for FreshnessPeriod after the store or a majority of the registered members
/// confirmed it. docs/FRESHNESS.md describes the protocol and proves it.
class Freshness
{
public:
    explicit Freshness(Incarnation self);

    auto step(const FreshnessEvent &event, BootTime now) -> std::vector<FreshnessAction>;

    [[nodiscard]] auto freshUntil() const -> BootTime { return m_freshUntil; }
    [[nodiscard]] auto loadedHead() const -> const ConfigurationHead & { return m_loadedHead; }
    /// Returns whether this member has accepted the announcement of a change whose outcome it does
    /// not know yet.
    [[nodiscard]] auto hasPendingAnnouncement() const -> bool;

private:
    struct AcceptedAnnouncement
    {
        StoreRevision base = 0;
        BootTime since;
    };

    struct ConfirmationRound
    {
        BootTime startedAt;
        StoreRevision revision = 0;
        std::set<Incarnation> confirmedBy;
    };

    using Actions = std::vector<FreshnessAction>;

    auto handle(const HeadRead &event, BootTime now) -> Actions;
    auto handle(const HeadLoaded &event, BootTime now) -> Actions;
    auto handle(const FreshnessMessageReceived &event, BootTime now) -> Actions;
    auto handle(const MemberRetired &event, BootTime now) -> Actions;
    auto handle(const FreshnessTick &event, BootTime now) -> Actions;
    auto receive(const Incarnation &from, const Announce &message, BootTime now) -> Actions;
    auto receive(const Incarnation &from, const AnnounceCancel &message, BootTime now) -> Actions;
    auto receive(const Incarnation &from, const HeadConfirmationRequest &message, BootTime now)
        -> Actions;
    auto receive(const Incarnation &from, const HeadConfirmationAnswer &message, BootTime now)
        -> Actions;
    auto applyHead(const ConfigurationHead &head) -> void;
    auto extendByRead(const HeadRead &read) -> void;
    auto fenceOverdue(BootTime now) -> Actions;
    [[nodiscard]] auto mayConfirm(StoreRevision revision) const -> bool;

    Incarnation m_self;
    ConfigurationHead m_loadedHead;
    StoreRevision m_highestRevision = 0; // Highest revision that a store or peer answer named.
    bool m_isRetired = false;
    BootTime m_freshUntil;
    BootTime m_lastReadStartedAt; // When the latest of the answered store reads was sent.
    std::optional<HeadRead> m_pendingRead; // Counts once its configuration has been loaded.
    std::map<std::string, AcceptedAnnouncement> m_announcements; // By id of the change.
    std::map<std::uint64_t, ConfirmationRound> m_rounds;
    std::uint64_t m_lastRound = 0;
    BootTime m_nextRound;
    BootTime m_nextFence;
    /// Until when an unregistered member may be fresh by a confirmation of this member.
    BootTime m_unregisteredFreshUntil;
};

} // namespace shallotproxy
