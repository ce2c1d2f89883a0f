#pragma once

#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "../base/boot_clock.hpp"
#include "../peer/messages/freshness_messages.hpp"
#include "configuration_head.hpp"

namespace shallotproxy {

enum class ChangeOutcome : std::uint8_t { Applied, NotApplied, Unknown };

struct ChangeStarted
{ };

struct ChangeTick
{ };

struct AnnounceAnswerReceived
{
    Incarnation from;
    AnnounceAnswer answer;
};

/// This incarnation has recorded in the store that it vouches no more.
struct MemberLeft
{
    Incarnation incarnation;
};

/// A member says which head it holds.
struct MemberHeadReported
{
    Incarnation incarnation;
    StoreRevision revision = 0;
};

/// What the store said to the swap or to a read-back: the head's revision, and whether the record
/// of the change says that it was applied.
struct ChangeRead
{
    StoreRevision revision = 0;
    bool isApplied = false;
};

/// The fence took effect: no swap on the old revision can.
struct ChangeFenced
{ };

/// The call to the store had no answer; it may have taken effect.
struct ChangeAnswerLost
{ };

using HeadChangeEvent =
    std::variant<ChangeStarted, ChangeTick, AnnounceAnswerReceived, MemberLeft, MemberHeadReported,
                 ChangeRead, ChangeFenced, ChangeAnswerLost>;

struct SendAnnounce
{
    Incarnation to;
};

struct SendAnnounceCancel
{ };

/// Swap the head, and record the change as applied, if the head still has the base revision.
/// Answered by ChangeRead or ChangeAnswerLost.
struct SwapHead
{ };

/// Answered by ChangeRead or ChangeAnswerLost.
struct ReadBack
{ };

/// Swap the base head for itself. Answered by ChangeFenced, ChangeRead or ChangeAnswerLost.
struct FenceSwap
{ };

struct ChangeFinished
{
    ChangeOutcome outcome = ChangeOutcome::Unknown;
};

using HeadChangeAction =
    std::variant<SendAnnounce, SendAnnounceCancel, SwapHead, ReadBack, FenceSwap, ChangeFinished>;

/// One change of the head by one writer: announced to a majority of the registered members, then
/// swapped, then in force on all. Its outcome is told only once it is certain.
class HeadChange
{
public:
    HeadChange(std::string id, ConfigurationHead base, HeadRecord next, BootTime now);

    auto step(const HeadChangeEvent &event, BootTime now) -> std::vector<HeadChangeAction>;

    [[nodiscard]] auto id() const -> const std::string & { return m_id; }
    [[nodiscard]] auto base() const -> const ConfigurationHead & { return m_base; }
    [[nodiscard]] auto next() const -> const HeadRecord & { return m_next; }

private:
    enum class Stage : std::uint8_t { Announcing, Swapping, Reading, Fencing, Spreading, Finished };

    using Actions = std::vector<HeadChangeAction>;

    auto handle(const ChangeStarted &event, BootTime now) -> Actions;
    auto handle(const ChangeTick &event, BootTime now) -> Actions;
    auto handle(const AnnounceAnswerReceived &event, BootTime now) -> Actions;
    auto handle(const MemberLeft &event, BootTime now) -> Actions;
    auto handle(const MemberHeadReported &event, BootTime now) -> Actions;
    auto handle(const ChangeRead &event, BootTime now) -> Actions;
    auto handle(const ChangeFenced &event, BootTime now) -> Actions;
    auto handle(const ChangeAnswerLost &event, BootTime now) -> Actions;
    auto announce(BootTime now) -> Actions;
    auto accept(const Incarnation &from) -> Actions;
    auto checkSpread(BootTime now) -> Actions;
    auto finish(ChangeOutcome outcome) -> Actions;

    std::string m_id;
    ConfigurationHead m_base;
    HeadRecord m_next;
    BootTime m_startedAt;
    Stage m_stage = Stage::Announcing;
    std::set<Incarnation> m_accepted; // of the base's registered members
    bool m_hasVouchedStranger = false;
    bool m_isCallPending = false;
    BootTime m_nextTry;
    StoreRevision m_revision = 0; // from which on the change is in force
    BootTime m_swappedBy; // when the swap had surely taken effect
    std::map<Incarnation, StoreRevision> m_holds;
};

} // namespace shallotproxy
