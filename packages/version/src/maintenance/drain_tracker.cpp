#include "shallotproxy/version/maintenance/drain_tracker.hpp"

namespace shallotproxy {

auto DrainTracker::applyConfiguration(const Configuration &configuration,
                                      std::span<const MemberName> members, BootTime now) -> void
{
    auto drains = std::map<HostName, Drain>();
    for (const auto &[name, host] : configuration.hosts) {
        if (configuration.acceptsWork(host))
            continue;
        const auto it = m_drains.find(name);
        auto drain = it == m_drains.end() ? Drain{now, configuration.version, {}, {}} : it->second;
        // A member that leaves the directory may still run requests, so it must still confirm.
        for (const auto &member : members) {
            if (drain.knownMembers.insert(member).second)
                drain.unconfirmedMembers.insert(member);
        }
        drains.emplace(name, std::move(drain));
    }
    m_drains = std::move(drains);
}

auto DrainTracker::applyReply(const MemberName &member, ConfigurationVersion version,
                              const HostSet &queriedHosts, const HostSet &busyHosts) -> void
{
    for (const auto &host : queriedHosts) {
        const auto it = m_drains.find(host);
        if (it != m_drains.end() && version >= it->second.version && !busyHosts.contains(host))
            it->second.unconfirmedMembers.erase(member);
    }
}

auto DrainTracker::pendingMembers(const HostName &host) const -> std::set<MemberName>
{
    const auto it = m_drains.find(host);
    return it == m_drains.end() ? std::set<MemberName>() : it->second.unconfirmedMembers;
}

// A member that is no longer in any directory may start requests until its configuration has lost
// its freshness, so the host is not drained before that even if all known members have confirmed.
auto DrainTracker::isDrained(const HostName &host, Duration maxRequestTime, BootTime now) const
    -> bool
{
    const auto it = m_drains.find(host);
    if (it == m_drains.end())
        return false;
    const auto &drain = it->second;
    if (now >= drain.since + MaxVersionActivationTime + maxRequestTime)
        return true;
    return drain.unconfirmedMembers.empty() && !drain.knownMembers.empty()
        && now >= drain.since + MaxVersionActivationTime;
}

} // namespace shallotproxy
