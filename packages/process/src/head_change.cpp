#include <chrono>

#include "shallotproxy/process/freshness/freshness.hpp"
#include "shallotproxy/process/freshness/head_change.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr Duration AnnounceTime = 2s; // then the writer gives up
constexpr Duration AnnounceInterval = 300ms;
constexpr Duration RetryInterval = 200ms;
constexpr Duration ResolveTime = 9s; // then the outcome is unknown
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
    m_nextTry = now + AnnounceInterval;
    auto actions = Actions();
    for (const auto &it : m_base.record.registered) {
        if (!m_accepted.contains(it))
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
    // A newer incarnation answers for its predecessor, which is dead and vouches no more, but whose
    // last vouches nobody remembers.
    m_hasVouchedStranger =
        m_hasVouchedStranger || event.answer.hasConfirmedUnregistered || *it != event.from;
    return accept(*it);
}

auto HeadChange::handle(const MemberLeft &event, BootTime /*now*/) -> Actions
{
    if (m_stage != Stage::Announcing || !m_base.isRegistered(event.incarnation))
        return {};
    m_hasVouchedStranger = true;
    return accept(event.incarnation);
}

auto HeadChange::accept(const Incarnation &from) -> Actions
{
    m_accepted.insert(from);
    if (m_accepted.size() < m_base.majority())
        return {};
    m_stage = Stage::Swapping;
    m_isCallPending = true;
    return {SwapHead()};
}

auto HeadChange::handle(const MemberHeadReported &event, BootTime now) -> Actions
{
    auto &revision = m_holds[event.incarnation];
    revision = std::max(revision, event.revision);
    return checkSpread(now);
}

auto HeadChange::handle(const ChangeRead &event, BootTime now) -> Actions
{
    m_isCallPending = false;
    if (m_stage == Stage::Spreading || m_stage == Stage::Announcing)
        return {};
    if (event.isApplied) {
        m_stage = Stage::Spreading;
        m_revision = event.revision;
        m_swappedBy = now;
        return checkSpread(now);
    }
    if (event.revision != m_base.revision)
        return finish(ChangeOutcome::NotApplied);
    // The swap may still be under way to the store.
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
    m_nextTry = now + RetryInterval;
    if (m_stage == Stage::Swapping || m_stage == Stage::Fencing)
        m_stage = Stage::Reading;
    return {};
}

auto HeadChange::handle(const ChangeTick & /*event*/, BootTime now) -> Actions
{
    if (m_stage == Stage::Announcing) {
        if (now - m_startedAt > AnnounceTime) {
            auto actions = Actions{SendAnnounceCancel()};
            actions.emplace_back(finish(ChangeOutcome::NotApplied).front());
            return actions;
        }
        return now >= m_nextTry ? announce(now) : Actions();
    }
    if (m_stage == Stage::Spreading)
        return checkSpread(now);
    if (now - m_startedAt > ResolveTime)
        return finish(ChangeOutcome::Unknown);
    if (m_stage != Stage::Reading || m_isCallPending || now < m_nextTry)
        return {};
    m_isCallPending = true;
    return {ReadBack()};
}

// Who isn't seen to hold the change has surely lost its freshness after FreshnessPeriod: no read of
// the old head was sent after the swap, and no majority vouched for it after the announcement.
auto HeadChange::checkSpread(BootTime now) -> Actions
{
    if (m_stage != Stage::Spreading)
        return {};
    const auto isHeld = [this](const Incarnation &incarnation) {
        const auto it = m_holds.find(incarnation);
        return it != m_holds.end() && it->second >= m_revision;
    };
    const auto isInForce = !m_hasVouchedStranger
        && std::ranges::all_of(m_base.record.registered, isHeld)
        && std::ranges::all_of(m_next.registered, isHeld);
    if (isInForce || now - m_swappedBy >= FreshnessPeriod + ClockMargin)
        return finish(ChangeOutcome::Applied);
    return {};
}

auto HeadChange::finish(ChangeOutcome outcome) -> Actions
{
    m_stage = Stage::Finished;
    return {ChangeFinished{outcome}};
}

} // namespace shallotproxy
