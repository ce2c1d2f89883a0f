#pragma once

#include "control_context.hpp"

namespace shallotproxy {

/// Keeps claims of idempotency keys in the platform's service.
class ClaimModule
{
public:
    explicit ClaimModule(ControlContext &context);

private:
    [[maybe_unused]] ControlContext &m_context;
};

} // namespace shallotproxy
