#include <chrono>

#include "shallotproxy/process/freshness/freshness.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr Duration StoreSilence = 1s; // without an answer the peers are asked
constexpr Duration RoundInterval = 500ms;
constexpr Duration PledgeTime = 3s; // a writer that takes longer is fenced off
constexpr Duration FenceInterval = 500ms;
constexpr std::size_t MaxPledges = 64;

} // namespace

Freshness::Freshness(Incarnation self)
    : m_self(std::move(self))
{ }

auto Freshness::step(const FreshnessEvent &event, BootTime now) -> std::vector<FreshnessAction>
{
    return std::visit([this, now](const auto &it) { return handle(it, now); }, event);
}

auto Freshness::hasPledge() const -> bool
{
    return std::ranges::any_of(
        m_pledges, [this](const auto &it) { return it.second.base >= m_held.revision; });
}

auto Freshness::handle(const HeadRead &event, BootTime now) -> Actions
{
    m_lastRead = std::max(m_lastRead, event.startedAt);
    m_known = std::max(m_known, event.head.revision);
    if (event.head.revision < m_held.revision)
        return {};
    const auto isSameVersion = event.head.record.version == m_held.record.version
        && event.head.record.writer == m_held.record.writer && m_held.revision != 0;
    if (isSameVersion || event.head.revision == 0) {
        take(event.head);
        extendByRead(event);
        return fenceOverdue(now);
    }
    m_pendingRead = event;
    return {FetchFromStore{event.head}};
}

auto Freshness::handle(const HeadLoaded &event, BootTime /*now*/) -> Actions
{
    m_known = std::max(m_known, event.head.revision);
    if (event.head.revision <= m_held.revision)
        return {};
    take(event.head);
    if (m_pendingRead && m_pendingRead->head.revision <= m_held.revision) {
        extendByRead(*m_pendingRead);
        m_pendingRead.reset();
    }
    return {};
}

auto Freshness::take(const ConfigurationHead &head) -> void
{
    m_held = head;
    // A swap that was conditional on an older revision has taken effect or never will.
    std::erase_if(m_pledges, [this](const auto &it) { return it.second.base < m_held.revision; });
}

// A member that isn't registered is unknown to writers, who wait for the registered ones only, so
// the store's answer alone doesn't make it fresh.
auto Freshness::extendByRead(const HeadRead &read) -> void
{
    if (read.head.revision == m_held.revision && m_held.isRegistered(m_self))
        m_freshUntil = std::max(m_freshUntil, read.startedAt + FreshnessPeriod);
}

// The store answers, but the writer that announced its change neither finished nor cancelled: its
// swap may still be under way, so reading an unchanged head resolves nothing.
auto Freshness::fenceOverdue(BootTime now) -> Actions
{
    const auto isOverdue = std::ranges::any_of(m_pledges, [this, now](const auto &it) {
        return it.second.base == m_held.revision && now - it.second.since >= PledgeTime;
    });
    if (!isOverdue || now < m_nextFence)
        return {};
    m_nextFence = now + FenceInterval;
    return {FenceHead{m_held}};
}

auto Freshness::handle(const FreshnessMessageReceived &event, BootTime now) -> Actions
{
    return std::visit(
        [this, &event, now](const auto &message) { return receive(event.from, message, now); },
        event.message);
}

auto Freshness::handle(const MemberRetired & /*event*/, BootTime /*now*/) -> Actions
{
    m_isRetired = true;
    return {};
}

auto Freshness::receive(const Incarnation &from, const Announce &message, BootTime now) -> Actions
{
    const auto isKnown = m_pledges.contains(message.change);
    const auto isAccepted = message.base >= m_known && message.base >= m_held.revision
        && (isKnown || m_pledges.size() < MaxPledges);
    if (isAccepted) {
        m_known = std::max(m_known, message.base);
        m_pledges.try_emplace(message.change, Pledge{message.base, now});
    }
    const auto answer = AnnounceAnswer{message.change, isAccepted, now < m_strangerUntil};
    return {SendFreshnessMessage{from.member, answer}};
}

auto Freshness::receive(const Incarnation & /*from*/, const AnnounceCancel &message,
                        BootTime /*now*/) -> Actions
{
    m_pledges.erase(message.change);
    return {};
}

auto Freshness::mayVouch(StoreRevision revision) const -> bool
{
    const auto isAnnounced = std::ranges::any_of(
        m_pledges, [revision](const auto &it) { return it.second.base >= revision; });
    return !m_isRetired && !isAnnounced && revision >= m_known && revision >= m_held.revision;
}

auto Freshness::receive(const Incarnation &from, const HeadConfirmationRequest &message,
                        BootTime now) -> Actions
{
    const auto isConfirmed = mayVouch(message.revision);
    if (isConfirmed && !m_held.isRegistered(from))
        m_strangerUntil = now + FreshnessPeriod;
    const auto answer = HeadConfirmationAnswer{message.round, isConfirmed, m_held.revision};
    auto actions = Actions{SendFreshnessMessage{from.member, answer}};
    if (message.revision > m_held.revision)
        actions.emplace_back(FetchFromPeer{from.member});
    return actions;
}

auto Freshness::receive(const Incarnation &from, const HeadConfirmationAnswer &message,
                        BootTime /*now*/) -> Actions
{
    m_known = std::max(m_known, message.revision);
    if (message.revision > m_held.revision)
        return {FetchFromPeer{from.member}};
    const auto it = m_rounds.find(message.round);
    if (!message.isConfirmed || it == m_rounds.end() || it->second.revision != m_held.revision
        || !m_held.isRegistered(from))
        return {};
    it->second.vouchers.insert(from);
    if (it->second.vouchers.size() >= m_held.majority())
        m_freshUntil = std::max(m_freshUntil, it->second.startedAt + FreshnessPeriod);
    return {};
}

auto Freshness::handle(const FreshnessTick & /*event*/, BootTime now) -> Actions
{
    std::erase_if(m_rounds,
                  [now](const auto &it) { return now - it.second.startedAt > FreshnessPeriod; });
    const auto isStoreSilent = now - m_lastRead > StoreSilence;
    if (!isStoreSilent || now < m_nextRound || m_held.revision == 0)
        return {};
    m_nextRound = now + RoundInterval;
    auto round = Round{now, m_held.revision, {}};
    auto actions = Actions();
    for (const auto &it : m_held.record.registered) {
        if (it == m_self) {
            if (mayVouch(m_held.revision))
                round.vouchers.insert(m_self);
        } else {
            const auto request = HeadConfirmationRequest{m_held.revision, m_lastRound + 1};
            actions.emplace_back(SendFreshnessMessage{it.member, request});
        }
    }
    if (!round.vouchers.empty() && round.vouchers.size() >= m_held.majority())
        m_freshUntil = std::max(m_freshUntil, now + FreshnessPeriod);
    m_rounds.emplace(++m_lastRound, std::move(round));
    return actions;
}

} // namespace shallotproxy
