#include <chrono>

#include "shallotproxy/process/freshness/freshness.hpp"
#include "shallotproxy/process/freshness/head_change.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr Duration AnnounceTimeout = 2s; // Without a majority by then, the change is cancelled.
constexpr Duration AnnounceInterval = 300ms;
constexpr Duration RetryInterval = 200ms;
constexpr Duration ResolveTimeout = 9s; // Unresolved by then, the outcome is reported as unknown.
constexpr Duration ClockMargin = 200ms;

} // namespace

HeadChange::HeadChange(std::string id, ConfigurationHead base, HeadRecord next, BootTime now)
    : m_id(std::move(id))
    , m_base(std::move(base))
    , m_next(std::move(next))
    , m_startedAt(now)
{ }

auto HeadChange::step(const HeadChangeEvent &event, BootTime now) -> std::vector<HeadChangeAction>
{
    if (m_stage == Stage::Finished)
        return {};
    return std::visit([this, now](const auto &it) { return handle(it, now); }, event);
}

auto HeadChange::handle(const ChangeStarted & /*event*/, BootTime now) -> Actions
{
    if (m_base.majority() > 0)
        return announce(now);
    m_stage = Stage::Swapping;
    m_isCallPending = true;
    return {SwapHead()};
}

auto HeadChange::announce(BootTime now) -> Actions
{
    m_nextAttempt = now + AnnounceInterval;
    auto actions = Actions();
    for (const auto &it : m_base.record.registered) {
        if (!m_acceptedBy.contains(it))
            actions.emplace_back(SendAnnounce{it});
    }
    return actions;
}

auto HeadChange::handle(const AnnounceAnswerReceived &event, BootTime /*now*/) -> Actions
{
    if (m_stage != Stage::Announcing || event.answer.change != m_id)
        return {};
    if (!event.answer.isAccepted) {
        auto actions = Actions{SendAnnounceCancel()};
        actions.emplace_back(finish(ChangeOutcome::NotApplied).front());
        return actions;
    }
    const auto it =
        std::ranges::find(m_base.record.registered, event.from.member, &Incarnation::member);
    if (it == m_base.record.registered.end())
        return {};
    // A newer incarnation answers for its predecessor. That one is dead and confirms no head any
    // more, but may have confirmed one to an unregistered member shortly before.
    m_hasConfirmedUnregistered =
        m_hasConfirmedUnregistered || event.answer.hasConfirmedUnregistered || *it != event.from;
    return recordAcceptance(*it);
}

auto HeadChange::handle(const MemberLeft &event, BootTime /*now*/) -> Actions
{
    if (m_stage != Stage::Announcing || !m_base.isRegistered(event.incarnation))
        return {};
    m_hasConfirmedUnregistered = true;
    return recordAcceptance(event.incarnation);
}

auto HeadChange::recordAcceptance(const Incarnation &from) -> Actions
{
    m_acceptedBy.insert(from);
    if (m_acceptedBy.size() < m_base.majority())
        return {};
    m_stage = Stage::Swapping;
    m_isCallPending = true;
    return {SwapHead()};
}

auto HeadChange::handle(const MemberHeadReported &event, BootTime now) -> Actions
{
    auto &revision = m_reportedRevisions[event.incarnation];
    revision = std::max(revision, event.revision);
    return checkPropagation(now);
}

auto HeadChange::handle(const ChangeRead &event, BootTime now) -> Actions
{
    m_isCallPending = false;
    if (m_stage == Stage::Propagating || m_stage == Stage::Announcing)
        return {};
    if (event.isApplied) {
        m_stage = Stage::Propagating;
        m_appliedRevision = event.revision;
        m_swapSeenAt = now;
        return checkPropagation(now);
    }
    if (event.revision != m_base.revision)
        return finish(ChangeOutcome::NotApplied);
    // The swap may still be in flight to the store.
    m_stage = Stage::Fencing;
    m_isCallPending = true;
    return {FenceSwap()};
}

auto HeadChange::handle(const ChangeFenced & /*event*/, BootTime /*now*/) -> Actions
{
    return m_stage == Stage::Fencing ? finish(ChangeOutcome::NotApplied) : Actions();
}

auto HeadChange::handle(const ChangeAnswerLost & /*event*/, BootTime now) -> Actions
{
    m_isCallPending = false;
    m_nextAttempt = now + RetryInterval;
    if (m_stage == Stage::Swapping || m_stage == Stage::Fencing)
        m_stage = Stage::Reading;
    return {};
}

auto HeadChange::handle(const ChangeTick & /*event*/, BootTime now) -> Actions
{
    if (m_stage == Stage::Announcing) {
        if (now - m_startedAt > AnnounceTimeout) {
            auto actions = Actions{SendAnnounceCancel()};
            actions.emplace_back(finish(ChangeOutcome::NotApplied).front());
            return actions;
        }
        return now >= m_nextAttempt ? announce(now) : Actions();
    }
    if (m_stage == Stage::Propagating)
        return checkPropagation(now);
    if (now - m_startedAt > ResolveTimeout)
        return finish(ChangeOutcome::Unknown);
    if (m_stage != Stage::Reading || m_isCallPending || now < m_nextAttempt)
        return {};
    m_isCallPending = true;
    return {ReadBack()};
}

// A member that has not reported the change is no longer fresh on the old head after
// FreshnessPeriod: no read that returned the old head was sent after the swap, and no majority
// confirmed the old head after the announcement.
auto HeadChange::checkPropagation(BootTime now) -> Actions
{
    if (m_stage != Stage::Propagating)
        return {};
    const auto hasChange = [this](const Incarnation &incarnation) {
        const auto it = m_reportedRevisions.find(incarnation);
        return it != m_reportedRevisions.end() && it->second >= m_appliedRevision;
    };
    const auto isInForce = !m_hasConfirmedUnregistered
        && std::ranges::all_of(m_base.record.registered, hasChange)
        && std::ranges::all_of(m_next.registered, hasChange);
    if (isInForce || now - m_swapSeenAt >= FreshnessPeriod + ClockMargin)
        return finish(ChangeOutcome::Applied);
    return {};
}

auto HeadChange::finish(ChangeOutcome outcome) -> Actions
{
    m_stage = Stage::Finished;
    return {ChangeFinished{outcome}};
}

} // namespace shallotproxy
