#pragma once

#include <deque>
#include <optional>
#include <span>

#include "host_view.hpp"

namespace shallotproxy {

/// Assigns a host to another pool.
struct HostMove
{
    HostName host;
    PoolName to;
};

/// Moves idle hosts between pools.
///
/// Expected load: the queues have their peaks in turn. For some seconds a queue requests several
/// times its mean, more than its own pool provides, and next to nothing in between. A pool is sized
/// for the work that its queues accept per second, because the tasks that wait show a peak only
/// after a part of it. A pool at its peak gets idle hosts of other pools first and standby hosts
/// next. Hosts that stay idle for long go to standby.
class PoolSizer
{
public:
    using Milliseconds = std::chrono::milliseconds;

    /// A host goes to standby after this idle time: a move costs as much as about 1.2 s of a host
    /// in a pool, and takes 1.5 s each way.
    static constexpr Milliseconds IdleBeforeStandby{2'500};
    /// A pool that has had no work yet keeps its hosts for this long after the first step: its
    /// demand is unknown.
    static constexpr Milliseconds UnknownDemandHold{20'000};
    /// A host moves to another pool after this idle time; gaps between two jobs are shorter.
    static constexpr Milliseconds IdleBeforeMove{200};
    /// Time constant at which falling demand is followed. Rising demand counts immediately.
    static constexpr Milliseconds SmoothingTime{700};
    /// The rate of accepted work is measured over this time, and over no less than the minimum.
    static constexpr Milliseconds RateWindow{600};
    static constexpr Milliseconds MinRateWindow{100};
    /// At most one in this many hosts moves at the same time: a peak lasts 4 s, a move 1.5 s.
    static constexpr std::size_t HostsPerMove = 2;
    /// Target for the use of a pool's resources; the remainder is lost to fragmentation.
    static constexpr double TargetUtilization = 0.85;
    /// Additional hosts in each pool for the next tasks.
    static constexpr std::size_t SpareHosts = 1;

    /// Returns the moves to be ordered now. Only hosts that are idle are moved; hosts in `blocked`,
    /// such as those with an unanswered order, stay where they are.
    auto step(std::span<const HostView> hosts, const std::map<PoolName, PoolLoad> &loads,
              const SchedulingRules &rules, const std::set<HostName> &blocked, BootTime now)
        -> std::vector<HostMove>;

private:
    struct Pool
    {
        /// Hosts that are up or are moving to the pool.
        std::size_t hosts = 0;
        std::size_t needed = 0;
        /// Hosts that may be moved away, the longest idle first.
        std::vector<HostName> idle;
    };

    /// What a pool requested lately, in hosts.
    struct Demand
    {
        double smoothed = 0;
        bool hasHadWork = false;
        /// Accepted work by the time of the step that saw it, the newest at the back.
        std::deque<std::pair<BootTime, Resources>> accepted;
    };

    auto updateDemand(Demand &demand, const PoolLoad &load, const Resources &host, BootTime now)
        -> void;

    std::map<HostName, BootTime> m_idleSince;
    std::map<PoolName, Demand> m_demand;
    std::optional<BootTime> m_firstStepAt;
    BootTime m_lastStepAt;
};

} // namespace shallotproxy
