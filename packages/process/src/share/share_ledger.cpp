#include "shallotproxy/process/share/share_ledger.hpp"

#include <algorithm>
#include <iterator>

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr Duration FirstReportsWait = 250ms; // A new steward waits this long for the reports.

/// Returns a hash based on FNV-1a, which is the same on every member, independent of its build.
auto hashOf(std::string_view first, std::string_view second) -> std::uint64_t
{
    constexpr std::uint64_t Offset = 14'695'981'039'346'656'037U;
    constexpr std::uint64_t Prime = 1'099'511'628'211U;
    constexpr auto Shift = 29U;
    auto hash = Offset;
    for (const auto text : {first, std::string_view("/"), second}) {
        for (const auto it : text)
            hash = (hash ^ static_cast<unsigned char>(it)) * Prime;
    }
    // Without this mixing, the last bytes alone would decide the order of names that differ only
    // there.
    return (hash ^ (hash >> Shift)) * Prime;
}

} // namespace

auto stewardOf(const PoolName &pool, const std::set<MemberName> &members)
    -> std::optional<MemberName>
{
    const auto it = std::ranges::max_element(members, {}, [&pool](const MemberName &member) {
        return hashOf(member.value(), pool.value());
    });
    return it == members.end() ? std::nullopt : std::optional(*it);
}

ShareLedger::ShareLedger(Incarnation self)
    : m_self(std::move(self))
{ }

auto ShareLedger::step(const ShareEvent &event, BootTime now) -> std::vector<ShareAction>
{
    m_now = now;
    m_actions.clear();
    std::visit([this](const auto &it) { handle(it); }, event);
    return std::move(m_actions);
}

auto ShareLedger::steward(const PoolName &pool) const -> std::optional<MemberName>
{
    auto reachable = std::set<MemberName>();
    for (const auto &it : m_members) {
        const auto lastReceived = m_lastReceived.find(it);
        if (it == m_self.member
            || (lastReceived != m_lastReceived.end() && m_now - lastReceived->second < PeerTimeout))
            reachable.insert(it);
    }
    return stewardOf(pool, reachable);
}

auto ShareLedger::handle(const PoolsDeclared &event) -> void
{
    std::erase_if(m_pools, [&event](const auto &it) { return !event.pools.contains(it.first); });
    for (const auto &[name, parameters] : event.pools) {
        auto &pool = m_pools[name];
        pool.parameters = parameters;
        pool.stewarded.setParameters(parameters);
        // Slots that are no longer in service must not stay granted until the next round, whichever
        // member granted them.
        runRound(name, pool);
    }
}

auto ShareLedger::handle(const ShareMembers &event) -> void
{
    m_registered = event.members;
    m_members.clear();
    for (const auto &it : event.members)
        m_members.insert(it.member);
}

auto ShareLedger::handle(const ShareLoads &event) -> void
{
    for (auto &[name, pool] : m_pools) {
        const auto it = event.pools.find(name);
        pool.load = it == event.pools.end() ? std::vector<TeamDemand>() : it->second;
    }
}

auto ShareLedger::handle(const PeerMessageReceived &event) -> void
{
    if (m_registered.contains(event.from))
        m_lastReceived[event.from.member] = m_now;
}

auto ShareLedger::handle(const DemandReported &event) -> void
{
    const auto it = m_pools.find(event.report.pool);
    if (it != m_pools.end() && m_registered.contains(event.from))
        it->second.stewarded.report(event.from.member, event.report.teams, m_now);
}

auto ShareLedger::handle(const CreditGranted &event) -> void
{
    const auto it = m_pools.find(event.grant.pool);
    if (it == m_pools.end() || !m_registered.contains(event.from)
        || steward(event.grant.pool) != event.from.member) {
        return;
    }
    auto &pool = it->second;
    if (pool.granter == event.from && event.grant.round <= pool.lastRound)
        return;
    pool.granter = event.from;
    pool.lastRound = event.grant.round;
    pool.grantedUntil = m_now + GrantLifetime;
    auto slots = TeamSlots();
    for (const auto &credit : event.grant.teams)
        slots[credit.team] = credit.slots;
    publish(it->first, pool, std::move(slots));
}

auto ShareLedger::handle(const ShareRound & /*event*/) -> void
{
    ++m_round;
    for (auto &[name, pool] : m_pools)
        runRound(name, pool);
}

auto ShareLedger::runRound(const PoolName &name, PoolState &pool) -> void
{
    const auto chosen = steward(name);
    const auto isSteward = chosen == m_self.member;
    if (isSteward && !pool.isSteward)
        pool.stewardSince = m_now;
    pool.isSteward = isSteward;
    if (isSteward) {
        pool.stewarded.report(m_self.member, pool.load, m_now);
        const auto isReady = m_now - pool.stewardSince >= FirstReportsWait
            || pool.stewarded.isComplete(m_members, m_now);
        if (isReady) {
            grantAll(name, pool);
            return;
        }
    } else if (chosen) {
        m_actions.emplace_back(SendDemand{*chosen, {name, m_round, pool.load}});
    }
    if (m_now >= pool.grantedUntil)
        allocateLocally(name, pool);
}

auto ShareLedger::grantAll(const PoolName &name, PoolState &pool) -> void
{
    for (auto &[member, slots] : pool.stewarded.allocate(m_members, m_now)) {
        if (member == m_self.member) {
            pool.grantedUntil = m_now + GrantLifetime;
            publish(name, pool, std::move(slots));
            continue;
        }
        auto grant = CreditGrant{name, m_round, {}};
        for (const auto &[team, count] : slots)
            grant.teams.push_back({team, count});
        m_actions.emplace_back(SendGrant{member, std::move(grant)});
    }
}

// Without a steward, the member allocates its even part of the pool among the teams queued here.
auto ShareLedger::allocateLocally(const PoolName &name, PoolState &pool) -> void
{
    auto parameters = pool.parameters;
    parameters.slots = evenPart(parameters.slots);
    pool.local.setParameters(std::move(parameters));
    pool.local.report(m_self.member, pool.load, m_now);
    auto credits = pool.local.allocate({m_self.member}, m_now);
    publish(name, pool, std::move(credits[m_self.member]));
}

auto ShareLedger::publish(const PoolName &name, PoolState &pool, TeamSlots slots) -> void
{
    if (slots == pool.published)
        return;
    pool.published = slots;
    m_actions.emplace_back(SetCredits{name, std::move(slots)});
}

/// Returns this member's even part of `slots`; the parts of all members sum to `slots`.
auto ShareLedger::evenPart(std::uint32_t slots) const -> std::uint32_t
{
    const auto it = m_members.find(m_self.member);
    const auto count = std::max(std::size_t{1}, m_members.size());
    const auto index = it == m_members.end()
        ? std::size_t{0}
        : static_cast<std::size_t>(std::distance(m_members.begin(), it));
    return static_cast<std::uint32_t>(slots * (index + 1) / count - slots * index / count);
}

} // namespace shallotproxy
