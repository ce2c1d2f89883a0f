#pragma once

#include <map>
#include <set>
#include <variant>
#include <vector>

#include "shallotproxy/process/base/boot_clock.hpp"
#include "waves.hpp"

namespace shallotproxy {

/// The newest configuration, the hosts that failed by themselves, and the jobs that this member
/// drives.
struct MaintenanceChanged
{
    ConfigurationPointer configuration;
    HostSet failed;
    std::set<IntentId> driven;
};

/// The host has no work any more, and no member can give it any.
struct HostDrained
{
    IntentId job;
    HostName host;
};

/// The platform says that this job's reboot of the host is done.
struct HostRebooted
{
    IntentId job;
    HostName host;
};

/// The grant was put in force, or it surely was not, or nobody knows: all are read back from the
/// configuration.
struct GrantCompleted
{ };

struct MaintenanceTick
{ };

using MaintenanceEvent =
    std::variant<MaintenanceChanged, HostDrained, HostRebooted, GrantCompleted, MaintenanceTick>;

/// Find out whether the host is empty.
struct WatchDrain
{
    IntentId job;
    HostName host;
};

/// Reboots a host. Repeating it is harmless: the platform knows the job and doesn't reboot twice.
struct RebootHost
{
    IntentId job;
    HostName host;
};

/// Publishes this configuration, conditional on the version that it was made from.
struct GrantWave
{
    Configuration next;
};

using MaintenanceAction = std::variant<WatchDrain, RebootHost, GrantWave>;

/// Drives maintenance from wave to wave. All that lasts is in the configuration: a new driver, on
/// any member, begins with nothing and goes on where the last one stopped.
class MaintenanceDriver
{
public:
    auto step(const MaintenanceEvent &event, BootTime now) -> std::vector<MaintenanceAction>;

private:
    enum class Step : std::uint8_t { Emptying, Rebooting, Finished };

    struct ActiveStep
    {
        Step step = Step::Emptying;
        BootTime nextCall;
    };

    using HostKey = std::pair<IntentId, HostName>;

    auto handle(const MaintenanceChanged &event) -> void;
    auto handle(const HostDrained &event) -> void;
    auto handle(const HostRebooted &event) -> void;
    auto handle(const GrantCompleted &event) -> void;
    auto handle(const MaintenanceTick &event) -> void;
    auto followActive() -> void;
    auto callHosts() -> void;
    auto grant() -> void;
    [[nodiscard]] auto finished() const -> std::vector<FinishedHosts>;

    BootTime m_now;
    MaintenanceChanged m_state;
    std::map<HostKey, ActiveStep> m_active;
    bool m_isGranting = false;
    BootTime m_nextGrant;
    std::vector<MaintenanceAction> m_actions;
};

} // namespace shallotproxy
