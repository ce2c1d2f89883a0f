#include <chrono>

#include "shallotproxy/process/freshness/freshness.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr Duration StoreResponseTimeout = 1s; // Without an answer, the peers are asked to confirm.
constexpr Duration RoundInterval = 500ms;
constexpr Duration AnnouncementTimeout = 3s; // A writer that takes longer is fenced.
constexpr Duration FenceInterval = 500ms;
constexpr std::size_t MaxAnnouncements = 64;

} // namespace

Freshness::Freshness(Incarnation self)
    : m_self(std::move(self))
{ }

auto Freshness::step(const FreshnessEvent &event, BootTime now) -> std::vector<FreshnessAction>
{
    return std::visit([this, now](const auto &it) { return handle(it, now); }, event);
}

auto Freshness::hasPendingAnnouncement() const -> bool
{
    return std::ranges::any_of(m_announcements, [this](const auto &it) {
        return it.second.base >= m_loadedHead.revision;
    });
}

auto Freshness::handle(const HeadRead &event, BootTime now) -> Actions
{
    m_lastReadStartedAt = std::max(m_lastReadStartedAt, event.startedAt);
    m_highestRevision = std::max(m_highestRevision, event.head.revision);
    if (event.head.revision < m_loadedHead.revision)
        return {};
    const auto isSameVersion = event.head.record.version == m_loadedHead.record.version
        && event.head.record.writer == m_loadedHead.record.writer && m_loadedHead.revision != 0;
    if (isSameVersion || event.head.revision == 0) {
        applyHead(event.head);
        extendByRead(event);
        return fenceOverdue(now);
    }
    m_pendingRead = event;
    return {FetchFromStore{event.head}};
}

auto Freshness::handle(const HeadLoaded &event, BootTime /*now*/) -> Actions
{
    m_highestRevision = std::max(m_highestRevision, event.head.revision);
    if (event.head.revision <= m_loadedHead.revision)
        return {};
    applyHead(event.head);
    if (m_pendingRead && m_pendingRead->head.revision <= m_loadedHead.revision) {
        extendByRead(*m_pendingRead);
        m_pendingRead.reset();
    }
    return {};
}

auto Freshness::applyHead(const ConfigurationHead &head) -> void
{
    m_loadedHead = head;
    // A swap that was conditional on an older revision has taken effect or can no longer do so.
    std::erase_if(m_announcements,
                  [this](const auto &it) { return it.second.base < m_loadedHead.revision; });
}

// Writers wait for the registered members only, so an answer of the store doesn't make an
// unregistered member fresh.
auto Freshness::extendByRead(const HeadRead &read) -> void
{
    if (read.head.revision == m_loadedHead.revision && m_loadedHead.isRegistered(m_self))
        m_freshUntil = std::max(m_freshUntil, read.startedAt + FreshnessPeriod);
}

// The store answers, but a writer has neither finished nor cancelled its announced change. Its swap
// may still be in flight, so reading an unchanged head does not resolve the announcement.
auto Freshness::fenceOverdue(BootTime now) -> Actions
{
    const auto isOverdue = std::ranges::any_of(m_announcements, [this, now](const auto &it) {
        return it.second.base == m_loadedHead.revision
            && now - it.second.since >= AnnouncementTimeout;
    });
    if (!isOverdue || now < m_nextFence)
        return {};
    m_nextFence = now + FenceInterval;
    return {FenceHead{m_loadedHead}};
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
    const auto isKnown = m_announcements.contains(message.change);
    const auto isAccepted = message.base >= m_highestRevision
        && message.base >= m_loadedHead.revision
        && (isKnown || m_announcements.size() < MaxAnnouncements);
    if (isAccepted) {
        m_highestRevision = std::max(m_highestRevision, message.base);
        m_announcements.try_emplace(message.change, AcceptedAnnouncement{message.base, now});
    }
    const auto answer = AnnounceAnswer{message.change, isAccepted, now < m_unregisteredFreshUntil};
    return {SendFreshnessMessage{from.member, answer}};
}

auto Freshness::receive(const Incarnation & /*from*/, const AnnounceCancel &message,
                        BootTime /*now*/) -> Actions
{
    m_announcements.erase(message.change);
    return {};
}

auto Freshness::mayConfirm(StoreRevision revision) const -> bool
{
    const auto isAnnounced = std::ranges::any_of(
        m_announcements, [revision](const auto &it) { return it.second.base >= revision; });
    return !m_isRetired && !isAnnounced && revision >= m_highestRevision
        && revision >= m_loadedHead.revision;
}

auto Freshness::receive(const Incarnation &from, const HeadConfirmationRequest &message,
                        BootTime now) -> Actions
{
    const auto isConfirmed = mayConfirm(message.revision);
    if (isConfirmed && !m_loadedHead.isRegistered(from))
        m_unregisteredFreshUntil = now + FreshnessPeriod;
    const auto answer = HeadConfirmationAnswer{message.round, isConfirmed, m_loadedHead.revision};
    auto actions = Actions{SendFreshnessMessage{from.member, answer}};
    if (message.revision > m_loadedHead.revision)
        actions.emplace_back(FetchFromPeer{from.member});
    return actions;
}

auto Freshness::receive(const Incarnation &from, const HeadConfirmationAnswer &message,
                        BootTime /*now*/) -> Actions
{
    m_highestRevision = std::max(m_highestRevision, message.revision);
    if (message.revision > m_loadedHead.revision)
        return {FetchFromPeer{from.member}};
    const auto it = m_rounds.find(message.round);
    if (!message.isConfirmed || it == m_rounds.end() || it->second.revision != m_loadedHead.revision
        || !m_loadedHead.isRegistered(from))
        return {};
    it->second.confirmedBy.insert(from);
    if (it->second.confirmedBy.size() >= m_loadedHead.majority())
        m_freshUntil = std::max(m_freshUntil, it->second.startedAt + FreshnessPeriod);
    return {};
}

auto Freshness::handle(const FreshnessTick & /*event*/, BootTime now) -> Actions
{
    std::erase_if(m_rounds,
                  [now](const auto &it) { return now - it.second.startedAt > FreshnessPeriod; });
    const auto isStoreUnresponsive = now - m_lastReadStartedAt > StoreResponseTimeout;
    if (!isStoreUnresponsive || now < m_nextRound || m_loadedHead.revision == 0)
        return {};
    m_nextRound = now + RoundInterval;
    auto round = ConfirmationRound{now, m_loadedHead.revision, {}};
    auto actions = Actions();
    for (const auto &it : m_loadedHead.record.registered) {
        if (it == m_self) {
            if (mayConfirm(m_loadedHead.revision))
                round.confirmedBy.insert(m_self);
        } else {
            const auto request = HeadConfirmationRequest{m_loadedHead.revision, m_lastRound + 1};
            actions.emplace_back(SendFreshnessMessage{it.member, request});
        }
    }
    if (!round.confirmedBy.empty() && round.confirmedBy.size() >= m_loadedHead.majority())
        m_freshUntil = std::max(m_freshUntil, now + FreshnessPeriod);
    m_rounds.emplace(++m_lastRound, std::move(round));
    return actions;
}

} // namespace shallotproxy
