#pragma once

#include <map>

#include "configuration_module.hpp"
#include "control_context.hpp"

namespace shallotproxy {

/// Polls the platform's host list and runs confirmed maintenance in waves.
class MaintenanceModule
{
public:
    MaintenanceModule(ControlContext &context, ConfigurationModule &configuration);

    auto tick(BootTime now) -> void;
    auto receive(const PeerEnvelope &envelope, BootTime now) -> void;
    auto configurationChanged() -> void;
    auto membersChanged() -> void;
    auto drain() -> void;

private:
    auto readHostList(BootTime now) -> void;
    auto applyHostList(const std::string &json) -> void;
    auto updateDrains() -> void;
    auto queryMembers(const HostName &host) -> void;
    auto answerQuery(const MemberName &from, const DrainQuery &query) -> void;
    [[nodiscard]] auto memberNames() const -> std::vector<MemberName>;
    auto notifyDriver() -> void;
    auto step(const MaintenanceEvent &event) -> void;
    auto perform(const WatchDrain &action) -> void;
    auto perform(const RebootHost &action) -> void;
    auto perform(const GrantWave &action) -> void;
    /// Reports the host of `action` as drained if no stored task is placed on it.
    auto readTasksOnHost(const WatchDrain &action, const PoolName &pool) -> void;
    /// Returns the longest deadline of the queues that the host serves.
    [[nodiscard]] auto maxRequestDuration(const Host &host) const -> Duration;

    ControlContext &m_context;
    ConfigurationModule &m_configuration;
    MaintenanceDriver m_driver;
    DrainTracker m_drains;
    BootTime m_nextList;
    bool m_isReadingList = false;
    bool m_isDraining = false;
};

} // namespace shallotproxy
