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

/// How long a store answer or a round of vouches proves freshness, from before it was asked for.
inline constexpr Duration FreshnessPeriod = std::chrono::seconds(3);

/// The store answered a read of the head that was sent at `startedAt`.
struct HeadRead
{
    BootTime startedAt;
    ConfigurationHead head;
};

/// The configuration that this head names is now held whole.
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

/// This process is ending: it never vouches or accepts an announcement again.
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

/// Read the configuration of a newer head from the store; answered by HeadLoaded.
struct FetchFromStore
{
    ConfigurationHead head;
};

/// Ask a peer, which holds a newer head, for it; answered by HeadLoaded.
struct FetchFromPeer
{
    MemberName peer;
};

/// Swap the head for itself, so that a swap that is still under way on this revision fails.
struct FenceHead
{
    ConfigurationHead head;
};

using FreshnessAction =
    std::variant<SendFreshnessMessage, FetchFromStore, FetchFromPeer, FenceHead>;

/// Decides until when the configuration that a member holds is known to be the newest. It is fresh
/// for a while after the store or a majority of the registered members said so. docs/FRESHNESS.md
/// gives the protocol and its proof.
class Freshness
{
public:
    explicit Freshness(Incarnation self);

    auto step(const FreshnessEvent &event, BootTime now) -> std::vector<FreshnessAction>;

    [[nodiscard]] auto freshUntil() const -> BootTime { return m_freshUntil; }
    [[nodiscard]] auto loadedHead() const -> const ConfigurationHead & { return m_held; }
    /// Whether this member has accepted an announcement that isn't resolved.
    [[nodiscard]] auto hasPledge() const -> bool;

private:
    struct Pledge
    {
        StoreRevision base = 0;
        BootTime since;
    };

    struct Round
    {
        BootTime startedAt;
        StoreRevision revision = 0;
        std::set<Incarnation> vouchers;
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
    auto take(const ConfigurationHead &head) -> void;
    auto extendByRead(const HeadRead &read) -> void;
    auto fenceOverdue(BootTime now) -> Actions;
    [[nodiscard]] auto mayVouch(StoreRevision revision) const -> bool;

    Incarnation m_self;
    ConfigurationHead m_held;
    StoreRevision m_known = 0; // highest revision heard of
    bool m_isRetired = false;
    BootTime m_freshUntil;
    BootTime m_lastRead; // when the newest answered read of the store was sent
    std::optional<HeadRead> m_pendingRead; // proves freshness once its configuration is held
    std::map<std::string, Pledge> m_pledges; // by change
    std::map<std::uint64_t, Round> m_rounds;
    std::uint64_t m_lastRound = 0;
    BootTime m_nextRound;
    BootTime m_nextFence;
    BootTime m_strangerUntil; // how long an unregistered member may be fresh by our vouch
};

} // namespace shallotproxy
