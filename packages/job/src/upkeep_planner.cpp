#include <algorithm>

#include "shallotproxy/job/upkeep_planner.hpp"

namespace shallotproxy {

auto UpkeepPlanner::waveDeclared(UpkeepWave wave, const std::set<HostName> &startedHosts) -> void
{
    auto &entry = m_waves[wave.number];
    entry.declaration = std::move(wave);
    entry.isInherited = entry.isInherited || (!entry.firstStepAt && !startedHosts.empty());
    entry.startedHosts.insert(startedHosts.begin(), startedHosts.end());
}

auto UpkeepPlanner::waveWithdrawn(std::uint64_t number) -> WithdrawnHosts
{
    const auto wave = m_waves.extract(number);
    auto hosts = WithdrawnHosts();
    if (wave.empty())
        return hosts;
    const auto &unanswered = wave.mapped().unanswered;
    std::erase_if(m_draining, [this, &hosts, &unanswered](const HostName &it) {
        if (isDue(it))
            return false;
        (unanswered.contains(it) ? hosts.inDoubt : hosts.idle).push_back(it);
        return true;
    });
    return hosts;
}

auto UpkeepPlanner::startSent(const UpkeepStart &start) -> void
{
    if (const auto it = m_waves.find(start.wave); it != m_waves.end())
        it->second.unanswered.insert(start.host);
}

auto UpkeepPlanner::startAccepted(const UpkeepStart &start, BootTime now) -> void
{
    const auto it = m_waves.find(start.wave);
    if (it == m_waves.end())
        return;
    it->second.unanswered.erase(start.host);
    it->second.startedHosts.insert(start.host);
    it->second.down[start.host] = now;
    m_draining.erase(start.host);
}

auto UpkeepPlanner::startRefused(const UpkeepStart &start) -> void
{
    if (const auto it = m_waves.find(start.wave); it != m_waves.end())
        it->second.unanswered.erase(start.host);
}

auto UpkeepPlanner::startedHosts(std::uint64_t wave) const -> std::set<HostName>
{
    const auto it = m_waves.find(wave);
    return it == m_waves.end() ? std::set<HostName>() : it->second.startedHosts;
}

auto UpkeepPlanner::hasWork() const -> bool
{
    return std::ranges::any_of(m_waves, [](const auto &it) { return !it.second.isCompleted; });
}

auto UpkeepPlanner::isDue(const HostName &host) const -> bool
{
    return std::ranges::any_of(m_waves, [&host](const auto &it) {
        return it.second.declaration.hosts.contains(host) && !it.second.startedHosts.contains(host);
    });
}

auto UpkeepPlanner::isClaimed(const HostName &host) const -> bool
{
    return isDue(host) && m_draining.contains(host);
}

auto UpkeepPlanner::step(std::span<const HostView> hosts, const std::set<HostName> &blocked,
                         BootTime listedAt, BootTime now) -> UpkeepOrders
{
    auto orders = UpkeepOrders();
    for (auto &[number, wave] : m_waves) {
        if (!wave.isCompleted)
            stepWave(wave, hosts, blocked, listedAt, now, orders);
    }
    return orders;
}

auto UpkeepPlanner::paceOf(const Wave &wave, std::size_t remaining, BootTime now) const
    -> std::size_t
{
    const auto maximum = std::size_t{wave.declaration.maxConcurrent};
    const auto planned =
        std::chrono::duration_cast<Duration>(wave.declaration.duration * PlannedPart);
    const auto left = *wave.firstStepAt + planned - now;
    if (wave.isInherited || left <= m_hostTime)
        return maximum;
    const auto rounds = static_cast<std::size_t>(left / m_hostTime);
    return std::min(maximum, (remaining + rounds - 1) / rounds);
}

auto UpkeepPlanner::awaitsMissingHosts(Wave &wave, std::span<const HostView> hosts,
                                       BootTime listedAt) -> bool
{
    auto missing = wave.declaration.hosts;
    for (const auto &it : wave.startedHosts)
        missing.erase(it);
    for (const auto &it : hosts)
        missing.erase(it.report.host);
    std::erase_if(wave.missingSince,
                  [&missing](const auto &it) { return !missing.contains(it.first); });
    return std::ranges::count_if(missing,
                                 [&wave, listedAt](const HostName &it) {
                                     const auto since =
                                         wave.missingSince.try_emplace(it, listedAt).first->second;
                                     return listedAt < since + DepartureTime;
                                 })
        > 0;
}

auto UpkeepPlanner::stepWave(Wave &wave, std::span<const HostView> hosts,
                             const std::set<HostName> &blocked, BootTime listedAt, BootTime now,
                             UpkeepOrders &orders) -> void
{
    auto pending = std::vector<const HostView *>();
    auto down = std::set<HostName>(wave.unanswered.begin(), wave.unanswered.end());
    auto isAllStarted = true;
    for (const auto &it : hosts) {
        const auto &host = it.report.host;
        if (!wave.declaration.hosts.contains(host))
            continue;
        const auto since = wave.down.find(host);
        const auto isBack = it.report.state == HostState::Up && since != wave.down.end()
            && since->second < listedAt;
        if (isBack)
            wave.down.erase(since);
        if (wave.down.contains(host) || it.report.state == HostState::InUpkeep)
            down.insert(host);
        if (wave.startedHosts.contains(host))
            continue;
        isAllStarted = false;
        const auto isFree = !wave.unanswered.contains(host) && !blocked.contains(host);
        if (isFree && it.report.state == HostState::Up)
            pending.push_back(&it);
    }
    const auto mayHaveMore = awaitsMissingHosts(wave, hosts, listedAt);
    if (isAllStarted && !mayHaveMore && wave.unanswered.empty() && now > listedAt) {
        wave.isCompleted = true;
        orders.completed.push_back(wave.declaration.number);
        return;
    }
    // Idle hosts come first, then hosts that are draining, then hosts with long-running tasks,
    // which never become idle by themselves, then those with the fewest runs.
    std::ranges::sort(pending, {}, [this](const HostView *it) {
        return std::tuple(!it->isIdle(), !m_draining.contains(it->report.host),
                          it->longRunningRuns == 0, it->longRunningRuns + it->otherRuns,
                          it->report.host);
    });
    if (!wave.firstStepAt)
        wave.firstStepAt = now;
    const auto pace = paceOf(wave, pending.size() + down.size(), now);
    auto freeSlots = pace - std::min(down.size(), pace);
    auto drained = std::size_t{0};
    for (const auto *it : pending) {
        const auto &host = it->report.host;
        if (freeSlots > 0 && it->isIdle()) {
            --freeSlots;
            m_draining.insert(host);
            orders.drain.push_back(host);
            orders.start.push_back({host, wave.declaration.number, it->report.worker});
            continue;
        }
        if (drained++ >= pace * DrainingPerDown)
            break;
        if (m_draining.insert(host).second)
            orders.drain.push_back(host);
    }
}

} // namespace shallotproxy
