#pragma once

#include <optional>
#include <variant>

#include "pool_shares.hpp"

namespace shallotproxy {

/// The pools, and the registered members with their incarnations.
struct PoolsDeclared
{
    std::map<PoolName, PoolParameters> pools;
};

struct ShareMembers
{
    std::set<Incarnation> members;
};

/// What this member has queued and running.
struct ShareLoads
{
    std::map<PoolName, std::vector<TeamDemand>> pools;
};

/// Anything heard of a peer, so that it is known to be reachable.
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

/// One round: reports go out, and credits for the pools that this member stewards.
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

/// Keep at most these slots of the pool busy.
struct SetCredits
{
    PoolName pool;
    TeamSlots slots;
};

using ShareAction = std::variant<SendDemand, SendGrant, SetCredits>;

/// The member that computes a pool's credits: the highest by rendezvous hashing.
auto stewardOf(const PoolName &pool, const std::set<MemberName> &members)
    -> std::optional<MemberName>;

/// Decides how many slots of each pool this member keeps busy per team, and steward for some
/// pools, how many the others do. Pure: no I/O and no clock of its own.
class ShareLedger
{
public:
    /// For how long credits count; then the member goes on alone with its even part of the pool.
    static constexpr Duration GrantTime = std::chrono::seconds(1);
    /// A peer that was not heard of for this long is not chosen as steward.
    static constexpr Duration SilentTime = std::chrono::milliseconds(800);

    explicit ShareLedger(Incarnation self);

    auto step(const ShareEvent &event, BootTime now) -> std::vector<ShareAction>;
    [[nodiscard]] auto steward(const PoolName &pool) const -> std::optional<MemberName>;

private:
    struct PoolState
    {
        PoolParameters terms;
        std::vector<TeamDemand> load;
        PoolShares stewarded; // used while this member is the steward
        PoolShares alone; // used while there is no steward
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
    auto goAlone(const PoolName &name, PoolState &pool) -> void;
    auto publish(const PoolName &name, PoolState &pool, TeamSlots slots) -> void;
    [[nodiscard]] auto evenPart(std::uint32_t slots) const -> std::uint32_t;

    Incarnation m_self;
    BootTime m_now;
    std::map<PoolName, PoolState> m_pools;
    std::set<Incarnation> m_registered;
    std::set<MemberName> m_members;
    std::map<MemberName, BootTime> m_heard;
    std::uint64_t m_round = 0;
    std::vector<ShareAction> m_actions;
};

} // namespace shallotproxy
