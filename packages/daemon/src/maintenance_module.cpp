#include "maintenance_module.hpp"

namespace shallotproxy {

MaintenanceModule::MaintenanceModule(ControlContext &context)
    : m_context(context)
{ }

} // namespace shallotproxy
