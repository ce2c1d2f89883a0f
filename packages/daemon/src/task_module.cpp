#include "task_module.hpp"

namespace shallotproxy {

TaskModule::TaskModule(ControlContext &context)
    : m_context(context)
{ }

} // namespace shallotproxy
