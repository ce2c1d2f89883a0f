#pragma once

#include "control_context.hpp"

namespace shallotproxy {

/// Runs tasks on workers.
class TaskModule
{
public:
    explicit TaskModule(ControlContext &context);

private:
    [[maybe_unused]] ControlContext &m_context;
};

} // namespace shallotproxy
