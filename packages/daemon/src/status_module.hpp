#pragma once

#include "configuration_module.hpp"
#include "control_context.hpp"

namespace shallotproxy {

/// Answers the operators' `GET /status`.
class StatusModule
{
public:
    StatusModule(ControlContext &context, const ConfigurationModule &configuration);

    auto handle(const ControlCall &call) -> bool;

private:
    [[nodiscard]] auto statusJson() const -> std::string;

    ControlContext &m_context;
    const ConfigurationModule &m_configuration;
};

} // namespace shallotproxy
