#pragma once

#include <map>

#include "configuration_module.hpp"
#include "control_context.hpp"

namespace shallotproxy {

/// The operators' intent interface: plan, confirm, show.
class IntentModule
{
public:
    IntentModule(ControlContext &context, ConfigurationModule &configuration);

    auto handle(const ControlCall &call) -> bool;

private:
    /// A planned intent as it is kept in the platform's service, so that any member can confirm.
    struct IntentRecord
    {
        std::string json;
        ConfigurationVersion baseVersion = 0;
        std::string state; // planned or applied
        ConfigurationVersion appliedVersion = 0;
        MSGPACK_DEFINE(json, baseVersion, state, appliedVersion)
    };

    auto plan(const ControlCall &call) -> void;
    auto show(const ControlCall &call, const IntentId &id) -> void;
    auto confirm(const ControlCall &call, const IntentId &id) -> void;
    auto confirmRecord(const ControlCall &call, const IntentId &id, const IntentRecord &record)
        -> void;
    /// Tells the outcome of a confirmation that this member didn't apply.
    auto settle(const ControlCall &call, const IntentId &id) -> void;
    auto showHistory(const ControlCall &call) -> void;
    auto answerApplied(const ControlCall &call, const IntentId &id, ConfigurationVersion version)
        -> void;
    /// Refuses a plan as stale and lists what has changed since it was made.
    auto refuseStale(const ControlCall &call, const IntentId &id, ConfigurationVersion base)
        -> void;
    auto refuse(const ControlCall &call, const IntentError &ec,
                const std::vector<std::string> &changes = {}) -> void;
    template <typename Function>
    auto withRecord(const ControlCall &call, const IntentId &id, Function function,
                    IntentError::Kind ifSilent = IntentError::Kind::NotFresh) -> void;

    ControlContext &m_context;
    ConfigurationModule &m_configuration;
};

} // namespace shallotproxy
