#pragma once

#include <chrono>
#include <map>
#include <vector>

#include "shallotproxy/process/base/boot_clock.hpp"
#include "shallotproxy/process/base/names.hpp"

namespace shallotproxy {

/// Tells the jobs of a team that are within its configured rate from those beyond it.
///
/// Load pattern: a team that submits five to eight times its usual rate for some seconds while the
/// pools are full.
class TeamEntitlement
{
public:
    /// A team may use this much of its rate at once.
    static constexpr std::chrono::milliseconds Burst{1'000};

    /// Whether a job that the team submits now is within its rate; a rate of 0 is unlimited. A job
    /// beyond the rate doesn't count against later ones.
    auto admit(const TeamName &team, double jobsPerSecond, BootTime now) -> bool;
    /// Returns the teams whose next job would be beyond their rate, sorted by name.
    auto exhaustedTeams(BootTime now) -> std::vector<TeamName>;

private:
    struct Usage
    {
        /// When the jobs admitted so far have used up no part of the rate any more.
        BootTime freeAt;
        Duration interval{};

        [[nodiscard]] auto nextFreeAt(BootTime now) const -> BootTime
        {
            return std::max(freeAt, now) + interval;
        }
        [[nodiscard]] auto mayAdmit(BootTime now) const -> bool
        {
            return nextFreeAt(now) - now <= std::max<Duration>(Burst, interval);
        }
    };

    /// Of the teams that have used a part of their rate.
    std::map<TeamName, Usage> m_usage;
};

} // namespace shallotproxy
