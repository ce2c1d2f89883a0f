#pragma once

#include <deque>
#include <optional>
#include <variant>
#include <vector>

#include "../base/boot_clock.hpp"
#include "../peer/messages.hpp"
#include "unit_ledger.hpp"

namespace shallotproxy {

/// The limits that a configuration declares, and the longest that a started request may run.
struct LimitsDeclared
{
    ConfigurationVersion version = 0;
    std::map<TeamName, std::uint32_t> limits;
    Duration maxRunTime{0};
};

/// Processes that are registered as members.
struct MembersListed
{
    std::set<Incarnation> processes;
};

/// What one team has running at this member, and running and queued together.
struct UnitLoad
{
    std::uint32_t running = 0;
    std::uint32_t wanted = 0;
};

/// Loads of this member, taken after it had applied the SetUnits of this mark.
struct UnitLoads
{
    std::uint64_t generation = 0;
    std::map<TeamName, UnitLoad> teams;
};

/// The ledger as read by a call that was sent at `started`; revision 0 if there is none.
struct LedgerRead
{
    UnitLedger ledger;
    std::int64_t revision = 0;
    BootTime started;
};

/// A WriteLedger was answered. Not succeeded covers every failure, a lost answer too.
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

/// The member shuts down: its idle units go to others.
struct LeaveStarted
{ };

using LimitEvent = std::variant<LimitsDeclared, MembersListed, UnitLoads, LedgerRead, LedgerWritten,
                                UnitMessage, LimitTick, LeaveStarted>;

/// Read the ledger.
struct ReadLedger
{ };

/// Swap in `ledger` if the record still has revision `expected`.
struct WriteLedger
{
    UnitLedger ledger;
    std::int64_t expected = 0;
};

/// Start work of a team only while fewer than its units run. Loads that name `generation` or a
/// later one prove that this is in force.
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

/// Holds this member's units of the teams' upper limits. Over all members, dead ones included,
/// units never sum to more than the limit. Pure: no I/O and no clock of its own.
class MemberUnits
{
public:
    /// For how long a read of the ledger, or a round of attestations, proves the account live.
    static constexpr Duration ContactTime = std::chrono::seconds(5);
    /// For how long the front may go on with what it was last told.
    static constexpr Duration FrontTime = std::chrono::seconds(3);
    /// The longest that attestations stand in for the store.
    static constexpr Duration LongestStoreSilence = std::chrono::minutes(15);

    explicit MemberUnits(Incarnation process);

    auto step(const LimitEvent &event, BootTime now) -> std::vector<LimitAction>;

    [[nodiscard]] auto held(const TeamName &team) const -> std::int64_t;
    [[nodiscard]] auto account() const -> const Incarnation & { return m_account; }
    /// Whether units may be used: the account is surely live.
    [[nodiscard]] auto isUsable(BootTime now) const -> bool { return now < m_usableUntil; }

private:
    struct Gift
    {
        MemberName to;
        std::uint32_t held = 0;
        std::uint32_t wanted = 0;
    };

    /// Flow to and from another account since this one opened.
    struct Partner
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

    auto resolvePending(const LedgerRead &event) -> void;
    auto completePending() -> void;
    auto abandonPending() -> void;
    auto restart() -> void;
    auto planWrite() -> void;
    auto declareLimits(UnitLedger &next) const -> void;
    auto endVanished(UnitLedger &next) -> void;
    auto settle(UnitLedger &next, PendingWrite &pending) -> void;
    auto freeEnded(UnitLedger &next) -> void;
    auto claim(UnitLedger &next, PendingWrite &pending) const -> void;
    auto giveBack(UnitLedger &next, PendingWrite &pending) -> void;
    auto openAccount(UnitLedger &next) const -> void;
    auto observeEnded() -> void;
    [[nodiscard]] auto isMyTurn() const -> bool;
    [[nodiscard]] auto quietTime(const Incarnation &ended) const -> Duration;

    auto giveGifts() -> void;
    [[nodiscard]] auto giftFor(const TeamName &team, const Gift &gift) const -> std::int64_t;
    auto giveAll() -> void;
    auto transfer(const MemberName &to, const TeamUnits &units) -> void;
    auto repeatTransfers() -> void;
    auto askForUnits() -> void;
    auto askForAttestations() -> void;
    auto publishUnits() -> void;
    [[nodiscard]] auto ceiling(const TeamName &team) const -> std::int64_t;
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
    std::map<Incarnation, BootTime> m_vanished; // live accounts without a registered process
    std::map<Incarnation, BootTime> m_settledSince; // ended accounts that all have settled
    std::map<Incarnation, BootTime> m_endedSince;
    UnitLedger m_ledger;
    std::int64_t m_revision = -1;
    std::optional<PendingWrite> m_pending;
    bool m_isWriting = false;
    BootTime m_nextRead;

    TeamUnits m_held;
    std::map<TeamName, UnitLoad> m_loads;
    std::map<Incarnation, Partner> m_partners;
    std::set<Incarnation> m_closed; // accounts that nothing is taken from any more
    std::map<TeamName, std::vector<Gift>> m_gifts;
    std::map<TeamName, std::int64_t> m_reserved; // kept from the front for gifts
    bool m_hasNewGift = false;
    std::uint64_t m_giftMark = 0; // from here on the front leaves the reserved units alone
    std::uint64_t m_mark = 0;
    std::uint64_t m_confirmedMark = 0;
    std::map<TeamName, std::uint32_t> m_published;
    std::map<std::uint64_t, std::map<TeamName, std::uint32_t>> m_unconfirmed; // by mark
    std::size_t m_nextPeer = 0;
    BootTime m_nextAsk;

    std::uint64_t m_round = 0;
    BootTime m_roundStarted;
    std::set<Incarnation> m_attestations;
    BootTime m_nextRound;

    std::vector<LimitAction> m_actions;
};

} // namespace shallotproxy
