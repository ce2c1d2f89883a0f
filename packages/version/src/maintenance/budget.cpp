#include "shallotproxy/version/maintenance/budget.hpp"

#include <algorithm>

#include "shallotproxy/version/maintenance/job.hpp"

namespace shallotproxy {

auto maintenanceName(MaintenanceKind kind) -> std::string_view
{
    return kind == MaintenanceKind::Reboot ? "reboot" : "move";
}

auto PoolMargin::remaining() const -> std::int64_t
{
    return std::int64_t{allowed} - std::int64_t{unavailable};
}

auto isUnavailable(const Configuration &configuration, const Host &host, const HostSet &failed)
    -> bool
{
    return !configuration.acceptsWork(host) || failed.contains(host.name);
}

auto poolMargins(const Configuration &configuration, const HostSet &failed)
    -> std::map<PoolName, PoolMargin>
{
    auto margins = std::map<PoolName, PoolMargin>();
    for (const auto &[name, pool] : configuration.pools)
        margins[name] = {name, 0, 0, pool.maxUnavailable};
    for (const auto &[name, host] : configuration.hosts) {
        auto &margin = margins[host.pool];
        ++margin.hosts;
        if (isUnavailable(configuration, host, failed))
            ++margin.unavailable;
    }
    return margins;
}

auto brokenBudgets(const Configuration &before, const Configuration &after, const HostSet &failed)
    -> std::vector<PoolMargin>
{
    auto affectedPools = std::set<PoolName>(); // pools that lose an available host
    for (const auto &[name, host] : after.hosts) {
        const auto it = before.hosts.find(name);
        if (it == before.hosts.end() || it->second.pool != host.pool)
            continue;
        if (!isUnavailable(before, it->second, failed) && isUnavailable(after, host, failed))
            affectedPools.insert(host.pool);
    }
    auto broken = std::vector<PoolMargin>();
    for (const auto &[name, margin] : poolMargins(after, failed)) {
        if (affectedPools.contains(name) && margin.remaining() < 0)
            broken.push_back(margin);
    }
    return broken;
}

auto minMargin(const Configuration &configuration, const HostSet &failed) -> PoolMargin
{
    const auto margins = poolMargins(configuration, failed);
    const auto it = std::ranges::min_element(margins, [](const auto &left, const auto &right) {
        return left.second.remaining() < right.second.remaining();
    });
    return it == margins.end() ? PoolMargin() : it->second;
}

} // namespace shallotproxy
