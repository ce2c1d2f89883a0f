#pragma once

#include <memory>
#include <tuple>

#include <QObject>
#include <QTimer>

#include "claim_module.hpp"
#include "configuration_module.hpp"
#include "control_context.hpp"
#include "intent_module.hpp"
#include "limit_module.hpp"
#include "links.hpp"
#include "maintenance_module.hpp"
#include "process_context.hpp"
#include "share_module.hpp"
#include "status_module.hpp"
#include "task_module.hpp"
#include "usage_module.hpp"

namespace shallotproxy {

/// Runs the modules that coordinate with the store and the other members: configuration, limits,
/// shares, usage, intents, claims, tasks and maintenance. A module implements any of `tick(now)`,
/// `receive(envelope, now)`, `configurationChanged()`, `membersChanged()`, `drain()` and
/// `handle(call) -> bool`, which returns whether the module answers the call.
class ControlDuty : public QObject
{
public:
    ControlDuty(ProcessContext &process, Links &links);

    auto start() -> void;
    auto stop() -> void;
    /// Starts the graceful shutdown: the modules release what this member has been granted.
    auto drain() -> void;

private:
    auto tick() -> void;
    auto drainFront() -> void;
    auto drainOperators() -> void;
    auto drainStore() -> void;
    auto drainPeers() -> void;
    auto drainPlatform() -> void;
    auto withdrawExpiredUnits() -> void;
    auto handleLoads(LoadReport report) -> void;
    auto handleCall(const ControlCall &call) -> void;
    auto notifyChanges() -> void;
    template <typename Function>
    auto forEachModule(Function &&function) -> void;

    Links &m_links;
    ControlContext m_context;
    ConfigurationModule m_configuration;
    LimitModule m_limits;
    ShareModule m_shares;
    UsageModule m_usage;
    IntentModule m_intents;
    StatusModule m_status;
    ClaimModule m_claims;
    TaskModule m_tasks;
    MaintenanceModule m_maintenance;
    std::unique_ptr<QTimer> m_timer;
    ConfigurationPointer m_notifiedConfiguration;
    MemberDirectory m_notifiedMembers;
};

} // namespace shallotproxy
