#include <algorithm>
#include <cmath>

#include "shallotproxy/job/pool_sizer.hpp"

namespace shallotproxy {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr double MillisecondsPerSecond = 1'000;

/// Returns which part of the hosts that the pool needs it doesn't have.
auto lackingPart(const PoolSize &pool) -> double
{
    if (pool.hosts >= pool.needed)
        return 0;
    return static_cast<double>(pool.needed - pool.hosts) / static_cast<double>(pool.needed);
}

} // namespace

auto hostsFor(const Resources &resources, const Resources &host) -> double
{
    const auto part = [](std::int64_t requested, std::int64_t provided) {
        return provided == 0 ? 0.0 : static_cast<double>(requested) / static_cast<double>(provided);
    };
    return std::max({part(resources.milliCores, host.milliCores),
                     part(resources.memoryMegabytes, host.memoryMegabytes),
                     part(resources.accelerators, host.accelerators)});
}

auto largestOf(const Resources &left, const Resources &right) -> Resources
{
    return {std::max(left.milliCores, right.milliCores),
            std::max(left.memoryMegabytes, right.memoryMegabytes),
            std::max(left.accelerators, right.accelerators)};
}

/// Returns the resources that the arriving work occupies, by the window with the higher rate.
///
/// A few large jobs in a window show no rate: each window counts one standard deviation of the
/// work that arrives in it less, which is that of the number of its jobs if these are alike.
auto PoolSizer::arrivingResources(const Demand &demand) -> Resources
{
    const auto &now = demand.samples.back();
    const auto rateSince = [&now](const Sample &before) {
        const auto jobs = static_cast<double>(now.jobs - before.jobs);
        const auto window = std::chrono::duration<double, std::milli>(now.at - before.at).count();
        if (jobs < 1 || window <= 0)
            return Resources();
        const auto work = now.work - before.work;
        const auto squares = now.squares - before.squares;
        const auto size = workSize(work);
        const auto alikeJobs = squares > 0 ? std::min(jobs, size * size / squares) : jobs;
        const auto factor = std::max(0.0, 1 - 1 / std::sqrt(alikeJobs)) / window;
        const auto scaled = [factor](std::int64_t amount) {
            return static_cast<std::int64_t>(static_cast<double>(amount) * factor);
        };
        return Resources{scaled(work.milliCores), scaled(work.memoryMegabytes),
                         scaled(work.accelerators)};
    };
    const auto isOldEnough = [&now](const Sample &it) { return it.at + ShortRateWindow <= now.at; };
    const auto recent =
        std::ranges::find_if(demand.samples.rbegin(), demand.samples.rend(), isOldEnough);
    const auto longRate = rateSince(demand.samples.front());
    return recent == demand.samples.rend() ? longRate : largestOf(rateSince(*recent), longRate);
}

/// Returns the hosts that the next turn of the pool needs, from when they should move.
auto PoolSizer::foreseenHosts(const PoolName &pool, BootTime now) const -> double
{
    const auto turn = m_turns.nextTurn(pool);
    return turn && turn->begin <= now + ArrivalLead ? turn->hosts : 0;
}

/// Whether a host of the pool goes to standby after this idle time. What is known of the next turn
/// replaces the wait for one.
auto PoolSizer::mayGoToStandby(const PoolName &pool, Duration idleTime, BootTime now) const -> bool
{
    const auto turn = m_turns.nextTurn(pool);
    if (!turn || m_turns.isInTurn(pool))
        return m_turns.isAtRest(pool) || idleTime >= IdleBeforeStandby;
    return turn->begin - ArrivalLead > now + IdleBeforeStandby;
}

auto PoolSizer::updateDemand(const PoolName &pool, const PoolLoad &load, const Resources &host,
                             BootTime now) -> Demand &
{
    auto &demand = m_demand[pool];
    auto &samples = demand.samples;
    samples.push_back({now, load.acceptedJobs, load.acceptedWork, load.acceptedSquares});
    while (samples.size() > 2 && samples[1].at + RateWindow <= now)
        samples.pop_front();
    const auto arriving = arrivingResources(demand);
    const auto acceptedSeconds = hostsFor(load.acceptedWork, host) / MillisecondsPerSecond;
    m_turns.observe(pool, hostsFor(arriving, host), acceptedSeconds, now);
    // The mean of a turn is surer than the windows, which show that the turn still rises.
    const auto arrivingHosts =
        std::max(hostsFor(arriving, host), m_turns.hostsOfTurn(pool).value_or(0));
    const auto hosts = std::max(
        {hostsFor(load.used + load.waiting, host),
         hostsFor(load.longRunning, host) + std::max(arrivingHosts, foreseenHosts(pool, now))});
    const auto elapsed = Seconds(now - m_lastStepAt).count();
    const auto weight = std::min(1.0, elapsed / Seconds(SmoothingTime).count());
    demand.smoothed =
        hosts > demand.smoothed ? hosts : demand.smoothed + (hosts - demand.smoothed) * weight;
    return demand;
}

/// Whether the host has been down for a short time only.
auto PoolSizer::isBrieflyDown(const HostReport &report, BootTime now) -> bool
{
    if (report.state != HostState::Down) {
        m_downSince.erase(report.host);
        return false;
    }
    return now < m_downSince.try_emplace(report.host, now).first->second + ReturnTime;
}

auto PoolSizer::step(std::span<const HostView> hosts, const std::map<PoolName, PoolLoad> &loads,
                     const SchedulingRules &rules, const std::set<HostName> &blocked, BootTime now)
    -> std::vector<HostMove>
{
    auto pools = std::map<PoolName, Pool>();
    auto standby = std::vector<HostName>();
    auto largestHost = Resources();
    auto moving = std::size_t{0};
    for (const auto &it : hosts) {
        const auto &report = it.report;
        largestHost = largestOf(largestHost, report.capacity);
        const auto rule = rules.pools.find(report.pool);
        if (rule == rules.pools.end())
            continue;
        if (report.state == HostState::Moving)
            ++moving;
        const auto mayMove = report.state == HostState::Up && !blocked.contains(report.host);
        if (rule->second.isStandby) {
            if (mayMove)
                standby.push_back(report.host);
            continue;
        }
        auto &pool = pools[report.pool];
        // A host that is drained for its upkeep, or is in upkeep, gets no new work.
        const auto isServing =
            report.state == HostState::Moving || (report.state == HostState::Up && !it.isDraining);
        const auto load = loads.find(report.pool);
        const auto isReturning =
            isBrieflyDown(report, now) && load != loads.end() && load->second.hasCrashingTasks;
        if (isServing || isReturning)
            ++pool.hosts;
        if (!it.isIdle()) {
            m_idleSince.erase(report.host);
            continue;
        }
        const auto since = m_idleSince.try_emplace(report.host, now).first->second;
        if (mayMove && !it.isDraining && now >= since + IdleBeforeMove)
            pool.idle.push_back(report.host);
    }
    for (auto &[name, pool] : pools) {
        const auto entry = loads.find(name);
        const auto load = entry == loads.end() ? PoolLoad() : entry->second;
        auto &demand = updateDemand(name, load, largestHost, now);
        const auto needed =
            static_cast<std::size_t>(std::ceil(demand.smoothed / TargetUtilization));
        pool.needed = std::max(needed, load.minWorkers) + SpareHosts;
        pool.foreseen = static_cast<std::size_t>(std::ceil(foreseenHosts(name, now)));
        const auto peak = std::max(1.0, PeakPart * static_cast<double>(pool.hosts));
        demand.hasPeaked = demand.hasPeaked || demand.smoothed >= peak;
        m_sizes[name] = pool;
        std::ranges::sort(pool.idle, {}, [this](const auto &it) { return m_idleSince.at(it); });
    }
    m_lastStepAt = now;

    auto moves = std::vector<HostMove>();
    const auto maxMoves = (hosts.size() + HostsPerMove - 1) / HostsPerMove;
    const auto mayAddMove = [&moves, moving, maxMoves] { return moves.size() + moving < maxMoves; };
    // Each move goes to the pool that lacks the largest part of its hosts, so that no pool waits
    // until the others have all of theirs.
    while (!pools.empty() && mayAddMove()) {
        const auto neediest = std::ranges::max_element(
            pools, {}, [](const auto &it) { return lackingPart(it.second); });
        auto &[name, pool] = *neediest;
        if (lackingPart(pool) <= 0)
            break;
        const auto largest = std::ranges::max_element(pools, {}, [](const auto &it) {
            const auto &[donorName, donor] = it;
            const auto surplus = donor.hosts > donor.needed ? donor.hosts - donor.needed : 0;
            return std::min(surplus, donor.idle.size());
        });
        auto &donor = largest->second;
        if (donor.hosts > donor.needed && !donor.idle.empty()) {
            moves.push_back({donor.idle.front(), name});
            donor.idle.erase(donor.idle.begin());
            --donor.hosts;
        } else if (!standby.empty()) {
            moves.push_back({standby.back(), name});
            standby.pop_back();
        } else {
            break;
        }
        ++pool.hosts;
    }
    const auto standbyPool =
        std::ranges::find_if(rules.pools, [](const auto &it) { return it.second.isStandby; });
    if (standbyPool == rules.pools.end())
        return moves;
    for (auto &[name, pool] : pools) {
        if (!m_demand[name].hasPeaked && now < m_holdUntil)
            continue;
        for (const auto &host : pool.idle) {
            if (pool.hosts <= pool.needed || !mayAddMove())
                break;
            if (!mayGoToStandby(name, now - m_idleSince.at(host), now))
                continue;
            moves.push_back({host, standbyPool->first});
            --pool.hosts;
        }
    }
    return moves;
}

} // namespace shallotproxy
