#include <algorithm>
#include <cmath>

#include "shallotproxy/job/pool_sizer.hpp"

namespace shallotproxy {

namespace {

using Seconds = std::chrono::duration<double>;

} // namespace

auto PoolSizer::smoothDemand(const PoolName &pool, double cores, BootTime now) -> double
{
    auto &demand = m_demand[pool];
    const auto elapsed = Seconds(now - m_lastStepAt).count();
    const auto weight = std::min(1.0, elapsed / Seconds(SmoothingTime).count());
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
        // A host that is drained for its upkeep, or is in upkeep, gets no new work.
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
            : static_cast<double>(load->second.used.milliCores + load->second.waiting.milliCores);
        const auto demand = smoothDemand(name, cores, now);
        const auto needed = std::ceil(demand / (hostCores * TargetUtilization));
        pool.needed = static_cast<std::size_t>(needed) + SpareHosts;
        if (load != loads.end())
            pool.needed = std::max(pool.needed, load->second.minWorkers + SpareHosts);
        std::ranges::sort(pool.idle, {}, [this](const auto &it) { return m_idleSince.at(it); });
    }
    m_lastStepAt = now;

    auto moves = std::vector<HostMove>();
    const auto maxMoves = (hosts.size() + HostsPerMove - 1) / HostsPerMove;
    const auto mayAddMove = [&moves, moving, maxMoves] { return moves.size() + moving < maxMoves; };
    for (auto &[name, pool] : pools) {
        while (pool.hosts < pool.needed && mayAddMove()) {
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
    }
    const auto standbyPool =
        std::ranges::find_if(rules.pools, [](const auto &it) { return it.second.isStandby; });
    if (standbyPool == rules.pools.end())
        return moves;
    for (auto &[name, pool] : pools) {
        for (const auto &host : pool.idle) {
            if (pool.hosts <= pool.needed || !mayAddMove())
                break;
            if (now < m_idleSince.at(host) + IdleBeforeStandby)
                continue;
            moves.push_back({host, standbyPool->first});
            --pool.hosts;
        }
    }
    return moves;
}

} // namespace shallotproxy
