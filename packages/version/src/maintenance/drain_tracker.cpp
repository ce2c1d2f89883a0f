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
        // A member that leaves the directory may still run requests: it stays asked for.
        for (const auto &member : members) {
            if (drain.known.insert(member).second)
                drain.waiting.insert(member);
        }
        drains.emplace(name, std::move(drain));
    }
    m_drains = std::move(drains);
}

auto DrainTracker::applyReply(const MemberName &member, ConfigurationVersion version,
                              const HostSet &asked, const HostSet &busy) -> void
{
    for (const auto &host : asked) {
        const auto it = m_drains.find(host);
        if (it != m_drains.end() && version >= it->second.version && !busy.contains(host))
            it->second.waiting.erase(member);
    }
}

auto DrainTracker::pendingMembers(const HostName &host) const -> std::set<MemberName>
{
    const auto it = m_drains.find(host);
    return it == m_drains.end() ? std::set<MemberName>() : it->second.waiting;
}

// A member that no directory shows any more may start requests until its freshness has lapsed, so
// even unanimous answers wait for that.
auto DrainTracker::isDrained(const HostName &host, Duration bound, BootTime now) const -> bool
{
    const auto it = m_drains.find(host);
    if (it == m_drains.end())
        return false;
    const auto &drain = it->second;
    if (now >= drain.since + VersionForceTime + bound)
        return true;
    return drain.waiting.empty() && !drain.known.empty() && now >= drain.since + VersionForceTime;
}

} // namespace shallotproxy
