#include "shallotproxy/demand/team_entitlement.hpp"

namespace shallotproxy {

// The generic cell rate algorithm: one time for each team, whatever its rate.
auto TeamEntitlement::admit(const TeamName &team, double jobsPerSecond, BootTime now) -> bool
{
    if (jobsPerSecond <= 0)
        return true;
    auto &usage = m_usage[team];
    usage.interval =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / jobsPerSecond));
    if (!usage.mayAdmit(now))
        return false;
    usage.freeAt = usage.nextFreeAt(now);
    return true;
}

auto TeamEntitlement::exhaustedTeams(BootTime now) -> std::vector<TeamName>
{
    std::erase_if(m_usage, [now](const auto &it) { return it.second.freeAt <= now; });
    auto teams = std::vector<TeamName>();
    for (const auto &[team, usage] : m_usage) {
        if (!usage.mayAdmit(now))
            teams.push_back(team);
    }
    return teams;
}

} // namespace shallotproxy
