#pragma once

#include <deque>
#include <span>

#include "host_view.hpp"
#include "shallotproxy/demand/turn_forecast.hpp"

namespace shallotproxy {

/// Assigns a host to another pool.
struct HostMove
{
    HostName host;
    PoolName to;
};

/// Returns how many hosts provide these resources, by the scarcest kind.
auto hostsFor(const Resources &resources, const Resources &host) -> double;
/// Returns the largest amount of each kind of resource.
auto largestOf(const Resources &left, const Resources &right) -> Resources;

/// Hosts that a pool has, and those that its demand needs.
struct PoolSize
{
    std::size_t hosts = 0;
    std::size_t needed = 0;
    /// Those that a foreseen turn of high demand will occupy, if it is near.
    std::size_t foreseen = 0;
};

/// Moves idle hosts between pools.
///
/// Expected load: the queues have their peaks in turn. For some seconds a queue requests several
/// times its mean, more than its own pool provides, and next to nothing in between. A pool is sized
/// for the work that its queues accept per second, because the tasks that wait show a peak only
/// after a part of it. A pool at its peak gets idle hosts of other pools first and standby hosts
/// next. Hosts that stay idle for long go to standby. Where tasks crash their workers, hosts that
/// are down aren't replaced at once: that would take the idle hosts of other pools one by one,
/// while one of these may be about to have its peak.
///
/// Once the peaks were seen to come by turns, hosts arrive as a turn begins, and leave when it is
/// over and the next one is far.
class PoolSizer
{
public:
    using Milliseconds = std::chrono::milliseconds;

    /// A host goes to standby after this idle time: a move costs as much as about 1.2 s of a host
    /// in a pool, and takes 1.5 s each way.
    static constexpr Milliseconds IdleBeforeStandby{2'500};
    /// After the first start of the system, a pool that has had no peak yet keeps its hosts for
    /// this long: its demand is unknown. A later steward finds pools that have been sized.
    static constexpr Milliseconds UnknownDemandHold{20'000};
    /// Hosts for a foreseen turn are moved this long before it: a move takes 1.5 s, and the list of
    /// hosts shows its end up to 0.4 s later.
    static constexpr Milliseconds ArrivalLead{2'000};
    /// A pool has had a peak once its demand reached this part of its hosts.
    static constexpr double PeakPart = 0.5;
    /// A host moves to another pool after this idle time; gaps between two jobs are shorter.
    static constexpr Milliseconds IdleBeforeMove{200};
    /// Time constant at which falling demand is followed. Rising demand counts immediately.
    static constexpr Milliseconds SmoothingTime{700};
    /// The rate of accepted work is measured over these times: the short one shows the begin of a
    /// peak, the long one evens out the arrivals within it.
    static constexpr Milliseconds ShortRateWindow{200};
    static constexpr Milliseconds RateWindow{600};
    /// At most one in this many hosts moves at the same time: a peak lasts 4 s, a move 1.5 s.
    static constexpr std::size_t HostsPerMove = 2;
    /// Target for the use of a pool's resources; the remainder is lost to fragmentation.
    static constexpr double TargetUtilization = 0.85;
    /// A host that a task has crashed counts for its pool for this long: it is back after seconds.
    static constexpr Milliseconds ReturnTime{4'000};
    /// Additional hosts in each pool for the next tasks.
    static constexpr std::size_t SpareHosts = 1;

    /// Pools without a peak keep their hosts until `holdUntil`.
    explicit PoolSizer(BootTime holdUntil = {})
        : m_holdUntil(holdUntil)
    { }

    /// Returns the moves to be ordered now. Only hosts that are idle are moved; hosts in `blocked`,
    /// such as those with an unanswered order, stay where they are.
    auto step(std::span<const HostView> hosts, const std::map<PoolName, PoolLoad> &loads,
              const SchedulingRules &rules, const std::set<HostName> &blocked, BootTime now)
        -> std::vector<HostMove>;

    /// Returns the sizes that the last step computed, before its moves.
    [[nodiscard]] auto sizes() const -> const std::map<PoolName, PoolSize> & { return m_sizes; }

private:
    /// `hosts` counts those that are up or are moving to the pool.
    struct Pool : PoolSize
    {
        /// Hosts that may be moved away, the longest idle first.
        std::vector<HostName> idle;
    };

    /// The work that a pool had accepted at the time of a step.
    struct Sample
    {
        BootTime at;
        std::uint64_t jobs = 0;
        Resources work;
        double squares = 0;
    };

    /// What a pool requested lately.
    struct Demand
    {
        /// In hosts.
        double smoothed = 0;
        bool hasPeaked = false;
        /// Of the rate window, the newest at the back.
        std::deque<Sample> samples;
    };

    auto isBrieflyDown(const HostReport &report, BootTime now) -> bool;
    static auto arrivingResources(const Demand &demand) -> Resources;
    [[nodiscard]] auto foreseenHosts(const PoolName &pool, BootTime now) const -> double;
    [[nodiscard]] auto mayGoToStandby(const PoolName &pool, Duration idleTime, BootTime now) const
        -> bool;
    auto updateDemand(const PoolName &pool, const PoolLoad &load, const Resources &host,
                      BootTime now) -> Demand &;

    std::map<HostName, BootTime> m_idleSince;
    std::map<HostName, BootTime> m_downSince;
    std::map<PoolName, Demand> m_demand;
    std::map<PoolName, PoolSize> m_sizes;
    TurnForecast m_turns;
    BootTime m_holdUntil;
    BootTime m_lastStepAt;
};

} // namespace shallotproxy
