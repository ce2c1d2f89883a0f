#pragma once

#include <set>
#include <vector>

#include "../configuration/configuration.hpp"

namespace shallotproxy {

using HostSet = std::set<HostName>;

/// Hosts that a pool has out of service, beside the most that its budget allows.
struct PoolMargin
{
    PoolName pool;
    std::uint32_t hosts = 0;
    std::uint32_t unavailable = 0; // taken out by operators or maintenance, or failed
    std::uint32_t allowed = 0;

    /// Hosts that may still leave; negative if the budget is exceeded.
    [[nodiscard]] auto left() const -> std::int64_t;
};

/// Whether the host is out of service: by its own or its data centre's state, or because it failed
/// by itself.
auto isUnavailable(const Configuration &configuration, const Host &host, const HostSet &failed)
    -> bool;

/// Margin of every pool. O(hosts).
auto poolMargins(const Configuration &configuration, const HostSet &failed)
    -> std::map<PoolName, PoolMargin>;

/// Pools whose budget the change from `before` to `after` breaks: the pool is above its budget
/// afterwards and the change took out a host of it. Failures alone break no budget of ours.
auto brokenBudgets(const Configuration &before, const Configuration &after, const HostSet &failed)
    -> std::vector<PoolMargin>;

/// The pool with the least margin left.
auto leastMargin(const Configuration &configuration, const HostSet &failed) -> PoolMargin;

} // namespace shallotproxy
