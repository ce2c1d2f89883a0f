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

/// This incarnation has recorded in the store that it confirms no head any more.
struct MemberLeft
{
    Incarnation incarnation;
};

/// A member reports the revision of the head that it has loaded.
struct MemberHeadReported
{
    Incarnation incarnation;
    StoreRevision revision = 0;
};

/// Answer of the store to the swap or to a read-back: the revision of the head, and whether the
/// record of the change marks it as applied.
struct ChangeRead
{
    StoreRevision revision = 0;
    bool isApplied = false;
};

/// The fence has taken effect: a swap on the base revision can no longer succeed.
struct ChangeFenced
{ };

/// A call to the store was not answered; it may have taken effect.
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

/// Swaps the head and records the change as applied, if the head still has the base revision.
/// Answered by ChangeRead or ChangeAnswerLost.
struct SwapHead
{ };

/// Reads the head and the record of the change. Answered by ChangeRead or ChangeAnswerLost.
struct ReadBack
{ };

/// Swaps the base head for itself. Answered by ChangeFenced, ChangeRead or ChangeAnswerLost.
struct FenceSwap
{ };

struct ChangeFinished
{
    ChangeOutcome outcome = ChangeOutcome::Unknown;
};

using HeadChangeAction =
    std::variant<SendAnnounce, SendAnnounceCancel, SwapHead, ReadBack, FenceSwap, ChangeFinished>;

/// One change of the head by one writer: announced to a majority of the registered members, then
/// swapped in the store, then propagated to all members. The outcome is reported once it is
/// certain.
class HeadChange
{
public:
    HeadChange(std::string id, ConfigurationHead base, HeadRecord next, BootTime now);

    auto step(const HeadChangeEvent &event, BootTime now) -> std::vector<HeadChangeAction>;

    [[nodiscard]] auto id() const -> const std::string & { return m_id; }
    [[nodiscard]] auto base() const -> const ConfigurationHead & { return m_base; }
    [[nodiscard]] auto next() const -> const HeadRecord & { return m_next; }

private:
    enum class Stage : std::uint8_t {
        Announcing,
        Swapping,
        Reading,
        Fencing,
        Propagating,
        Finished
    };

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
    auto recordAcceptance(const Incarnation &from) -> Actions;
    auto checkPropagation(BootTime now) -> Actions;
    auto finish(ChangeOutcome outcome) -> Actions;

    std::string m_id;
    ConfigurationHead m_base;
    HeadRecord m_next;
    BootTime m_startedAt;
    Stage m_stage = Stage::Announcing;
    std::set<Incarnation> m_acceptedBy; // A subset of the registered members of the base.
    bool m_hasConfirmedUnregistered = false;
    bool m_isCallPending = false;
    BootTime m_nextAttempt;
    StoreRevision m_appliedRevision = 0; // Heads of this revision or a later one have the change.
    BootTime m_swapSeenAt; // The swap took effect no later than this.
    std::map<Incarnation, StoreRevision> m_reportedRevisions;
};

} // namespace shallotproxy
