#pragma once

#include <map>

#include "configuration_module.hpp"
#include "control_context.hpp"

namespace shallotproxy {

/// Answers the operators' calls that plan, confirm and show intents, and list the history.
class IntentModule
{
public:
    IntentModule(ControlContext &context, ConfigurationModule &configuration);

    auto handle(const ControlCall &call) -> bool;

private:
    /// The record of a planned intent in the store, so that any member can confirm it.
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
    /// Reports the outcome of a confirmation that this member did not apply itself.
    auto resolveNotApplied(const ControlCall &call, const IntentId &id) -> void;
    auto showHistory(const ControlCall &call) -> void;
    auto answerApplied(const ControlCall &call, const IntentId &id, ConfigurationVersion version)
        -> void;
    /// Refuses a plan as stale and lists the changes since its base version.
    auto refuseStale(const ControlCall &call, const IntentId &id, ConfigurationVersion base)
        -> void;
    auto refuse(const ControlCall &call, const IntentError &ec,
                const std::vector<std::string> &changes = {}) -> void;
    /// Reads the intent's record and calls `function` with it. If the store does not answer, the
    /// call is refused with `ifUnavailable`.
    template <typename Function>
    auto withRecord(const ControlCall &call, const IntentId &id, Function function,
                    IntentError::Kind ifUnavailable = IntentError::Kind::NotFresh) -> void;

    ControlContext &m_context;
    ConfigurationModule &m_configuration;
};

} // namespace shallotproxy
