#pragma once

#include <map>
#include <set>
#include <span>
#include <vector>

#include "budget.hpp"
#include "shallotproxy/process/base/boot_clock.hpp"

namespace shallotproxy {

/// Upper bound of the time until a version is in force on every member, including one that is
/// disconnected and whose configuration then loses its freshness.
inline constexpr Duration MaxVersionActivationTime = std::chrono::seconds(5);

/// Tracks whether a target that is out of service has no request left. The version that a member
/// serves never decreases, so its reply that it serves the version in which the host was taken out,
/// and runs nothing there, stays valid.
class DrainTracker
{
public:
    /// Tracks the hosts that accept no work, and the members that may have requests on them.
    auto applyConfiguration(const Configuration &configuration, std::span<const MemberName> members,
                            BootTime now) -> void;
    /// Applies the reply of a member that serves `version` and, of `queriedHosts`, runs requests on
    /// `busyHosts`.
    auto applyReply(const MemberName &member, ConfigurationVersion version,
                    const HostSet &queriedHosts, const HostSet &busyHosts) -> void;
    /// Returns the members that have not yet confirmed that they run nothing on the host.
    [[nodiscard]] auto pendingMembers(const HostName &host) const -> std::set<MemberName>;
    /// Returns whether no request is left on the host: every member has confirmed it, or
    /// `maxRequestTime`, the longest that a request can take, has passed.
    [[nodiscard]] auto isDrained(const HostName &host, Duration maxRequestTime, BootTime now) const
        -> bool;

private:
    struct Drain
    {
        BootTime since;
        ConfigurationVersion version = 0; // the first seen in which the host accepts no work
        std::set<MemberName> knownMembers; // all members seen since then
        std::set<MemberName> unconfirmedMembers;
    };

    std::map<HostName, Drain> m_drains;
};

} // namespace shallotproxy
