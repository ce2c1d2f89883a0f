#pragma once

#include <deque>
#include <optional>
#include <variant>
#include <vector>

#include "../base/boot_clock.hpp"
#include "../peer/messages.hpp"
#include "unit_ledger.hpp"

namespace shallotproxy {

/// The upper limits of the teams that a configuration declares, and the longest time that a started
/// request may run.
struct LimitsDeclared
{
    ConfigurationVersion version = 0;
    std::map<TeamName, std::uint32_t> limits;
    Duration maxRunTime{0};
};

/// The processes that are registered as members.
struct MembersListed
{
    std::set<Incarnation> processes;
};

/// Load of one team at this member: `running` counts its running requests, `wanted` the running and
/// the queued ones together.
struct UnitLoad
{
    std::uint32_t running = 0;
    std::uint32_t wanted = 0;
};

/// Loads of this member, measured after the SetUnits of this generation had been applied.
struct UnitLoads
{
    std::uint64_t generation = 0;
    std::map<TeamName, UnitLoad> teams;
};

/// The ledger as returned by a read that was sent at `startedAt`; revision 0 if the record does not
/// exist.
struct LedgerRead
{
    UnitLedger ledger;
    std::int64_t revision = 0;
    BootTime startedAt;
};

/// The result of a WriteLedger. `hasSucceeded` is false after any failure, including a lost answer.
struct LedgerWritten
{
    bool hasSucceeded = false;
};

struct UnitMessage
{
    MemberName from;
    PeerMessage message;
};

struct LimitTick
{ };

/// The member is shutting down: it transfers its idle units to other members.
struct LeaveStarted
{ };

using LimitEvent = std::variant<LimitsDeclared, MembersListed, UnitLoads, LedgerRead, LedgerWritten,
                                UnitMessage, LimitTick, LeaveStarted>;

/// Reads the ledger; answered by LedgerRead.
struct ReadLedger
{ };

/// Replaces the ledger by `ledger` if the record still has revision `expected`; answered by
/// LedgerWritten.
struct WriteLedger
{
    UnitLedger ledger;
    std::int64_t expected = 0;
};

/// Limits the front: it starts a request of a team only while fewer than `units` of it are running.
/// Loads of this generation or a later one prove that this is in force.
struct SetUnits
{
    std::uint64_t generation = 0;
    std::map<TeamName, std::uint32_t> units;
};

struct SendUnitMessage
{
    MemberName to;
    PeerMessage message;
};

using LimitAction = std::variant<ReadLedger, WriteLedger, SetUnits, SendUnitMessage>;

/// Manages the units that this member holds of the teams' upper limits; each unit allows one
/// running request of the team. The units of all members, dead ones included, never sum to more
/// than the limit. Pure: no I/O and no clock of its own.
class MemberUnits
{
public:
    /// How long a read of the ledger or a round of attestations proves that the account is live.
    static constexpr Duration ContactValidity = std::chrono::seconds(5);
    /// How long the front may act on the last update that it received.
    static constexpr Duration FrontUpdateValidity = std::chrono::seconds(3);
    /// How long attestations may replace reads of the store.
    static constexpr Duration MaxStoreOutage = std::chrono::minutes(15);

    explicit MemberUnits(Incarnation process);

    auto step(const LimitEvent &event, BootTime now) -> std::vector<LimitAction>;

    [[nodiscard]] auto held(const TeamName &team) const -> std::int64_t;
    [[nodiscard]] auto account() const -> const Incarnation & { return m_account; }
    /// Returns whether units may be used: the account is proven to be live.
    [[nodiscard]] auto isUsable(BootTime now) const -> bool { return now < m_usableUntil; }

private:
    /// A unit request to be granted, with the units that the requester holds and wants.
    struct Grant
    {
        MemberName to;
        std::uint32_t held = 0;
        std::uint32_t wanted = 0;
    };

    /// Units transferred to and from another account since this one was opened.
    struct PeerAccount
    {
        std::uint64_t lastReceived = 0;
        std::uint64_t lastSent = 0;
        TeamUnits received;
        TeamUnits sent;
        std::optional<UnitTransfer> outstanding;
        BootTime nextRepeat;
    };

    struct PendingWrite
    {
        WriteLedger write;
        std::uint64_t number = 0;
        TeamUnits claimed;
        TeamUnits returned;
        std::set<Incarnation> settled;
    };

    auto handle(const LimitsDeclared &event) -> void;
    auto handle(const MembersListed &event) -> void;
    auto handle(const UnitLoads &event) -> void;
    auto handle(const LedgerRead &event) -> void;
    auto handle(const LedgerWritten &event) -> void;
    auto handle(const UnitMessage &event) -> void;
    auto handle(const LimitTick &event) -> void;
    auto handle(const LeaveStarted &event) -> void;

    auto receive(const MemberName &from, const UnitRequest &message) -> void;
    auto receive(const UnitTransfer &message) -> void;
    auto receive(const UnitTransferAck &message) -> void;
    auto receive(const MemberName &from, const UnitAttestRequest &message) -> void;
    auto receive(const UnitAttestation &message) -> void;

    auto resolvePendingWrite(const LedgerRead &event) -> void;
    auto completePendingWrite() -> void;
    auto abandonPendingWrite() -> void;
    auto abandonAccount() -> void;
    auto planWrite() -> void;
    auto declareLimits(UnitLedger &next) const -> void;
    auto endUnregistered(UnitLedger &next) -> void;
    auto settle(UnitLedger &next, PendingWrite &pending) -> void;
    auto removeEnded(UnitLedger &next) -> void;
    auto claim(UnitLedger &next, PendingWrite &pending) const -> void;
    auto returnSurplus(UnitLedger &next, PendingWrite &pending) -> void;
    auto openAccount(UnitLedger &next) const -> void;
    auto observeEnded() -> void;
    [[nodiscard]] auto isClaimTurn() const -> bool;
    [[nodiscard]] auto releaseDelay(const Incarnation &ended) const -> Duration;

    auto transferGrants() -> void;
    [[nodiscard]] auto unitsToGrant(const TeamName &team, const Grant &grant) const -> std::int64_t;
    auto transferAllIdle() -> void;
    auto transfer(const MemberName &to, const TeamUnits &units) -> void;
    auto repeatTransfers() -> void;
    auto requestUnits() -> void;
    auto requestAttestations() -> void;
    auto publishUnits() -> void;
    [[nodiscard]] auto usableUnits(const TeamName &team) const -> std::int64_t;
    [[nodiscard]] auto idle(const TeamName &team) const -> std::int64_t;
    [[nodiscard]] auto limitOf(const TeamName &team) const -> std::int64_t;
    [[nodiscard]] auto accountOf(const MemberName &member) const -> std::optional<Incarnation>;
    auto send(const MemberName &to, PeerMessage message) -> void;

    Incarnation m_process;
    Incarnation m_account;
    bool m_isOpen = false;
    bool m_isRestarting = false;
    bool m_isLeaving = false;
    BootTime m_now;
    BootTime m_usableUntil;
    BootTime m_lastContact;
    LimitsDeclared m_declared;
    std::set<Incarnation> m_processes;
    /// Live accounts whose process is not registered.
    std::map<Incarnation, BootTime> m_unregisteredSince;
    /// Ended accounts with which every live account has settled.
    std::map<Incarnation, BootTime> m_settledSince;
    std::map<Incarnation, BootTime> m_endedSince;
    UnitLedger m_ledger;
    std::int64_t m_revision = -1;
    std::optional<PendingWrite> m_pending;
    bool m_isWriting = false;
    BootTime m_nextRead;

    TeamUnits m_held;
    std::map<TeamName, UnitLoad> m_loads;
    std::map<Incarnation, PeerAccount> m_peerAccounts;
    std::set<Incarnation> m_closedAccounts; // Transfers from these are refused.
    std::map<TeamName, std::vector<Grant>> m_grants;
    std::map<TeamName, std::int64_t> m_reserved; // Units for grants, withheld from the front.
    bool m_hasNewGrant = false;
    std::uint64_t m_grantGeneration = 0; // From this one on, the front uses no reserved units.
    std::uint64_t m_generation = 0;
    std::uint64_t m_confirmedGeneration = 0;
    std::map<TeamName, std::uint32_t> m_published;
    std::map<std::uint64_t, std::map<TeamName, std::uint32_t>> m_unconfirmed; // By generation.
    std::size_t m_nextPeer = 0;
    BootTime m_nextRequest;

    std::uint64_t m_round = 0;
    BootTime m_roundStarted;
    std::set<Incarnation> m_attestations;
    BootTime m_nextRound;

    std::vector<LimitAction> m_actions;
};

} // namespace shallotproxy
