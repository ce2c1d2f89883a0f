#include <algorithm>
#include <cmath>

#include "shallotproxy/job/host_reclaim.hpp"

namespace shallotproxy {

auto HostReclaim::balancesOf(std::span<const HostView> hosts,
                             const std::map<PoolName, PoolLoad> &loads,
                             const SchedulingRules &rules, const std::set<HostName> &blocked) const
    -> Balances
{
    auto balances = Balances();
    auto largestHost = Resources();
    auto idleStandby = std::size_t{0};
    for (const auto &it : hosts) {
        const auto &report = it.report;
        largestHost = largestOf(largestHost, report.capacity);
        const auto rule = rules.pools.find(report.pool);
        if (rule == rules.pools.end())
            continue;
        const auto isUp = report.state == HostState::Up;
        if (rule->second.isStandby) {
            if (isUp && !blocked.contains(report.host))
                ++idleStandby;
            continue;
        }
        auto &balance = balances[report.pool];
        const auto reclaim = m_reclaims.find(report.host);
        if (reclaim != m_reclaims.end()) {
            ++balances[reclaim->second.to].hosts;
        } else if (report.state == HostState::Moving || (isUp && !it.isDraining)) {
            ++balance.hosts;
            const auto isCandidate = isUp && it.isLoadKnown && it.longRunningRuns == 0
                && !it.isIdle() && !blocked.contains(report.host);
            if (isCandidate)
                balance.candidates.emplace_back(it.otherRuns, report.host);
        }
    }
    for (auto &[name, balance] : balances) {
        const auto load = loads.find(name);
        if (load == loads.end())
            continue;
        const auto &demand = load->second;
        const auto late = demand.lateUsed + demand.lateWaiting;
        const auto inTime = hostsFor(demand.used + demand.waiting - late, largestHost);
        balance.neededInTime = std::max(static_cast<std::size_t>(std::ceil(
                                            std::max(inTime, 0.0) / PoolSizer::TargetUtilization)),
                                        demand.minWorkers);
        balance.hasLateRuns = demand.lateUsed != Resources();
        std::ranges::sort(balance.candidates);
    }
    // Standby hosts are moved by PoolSizer, and to the pools that lack most.
    for (auto &[name, balance] : balances) {
        const auto fromStandby = std::min(idleStandby, balance.lacking());
        balance.hosts += fromStandby;
        idleStandby -= fromStandby;
    }
    return balances;
}

/// Moves reclaimed hosts that have become idle, and gives those back that aren't needed any more.
auto HostReclaim::continueReclaims(std::span<const HostView> hosts, const Balances &balances,
                                   const std::set<HostName> &blocked, BootTime now) -> ReclaimOrders
{
    auto orders = ReclaimOrders();
    auto views = std::map<HostName, const HostView *>();
    for (const auto &it : hosts)
        views.emplace(it.report.host, &it);
    for (auto it = m_reclaims.begin(); it != m_reclaims.end();) {
        const auto &[host, reclaim] = *it;
        const auto view = views.find(host);
        const auto isStillThere = view != views.end() && view->second->report.state == HostState::Up
            && view->second->report.pool == reclaim.from;
        if (!isStillThere) {
            it = m_reclaims.erase(it);
            continue;
        }
        // Another order decides; if it comes to nothing, the host is still drained.
        if (blocked.contains(host)) {
            ++it;
            continue;
        }
        const auto target = balances.find(reclaim.to);
        const auto isNeeded = target != balances.end()
            && target->second.neededInTime >= target->second.hosts
            && now < reclaim.since + MaxDrainTime;
        if (!isNeeded) {
            orders.release.push_back(host);
            it = m_reclaims.erase(it);
        } else {
            // Ordered again until the host moves: an order may not be sent or be refused.
            if (view->second->isIdle())
                orders.moves.push_back({host, reclaim.to});
            ++it;
        }
    }
    return orders;
}

auto HostReclaim::beginReclaims(Balances &balances, ReclaimOrders &orders, BootTime now) -> void
{
    const auto lacking = [](const auto &it) { return it.second.lacking(); };
    const auto giveable = [](const auto &it) {
        const auto &balance = it.second;
        return balance.hasLateRuns ? std::min(balance.spare(), balance.candidates.size()) : 0;
    };
    while (!balances.empty()) {
        auto &[to, taker] = *std::ranges::max_element(balances, {}, lacking);
        auto &[from, giver] = *std::ranges::max_element(balances, {}, giveable);
        const auto mayTake = taker.lacking() > 0 && giver.hasLateRuns && giver.spare() > 0
            && !giver.candidates.empty();
        if (!mayTake)
            return;
        // The hosts with the fewest runs are free first.
        const auto host = giver.candidates.front().second;
        giver.candidates.erase(giver.candidates.begin());
        --giver.hosts;
        ++taker.hosts;
        m_reclaims.emplace(host, Reclaim{from, to, now});
        orders.drain.push_back(host);
    }
}

auto HostReclaim::step(std::span<const HostView> hosts, const std::map<PoolName, PoolLoad> &loads,
                       const SchedulingRules &rules, const std::set<HostName> &blocked,
                       BootTime now) -> ReclaimOrders
{
    auto balances = balancesOf(hosts, loads, rules, blocked);
    auto orders = continueReclaims(hosts, balances, blocked, now);
    beginReclaims(balances, orders, now);
    return orders;
}

} // namespace shallotproxy
