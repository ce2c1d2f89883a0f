#pragma once

#include <set>
#include <vector>

#include "../configuration/configuration.hpp"

namespace shallotproxy {

using HostSet = std::set<HostName>;

/// The number of unavailable hosts of a pool and the maximum that its budget allows.
struct PoolMargin
{
    PoolName pool;
    std::uint32_t hosts = 0;
    std::uint32_t unavailable = 0; // taken out of service by operators or maintenance, or failed
    std::uint32_t allowed = 0;

    /// Returns how many more hosts may be taken out; negative if the budget is exceeded.
    [[nodiscard]] auto remaining() const -> std::int64_t;
};

/// Returns whether the host is unavailable: by its own state or that of its data centre, or because
/// it has failed.
auto isUnavailable(const Configuration &configuration, const Host &host, const HostSet &failed)
    -> bool;

/// Returns the margin of every pool. O(hosts).
auto poolMargins(const Configuration &configuration, const HostSet &failed)
    -> std::map<PoolName, PoolMargin>;

/// Returns the pools whose budget the change from `before` to `after` breaks: the pool is over its
/// budget afterwards, and the change takes out one of its hosts. Failures alone do not count.
auto brokenBudgets(const Configuration &before, const Configuration &after, const HostSet &failed)
    -> std::vector<PoolMargin>;

/// Returns the margin of the pool that has the least remaining.
auto minMargin(const Configuration &configuration, const HostSet &failed) -> PoolMargin;

} // namespace shallotproxy
