#pragma once

#include <map>
#include <set>
#include <span>
#include <vector>

#include "budget.hpp"
#include "shallotproxy/process/base/boot_clock.hpp"

namespace shallotproxy {

/// Longest time until a version is in force on every member, also one that was cut off.
inline constexpr Duration VersionForceTime = std::chrono::seconds(5);

/// Knows when a target that is out of service has no request left. A version never goes back, so
/// one answer of a member that serves the version, and runs nothing there, holds for ever.
class DrainTracker
{
public:
    /// Follows the hosts that take no work, and the members that may have requests on them.
    auto applyConfiguration(const Configuration &configuration, std::span<const MemberName> members,
                            BootTime now) -> void;
    /// A member serves `version` and, of `asked`, runs requests on `busy`.
    auto applyReply(const MemberName &member, ConfigurationVersion version, const HostSet &asked,
                    const HostSet &busy) -> void;
    /// Members that have not yet said that they run nothing on the host.
    [[nodiscard]] auto pendingMembers(const HostName &host) const -> std::set<MemberName>;
    /// Whether no request is left: every member has said so, or `bound` is over, which is the
    /// longest that a request can take.
    [[nodiscard]] auto isDrained(const HostName &host, Duration bound, BootTime now) const -> bool;

private:
    struct Drain
    {
        BootTime since;
        ConfigurationVersion version = 0; // in which it was first seen out
        std::set<MemberName> known; // members since then
        std::set<MemberName> waiting;
    };

    std::map<HostName, Drain> m_drains;
};

} // namespace shallotproxy
