#include "claim_module.hpp"

namespace shallotproxy {

ClaimModule::ClaimModule(ControlContext &context)
    : m_context(context)
{ }

} // namespace shallotproxy
