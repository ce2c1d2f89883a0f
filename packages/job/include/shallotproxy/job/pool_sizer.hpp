#pragma once

#include <span>

#include "host_view.hpp"

namespace shallotproxy {

struct HostMove
{
    HostName host;
    PoolName to;
};

/// Moves idle hosts between pools.
///
/// Load: each queue in its turn asks for several times its mean for some seconds, more than its own
/// pool holds, and next to nothing in between. A pool in its turn gets hosts that idle elsewhere,
/// then those on standby; what idles for long goes to standby.
class PoolSizer
{
public:
    using Milliseconds = std::chrono::milliseconds;

    /// Idle hosts stay this long before they go to standby: a move costs as much as about 1.2 s of
    /// a host in a pool, and takes 1.5 s each way.
    static constexpr Milliseconds IdleBeforeStandby{2'500};
    static constexpr Milliseconds IdleBeforeMove{200}; // gaps between two jobs are shorter
    static constexpr Milliseconds Smoothing{700}; // of falling demand; rising demand counts at once
    /// One in this many hosts moves at a time: a turn lasts 4 s, a move 1.5 s.
    static constexpr std::size_t HostsPerMove = 2;
    static constexpr double TargetUse = 0.85; // of a pool's cores: the rest is lost to packing
    static constexpr std::size_t SpareHosts = 1; // in each pool, for what comes next

    /// Hosts that are idle and may be moved are `isIdle()`; `isBlocked` ones are kept where they
    /// are. Hosts under an order that is not yet answered count as moving.
    auto step(std::span<const HostView> hosts, const std::map<PoolName, PoolLoad> &loads,
              const SchedulingRules &rules, const std::set<HostName> &blocked, BootTime now)
        -> std::vector<HostMove>;

private:
    struct Pool
    {
        std::size_t hosts = 0; // up or on their way here
        std::size_t needed = 0;
        std::vector<HostName> idle; // longest idle first
    };

    auto smooth(const PoolName &pool, double cores, BootTime now) -> double;

    std::map<HostName, BootTime> m_idleSince;
    std::map<PoolName, double> m_demand;
    BootTime m_steppedAt;
};

} // namespace shallotproxy
