#pragma once

#include <span>

#include "pool_sizer.hpp"

namespace shallotproxy {

/// Hosts to be drained, to be given back to their pool, and to be moved.
struct ReclaimOrders
{
    std::vector<HostName> drain;
    std::vector<HostName> release;
    std::vector<HostMove> moves;
};

/// Takes hosts that work on late jobs from their pool, for a pool that lacks room for jobs that can
/// still be in time.
///
/// Load pattern: the peak of one queue begins while the backlog of another one's peak, all of it
/// late, keeps that pool's hosts from ever being idle. A reclaimed host gets no new runs and moves
/// once its runs have ended; nothing is stopped.
class HostReclaim
{
public:
    using Milliseconds = std::chrono::milliseconds;

    /// A host whose runs haven't ended after this time is given back: the peak that it was meant
    /// for is over before it would serve.
    static constexpr Milliseconds MaxDrainTime{3'000};

    /// `blocked` are hosts under other orders.
    auto step(std::span<const HostView> hosts, const std::map<PoolName, PoolLoad> &loads,
              const SchedulingRules &rules, const std::set<HostName> &blocked, BootTime now)
        -> ReclaimOrders;

private:
    struct Reclaim
    {
        PoolName from;
        PoolName to;
        BootTime since;
    };
    /// In hosts.
    struct Balance
    {
        std::size_t hosts = 0;
        std::size_t neededInTime = 0;
        bool hasLateRuns = false;
        /// Hosts that may be taken, with the number of their runs.
        std::vector<std::pair<std::size_t, HostName>> candidates;

        [[nodiscard]] auto lacking() const -> std::size_t
        {
            return neededInTime > hosts ? neededInTime - hosts : 0;
        }
        [[nodiscard]] auto spare() const -> std::size_t
        {
            return hosts > neededInTime ? hosts - neededInTime : 0;
        }
    };
    using Balances = std::map<PoolName, Balance>;

    [[nodiscard]] auto balancesOf(std::span<const HostView> hosts,
                                  const std::map<PoolName, PoolLoad> &loads,
                                  const SchedulingRules &rules,
                                  const std::set<HostName> &blocked) const -> Balances;
    auto continueReclaims(std::span<const HostView> hosts, const Balances &balances,
                          const std::set<HostName> &blocked, BootTime now) -> ReclaimOrders;
    auto beginReclaims(Balances &balances, ReclaimOrders &orders, BootTime now) -> void;

    std::map<HostName, Reclaim> m_reclaims;
};

} // namespace shallotproxy
