#pragma once

#include <map>
#include <set>
#include <vector>

#include "../base/boot_clock.hpp"
#include "../peer/messages/share_messages.hpp"

namespace shallotproxy {

/// What a configuration says about one pool: slots of the targets that take work, and the weight
/// of each team. Work without a key belongs to the team of the empty name, weight 1.
struct PoolParameters
{
    std::uint32_t slots = 0;
    std::map<TeamName, std::uint32_t> weights;
    auto operator==(const PoolParameters &other) const -> bool = default;
};

using TeamSlots = std::map<TeamName, std::uint32_t>;

/// Turns the members' demand for one pool into credits: weighted max-min over the teams, and what
/// a team got too little of its part in the last seconds is made up for first.
class PoolShares
{
public:
    /// For how long a report counts.
    static constexpr Duration ReportTime = std::chrono::seconds(1);

    auto setParameters(PoolParameters terms) -> void { m_terms = std::move(terms); }
    auto report(const MemberName &member, const std::vector<TeamDemand> &teams, BootTime now)
        -> void;
    /// Credits of every member that has reported lately; `members` are all registered ones.
    auto allocate(const std::set<MemberName> &members, BootTime now)
        -> std::map<MemberName, TeamSlots>;
    /// Whether all of `members` have reported lately.
    [[nodiscard]] auto isComplete(const std::set<MemberName> &members, BootTime now) const -> bool;

private:
    struct MemberDemand
    {
        BootTime at;
        std::map<TeamName, TeamDemand> teams;
    };

    struct TeamState
    {
        double deficit = 0; // slot-seconds that the team got too little
        double carry = 0;
        std::map<MemberName, double> memberCarry;
    };

    [[nodiscard]] auto weightOf(const TeamName &team) const -> double;
    [[nodiscard]] auto capacityFor(const std::set<MemberName> &members) const -> double;
    auto forgetSilent(const std::set<MemberName> &members, BootTime now) -> void;
    auto updateDeficits(std::span<const double> fair, const std::vector<TeamName> &teams,
                        BootTime now) -> void;
    [[nodiscard]] auto runningOf(const std::vector<TeamName> &teams) const -> std::vector<double>;
    auto split(const TeamName &team, std::uint32_t slots, std::map<MemberName, TeamSlots> &credits)
        -> void;
    auto addStanding(double unused, std::map<MemberName, TeamSlots> &credits) const -> void;

    PoolParameters m_terms;
    std::map<MemberName, MemberDemand> m_members;
    std::map<TeamName, TeamState> m_teams;
    BootTime m_last;
};

} // namespace shallotproxy
