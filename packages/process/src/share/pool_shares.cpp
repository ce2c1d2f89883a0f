#include "shallotproxy/process/share/pool_shares.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "shallotproxy/process/share/fair_allocation.hpp"

namespace shallotproxy {

namespace {

constexpr auto DeficitDecaySeconds = 10.0; // Time constant of the decay of a deficit.
constexpr auto DeficitRepaySeconds = 1.0; // A deficit is repaid within about this time.
constexpr auto MaxStepSeconds = 0.5; // What happened in a longer gap between rounds is unknown.

auto secondsOf(Duration time) -> double
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

auto PoolShares::report(const MemberName &member, const std::vector<TeamDemand> &teams,
                        BootTime now) -> void
{
    auto &demand = m_members[member];
    demand.reportedAt = now;
    demand.teams.clear();
    for (const auto &it : teams)
        demand.teams.emplace(it.team, it);
}

auto PoolShares::isComplete(const std::set<MemberName> &members, BootTime now) const -> bool
{
    return std::ranges::all_of(members, [this, now](const MemberName &it) {
        const auto demand = m_members.find(it);
        return demand != m_members.end() && now - demand->second.reportedAt < ReportLifetime;
    });
}

auto PoolShares::allocate(const std::set<MemberName> &members, BootTime now)
    -> std::map<MemberName, TeamSlots>
{
    evictStaleReports(members, now);
    auto teams = std::vector<TeamName>();
    auto demands = std::vector<WeightedDemand>();
    for (const auto &[team, state] : m_teams) {
        auto demand = 0.0;
        for (const auto &[member, it] : m_members) {
            const auto found = it.teams.find(team);
            if (found != it.teams.end())
                demand += found->second.queued + found->second.running;
        }
        teams.push_back(team);
        demands.push_back({weightOf(team), demand});
    }
    const auto capacity = capacityFor(members);
    const auto fair = weightedMaxMin(capacity, demands);
    updateDeficits(fair, teams, now);
    auto targets = fair;
    auto carry = std::vector<double>();
    for (std::size_t i = 0; i < teams.size(); ++i) {
        targets[i] += m_teams.at(teams[i]).deficit / DeficitRepaySeconds;
        carry.push_back(m_teams.at(teams[i]).carry);
    }
    const auto parts = levelToCapacity(capacity, demands, targets);
    const auto whole = roundWithCarry(parts, carry);
    auto credits = std::map<MemberName, TeamSlots>();
    for (const auto &[member, demand] : m_members)
        credits[member] = {};
    for (std::size_t i = 0; i < teams.size(); ++i) {
        m_teams.at(teams[i]).carry = carry[i];
        split(teams[i], whole[i], credits);
    }
    const auto used = std::accumulate(whole.begin(), whole.end(), 0.0);
    addUnusedSlots(capacity - used, credits);
    return credits;
}

auto PoolShares::weightOf(const TeamName &team) const -> double
{
    const auto it = m_parameters.weights.find(team);
    return it == m_parameters.weights.end() ? 1.0 : std::max(1.0, static_cast<double>(it->second));
}

// A registered member that does not report uses its even part of the pool, so that part is not
// available to the others.
auto PoolShares::capacityFor(const std::set<MemberName> &members) const -> double
{
    if (members.empty())
        return 0;
    const auto present = std::ranges::count_if(
        members, [this](const MemberName &it) { return m_members.contains(it); });
    return static_cast<double>(m_parameters.slots) * static_cast<double>(present)
        / static_cast<double>(members.size());
}

auto PoolShares::evictStaleReports(const std::set<MemberName> &members, BootTime now) -> void
{
    std::erase_if(m_members, [&members, now](const auto &it) {
        return now - it.second.reportedAt >= ReportLifetime || !members.contains(it.first);
    });
    for (const auto &[team, weight] : m_parameters.weights)
        m_teams.try_emplace(team);
    m_teams.try_emplace(TeamName());
    std::erase_if(m_teams, [this](const auto &it) {
        return !it.first.isEmpty() && !m_parameters.weights.contains(it.first);
    });
}

auto PoolShares::updateDeficits(std::span<const double> fair, const std::vector<TeamName> &teams,
                                BootTime now) -> void
{
    const auto passed = std::clamp(secondsOf(now - m_lastAllocation), 0.0, MaxStepSeconds);
    m_lastAllocation = now;
    const auto running = runningOf(teams);
    const auto sum = std::accumulate(running.begin(), running.end(), 0.0);
    // Requests beyond the slots wait at the targets and are not being served.
    const auto servedFraction = sum > m_parameters.slots ? m_parameters.slots / sum : 1.0;
    for (std::size_t i = 0; i < teams.size(); ++i) {
        auto &deficit = m_teams.at(teams[i]).deficit;
        deficit += (fair[i] - running[i] * servedFraction) * passed;
        deficit *= 1 - passed / DeficitDecaySeconds;
        const auto maxDeficit = static_cast<double>(m_parameters.slots) * DeficitRepaySeconds;
        deficit = std::clamp(deficit, -maxDeficit, maxDeficit);
    }
}

auto PoolShares::runningOf(const std::vector<TeamName> &teams) const -> std::vector<double>
{
    auto running = std::vector<double>();
    for (const auto &team : teams) {
        auto sum = 0.0;
        for (const auto &[member, it] : m_members) {
            const auto found = it.teams.find(team);
            if (found != it.teams.end())
                sum += found->second.running;
        }
        running.push_back(sum);
    }
    return running;
}

auto PoolShares::split(const TeamName &team, std::uint32_t slots,
                       std::map<MemberName, TeamSlots> &credits) -> void
{
    auto members = std::vector<MemberName>();
    auto demands = std::vector<double>();
    auto carry = std::vector<double>();
    auto &state = m_teams.at(team);
    for (const auto &[member, it] : m_members) {
        const auto found = it.teams.find(team);
        const auto demand =
            found == it.teams.end() ? 0.0 : found->second.queued + found->second.running;
        members.push_back(member);
        demands.push_back(demand);
        carry.push_back(state.memberCarry[member]);
    }
    const auto sum = std::accumulate(demands.begin(), demands.end(), 0.0);
    for (auto &it : demands)
        it = sum > 0 ? it * slots / sum : 0;
    const auto whole = roundWithCarry(demands, carry);
    for (std::size_t i = 0; i < members.size(); ++i) {
        state.memberCarry[members[i]] = carry[i];
        credits[members[i]][team] = whole[i];
    }
}

// Splits the slots without demand evenly among the members; a member may use its part for any team.
auto PoolShares::addUnusedSlots(double unused, std::map<MemberName, TeamSlots> &credits) const
    -> void
{
    if (credits.empty() || unused <= 0)
        return;
    const auto part = static_cast<std::uint32_t>(unused / static_cast<double>(credits.size()));
    for (auto &[member, teams] : credits) {
        for (auto &[team, slots] : teams)
            slots += part;
    }
}

} // namespace shallotproxy
