#pragma once

#include "control_context.hpp"

namespace shallotproxy {

/// Drives confirmed maintenance in waves.
class MaintenanceModule
{
public:
    explicit MaintenanceModule(ControlContext &context);

private:
    [[maybe_unused]] ControlContext &m_context;
};

} // namespace shallotproxy
