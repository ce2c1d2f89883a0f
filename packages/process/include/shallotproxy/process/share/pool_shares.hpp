#pragma once

#include <map>
#include <set>
#include <vector>

#include "../base/boot_clock.hpp"
#include "../peer/messages/share_messages.hpp"

namespace shallotproxy {

/// Parameters of one pool from the configuration: the number of slots of its active targets, and
/// the weight of each team. Requests without an API key belong to the team with the empty name,
/// which has weight 1.
struct PoolParameters
{
    std::uint32_t slots = 0;
    std::map<TeamName, std::uint32_t> weights;
    auto operator==(const PoolParameters &other) const -> bool = default;
};

using TeamSlots = std::map<TeamName, std::uint32_t>;

/// Computes credits from the members' demand for one pool: a weighted max-min fair allocation over
/// the teams, corrected by what each team got too little or too much in the last seconds.
class PoolShares
{
public:
    /// How long a report counts.
    static constexpr Duration ReportLifetime = std::chrono::seconds(1);

    auto setParameters(PoolParameters parameters) -> void { m_parameters = std::move(parameters); }
    auto report(const MemberName &member, const std::vector<TeamDemand> &teams, BootTime now)
        -> void;
    /// Returns the credits of every member that has reported within ReportLifetime; `members` are
    /// all registered members.
    auto allocate(const std::set<MemberName> &members, BootTime now)
        -> std::map<MemberName, TeamSlots>;
    /// Returns whether all of `members` have reported within ReportLifetime.
    [[nodiscard]] auto isComplete(const std::set<MemberName> &members, BootTime now) const -> bool;

private:
    struct MemberDemand
    {
        BootTime reportedAt;
        std::map<TeamName, TeamDemand> teams;
    };

    struct TeamState
    {
        double deficit = 0; // Slot-seconds that the team got too little; negative: too much.
        double carry = 0;
        std::map<MemberName, double> memberCarry;
    };

    [[nodiscard]] auto weightOf(const TeamName &team) const -> double;
    [[nodiscard]] auto capacityFor(const std::set<MemberName> &members) const -> double;
    auto evictStaleReports(const std::set<MemberName> &members, BootTime now) -> void;
    auto updateDeficits(std::span<const double> fair, const std::vector<TeamName> &teams,
                        BootTime now) -> void;
    [[nodiscard]] auto runningOf(const std::vector<TeamName> &teams) const -> std::vector<double>;
    auto split(const TeamName &team, std::uint32_t slots, std::map<MemberName, TeamSlots> &credits)
        -> void;
    auto addUnusedSlots(double unused, std::map<MemberName, TeamSlots> &credits) const -> void;

    PoolParameters m_parameters;
    std::map<MemberName, MemberDemand> m_members;
    std::map<TeamName, TeamState> m_teams;
    BootTime m_lastAllocation;
};

} // namespace shallotproxy
