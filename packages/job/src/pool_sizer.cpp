#include <algorithm>
#include <cmath>

#include "shallotproxy/job/pool_sizer.hpp"

namespace shallotproxy {

namespace {

using Seconds = std::chrono::duration<double>;

} // namespace

auto PoolSizer::smooth(const PoolName &pool, double cores, BootTime now) -> double
{
    auto &demand = m_demand[pool];
    const auto elapsed = Seconds(now - m_steppedAt).count();
    const auto weight = std::min(1.0, elapsed / Seconds(Smoothing).count());
    demand = cores > demand ? cores : demand + (cores - demand) * weight;
    return demand;
}

auto PoolSizer::step(std::span<const HostView> hosts, const std::map<PoolName, PoolLoad> &loads,
                     const SchedulingRules &rules, const std::set<HostName> &blocked, BootTime now)
    -> std::vector<HostMove>
{
    auto pools = std::map<PoolName, Pool>();
    auto standby = std::vector<HostName>();
    auto hostCores = 1.0;
    auto moving = std::size_t{0};
    for (const auto &it : hosts) {
        const auto &report = it.report;
        hostCores = std::max(hostCores, static_cast<double>(report.capacity.milliCores));
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
        // A host that is being emptied for its upkeep, or has it, serves nothing new.
        const auto isServing =
            report.state == HostState::Moving || (report.state == HostState::Up && !it.isDraining);
        if (isServing)
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
        const auto load = loads.find(name);
        const auto cores = load == loads.end()
            ? 0.0
            : static_cast<double>(load->second.used.milliCores + load->second.wanted.milliCores);
        const auto demand = smooth(name, cores, now);
        const auto needed = std::ceil(demand / (hostCores * TargetUse));
        pool.needed = static_cast<std::size_t>(needed) + SpareHosts;
        if (load != loads.end())
            pool.needed = std::max(pool.needed, load->second.leastWorkers + SpareHosts);
        std::ranges::sort(pool.idle, {}, [this](const auto &it) { return m_idleSince.at(it); });
    }
    m_steppedAt = now;

    auto moves = std::vector<HostMove>();
    const auto mostMoves = (hosts.size() + HostsPerMove - 1) / HostsPerMove;
    const auto mayMoveMore = [&moves, moving, mostMoves] {
        return moves.size() + moving < mostMoves;
    };
    for (auto &[name, pool] : pools) {
        while (pool.hosts < pool.needed && mayMoveMore()) {
            const auto donor = std::ranges::max_element(pools, {}, [](const auto &it) {
                const auto &[other, giver] = it;
                const auto surplus = giver.hosts > giver.needed ? giver.hosts - giver.needed : 0;
                return std::min(surplus, giver.idle.size());
            });
            auto &giver = donor->second;
            if (giver.hosts > giver.needed && !giver.idle.empty()) {
                moves.push_back({giver.idle.front(), name});
                giver.idle.erase(giver.idle.begin());
                --giver.hosts;
            } else if (!standby.empty()) {
                moves.push_back({standby.back(), name});
                standby.pop_back();
            } else {
                break;
            }
            ++pool.hosts;
        }
    }
    const auto spare =
        std::ranges::find_if(rules.pools, [](const auto &it) { return it.second.isStandby; });
    if (spare == rules.pools.end())
        return moves;
    for (auto &[name, pool] : pools) {
        for (const auto &host : pool.idle) {
            if (pool.hosts <= pool.needed || !mayMoveMore())
                break;
            if (now < m_idleSince.at(host) + IdleBeforeStandby)
                continue;
            moves.push_back({host, spare->first});
            --pool.hosts;
        }
    }
    return moves;
}

} // namespace shallotproxy
