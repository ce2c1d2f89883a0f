#pragma once

#include <map>
#include <set>
#include <variant>
#include <vector>

#include "shallotproxy/process/base/boot_clock.hpp"
#include "waves.hpp"

namespace shallotproxy {

/// Reports the newest configuration, the hosts that have failed, and the jobs that this member
/// drives.
struct MaintenanceChanged
{
    ConfigurationPointer configuration;
    HostSet failed;
    std::set<IntentId> driven;
};

/// Reports that the host has no work left and that no member can start any on it.
struct HostDrained
{
    IntentId job;
    HostName host;
};

/// Reports that the platform has completed this job's reboot of the host.
struct HostRebooted
{
    IntentId job;
    HostName host;
};

/// Reports that a GrantWave has completed. Whether it was applied, was not, or has an unknown
/// outcome is read back from the configuration.
struct GrantCompleted
{ };

/// Starts the actions that are due; sent periodically.
struct MaintenanceTick
{ };

using MaintenanceEvent =
    std::variant<MaintenanceChanged, HostDrained, HostRebooted, GrantCompleted, MaintenanceTick>;

/// Checks whether the host is drained.
struct WatchDrain
{
    IntentId job;
    HostName host;
};

/// Reboots a host. Repeating it is harmless: the platform recognises the job and does not reboot
/// the host twice.
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

/// Drives maintenance from wave to wave. All persistent state is in the configuration: a new
/// driver, on any member, starts empty and continues where the previous one stopped.
class MaintenanceDriver
{
public:
    /// Applies an event and returns the actions to perform.
    auto step(const MaintenanceEvent &event, BootTime now) -> std::vector<MaintenanceAction>;

private:
    enum class Step : std::uint8_t { Draining, Rebooting, Finished };

    struct ActiveStep
    {
        Step step = Step::Draining;
        BootTime nextPoll;
    };

    using HostKey = std::pair<IntentId, HostName>;

    auto handle(const MaintenanceChanged &event) -> void;
    auto handle(const HostDrained &event) -> void;
    auto handle(const HostRebooted &event) -> void;
    auto handle(const GrantCompleted &event) -> void;
    auto handle(const MaintenanceTick &event) -> void;
    auto syncActiveSteps() -> void;
    auto pollHosts() -> void;
    auto grant() -> void;
    [[nodiscard]] auto finishedHosts() const -> std::vector<FinishedHosts>;

    BootTime m_now;
    MaintenanceChanged m_state;
    std::map<HostKey, ActiveStep> m_active;
    bool m_isGrantPending = false;
    BootTime m_nextGrant;
    std::vector<MaintenanceAction> m_actions;
};

} // namespace shallotproxy
