#pragma once

#include <optional>
#include <variant>

#include "pool_shares.hpp"

namespace shallotproxy {

/// The pools that a configuration declares.
struct PoolsDeclared
{
    std::map<PoolName, PoolParameters> pools;
};

/// The registered members with their incarnations.
struct ShareMembers
{
    std::set<Incarnation> members;
};

/// The queued and running requests of this member.
struct ShareLoads
{
    std::map<PoolName, std::vector<TeamDemand>> pools;
};

/// Any message was received from a peer, so the peer is reachable.
struct PeerMessageReceived
{
    Incarnation from;
};

struct DemandReported
{
    Incarnation from;
    DemandReport report;
};

struct CreditGranted
{
    Incarnation from;
    CreditGrant grant;
};

/// Starts one round: sends demand reports, and grants credits for the pools that this member
/// stewards.
struct ShareRound
{ };

using ShareEvent = std::variant<PoolsDeclared, ShareMembers, ShareLoads, PeerMessageReceived,
                                DemandReported, CreditGranted, ShareRound>;

struct SendDemand
{
    MemberName to;
    DemandReport report;
};

struct SendGrant
{
    MemberName to;
    CreditGrant grant;
};

/// Limits the slots of the pool that this member keeps busy per team.
struct SetCredits
{
    PoolName pool;
    TeamSlots slots;
};

using ShareAction = std::variant<SendDemand, SendGrant, SetCredits>;

/// Returns the member that computes the credits of a pool, chosen by rendezvous hashing.
auto stewardOf(const PoolName &pool, const std::set<MemberName> &members)
    -> std::optional<MemberName>;

/// Decides how many slots of each pool this member keeps busy per team and, for the pools that it
/// stewards, how many the other members do. Pure: no I/O and no clock of its own.
class ShareLedger
{
public:
    /// How long credits count. After that, the member uses its even part of the pool.
    static constexpr Duration GrantLifetime = std::chrono::seconds(1);
    /// A peer that has sent no message for this long is not chosen as steward.
    static constexpr Duration PeerTimeout = std::chrono::milliseconds(800);

    explicit ShareLedger(Incarnation self);

    auto step(const ShareEvent &event, BootTime now) -> std::vector<ShareAction>;
    [[nodiscard]] auto steward(const PoolName &pool) const -> std::optional<MemberName>;

private:
    struct PoolState
    {
        PoolParameters parameters;
        std::vector<TeamDemand> load;
        PoolShares stewarded; // Used while this member is the steward.
        PoolShares local; // Used while no steward grants credits.
        BootTime stewardSince;
        bool isSteward = false;
        Incarnation granter;
        std::uint64_t lastRound = 0;
        BootTime grantedUntil;
        TeamSlots published;
    };

    auto handle(const PoolsDeclared &event) -> void;
    auto handle(const ShareMembers &event) -> void;
    auto handle(const ShareLoads &event) -> void;
    auto handle(const PeerMessageReceived &event) -> void;
    auto handle(const DemandReported &event) -> void;
    auto handle(const CreditGranted &event) -> void;
    auto handle(const ShareRound &event) -> void;

    auto runRound(const PoolName &name, PoolState &pool) -> void;
    auto grantAll(const PoolName &name, PoolState &pool) -> void;
    auto allocateLocally(const PoolName &name, PoolState &pool) -> void;
    auto publish(const PoolName &name, PoolState &pool, TeamSlots slots) -> void;
    [[nodiscard]] auto evenPart(std::uint32_t slots) const -> std::uint32_t;

    Incarnation m_self;
    BootTime m_now;
    std::map<PoolName, PoolState> m_pools;
    std::set<Incarnation> m_registered;
    std::set<MemberName> m_members;
    std::map<MemberName, BootTime> m_lastReceived;
    std::uint64_t m_round = 0;
    std::vector<ShareAction> m_actions;
};

} // namespace shallotproxy
