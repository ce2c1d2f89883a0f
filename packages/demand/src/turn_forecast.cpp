#include <algorithm>
#include <cmath>
#include <set>
#include <span>

#include "shallotproxy/demand/turn_forecast.hpp"

namespace shallotproxy {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr std::size_t MaxTurns = 32;
constexpr std::size_t MinTurns = 3; // two spacings

} // namespace

auto TurnForecast::observe(const PoolName &pool, double arrivingHosts, double acceptedWork,
                           BootTime now) -> void
{
    auto [entry, isNew] = m_pools.try_emplace(pool);
    auto &it = entry->second;
    if (isNew) {
        it.at = now;
        it.acceptedWork = acceptedWork;
        return;
    }
    const auto elapsed = Seconds(now - it.at).count();
    const auto fading = std::exp(-elapsed / Seconds(MeanTime).count());
    it.recentWork = it.recentWork * fading + (acceptedWork - it.acceptedWork);
    it.recentSeconds = it.recentSeconds * fading + elapsed;
    it.at = now;
    it.acceptedWork = acceptedWork;
    const auto mean = it.recentSeconds > 0 ? it.recentWork / it.recentSeconds : 0;
    if (!it.turnBegin) {
        if (arrivingHosts >= std::max(MinTurnHosts, TurnFactor * mean)) {
            it.turnBegin = now;
            it.workAtBegin = acceptedWork;
            it.isTurnCounted = false;
            it.returnsSoon = it.turnEnd && now < *it.turnEnd + MinRest;
        }
    } else {
        const auto length = now - *it.turnBegin;
        if (arrivingHosts >= mean) {
            it.lowSince.reset();
        } else if (!it.lowSince) {
            it.lowSince = now;
        }
        const auto hasEnded = it.lowSince && now >= *it.lowSince + MinGap;
        if (!it.lowSince && length >= MinTurnTime) {
            it.hosts = (acceptedWork - it.workAtBegin) / Seconds(length).count();
            if (!it.isTurnCounted)
                addTurn({pool, *it.turnBegin});
            it.isTurnCounted = true;
        }
        if (hasEnded) {
            if (it.isTurnCounted)
                it.turnEnd = it.lowSince;
            it.turnBegin.reset();
            it.lowSince.reset();
        }
    }
    forgetMissedTurn(now);
}

/// Adds a turn, and forgets those before it that don't agree with it.
auto TurnForecast::addTurn(const Turn &turn) -> void
{
    const auto pools = poolsWithTurns();
    // Once a pool has had its second turn, each further turn is that of the next pool in order.
    const auto isSeen = std::ranges::find(m_turns, turn.pool, &Turn::pool) != m_turns.end();
    const auto isClosed = isSeen || m_turns.size() > pools;
    if (isClosed && m_turns[m_turns.size() - pools].pool != turn.pool)
        m_turns.clear();
    if (m_turns.size() >= 2) {
        const auto difference = (turn.begin - m_turns.back().begin) - spacing();
        if (std::chrono::abs(difference) > Tolerance)
            m_turns.erase(m_turns.begin(), m_turns.end() - 1);
    }
    m_turns.push_back(turn);
    if (m_turns.size() > MaxTurns)
        m_turns.erase(m_turns.begin());
}

auto TurnForecast::poolsWithTurns() const -> std::size_t
{
    auto pools = std::set<PoolName>();
    for (const auto &it : m_turns)
        pools.insert(it.pool);
    return pools.size();
}

/// Whether the next turn is known to be that of the pool whose last one is the longest ago.
auto TurnForecast::isOrderKnown() const -> bool
{
    const auto pools = poolsWithTurns();
    if (m_turns.size() < MinTurns || pools < 2)
        return false;
    return m_turns.size() > pools || pools == m_pools.size();
}

/// Returns the mean time between the begins of two turns.
auto TurnForecast::spacing() const -> Duration
{
    const auto intervals = static_cast<Duration::rep>(m_turns.size() - 1);
    return (m_turns.back().begin - m_turns.front().begin) / intervals;
}

/// A turn that hasn't begun by now won't come as foreseen.
auto TurnForecast::forgetMissedTurn(BootTime now) -> void
{
    if (isOrderKnown() && now > m_turns.back().begin + spacing() + Tolerance + MinTurnTime)
        m_turns.erase(m_turns.begin(), m_turns.end() - 1);
}

auto TurnForecast::nextTurn(const PoolName &pool) const -> std::optional<ExpectedTurn>
{
    if (!isOrderKnown())
        return std::nullopt;
    const auto pools = poolsWithTurns();
    const auto order = std::span(m_turns).last(pools);
    const auto it = std::ranges::find(order, pool, &Turn::pool);
    if (it == order.end())
        return std::nullopt;
    const auto steps = static_cast<Duration::rep>(it - order.begin()) + 1;
    return ExpectedTurn{m_turns.back().begin + spacing() * steps, m_pools.at(pool).hosts};
}

auto TurnForecast::isAtRest(const PoolName &pool) const -> bool
{
    const auto it = m_pools.find(pool);
    if (it == m_pools.end() || it->second.turnBegin || it->second.returnsSoon)
        return false;
    const auto pools =
        std::ranges::count_if(m_pools, [](const auto &entry) { return entry.second.hosts > 0; });
    return it->second.turnEnd && pools > 1;
}

auto TurnForecast::hostsOfTurn(const PoolName &pool) const -> std::optional<double>
{
    const auto it = m_pools.find(pool);
    if (it == m_pools.end() || !it->second.isTurnCounted || !it->second.turnBegin
        || it->second.lowSince)
        return std::nullopt;
    return it->second.hosts;
}

auto TurnForecast::isInTurn(const PoolName &pool) const -> bool
{
    const auto it = m_pools.find(pool);
    return it != m_pools.end() && it->second.turnBegin.has_value();
}

} // namespace shallotproxy
