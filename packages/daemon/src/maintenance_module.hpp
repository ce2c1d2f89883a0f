#pragma once

#include <map>

#include "configuration_module.hpp"
#include "control_context.hpp"

namespace shallotproxy {

/// Follows the platform's host list and drives confirmed maintenance in waves.
class MaintenanceModule
{
public:
    MaintenanceModule(ControlContext &context, ConfigurationModule &configuration);

    auto tick(BootTime now) -> void;
    auto configurationChanged() -> void;
    auto membersChanged() -> void;
    auto drain() -> void;

private:
    auto readHostList(BootTime now) -> void;
    auto applyHostList(const std::string &json) -> void;
    auto followHosts() -> void;
    auto tellDriver() -> void;
    auto step(const MaintenanceEvent &event) -> void;
    auto perform(const WatchHost &action) -> void;
    auto perform(const RebootHost &action) -> void;
    auto perform(const GrantWave &action) -> void;
    auto readTasksOf(const WatchHost &action, const PoolName &pool) -> void;
    [[nodiscard]] auto drainTime(const Host &host) const -> Duration;

    ControlContext &m_context;
    ConfigurationModule &m_configuration;
    MaintenanceDriver m_driver;
    std::map<HostName, BootTime> m_outSince; // hosts that take no work, as held here
    BootTime m_nextList;
    bool m_isReadingList = false;
    bool m_isDraining = false;
};

} // namespace shallotproxy
