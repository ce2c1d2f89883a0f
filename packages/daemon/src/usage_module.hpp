#pragma once

#include "control_context.hpp"

namespace shallotproxy {

/// Keeps this incarnation's usage in the platform's service and answers `GET /usage`: operators see
/// every team, a team's key shows only that team.
class UsageModule
{
public:
    explicit UsageModule(ControlContext &context);

    auto tick(BootTime now) -> void;
    auto drain() -> void;
    auto handle(const ControlCall &call) -> bool;

private:
    auto write() -> void;
    auto answer(const ControlCall &call, const StoreReply &reply) -> void;

    ControlContext &m_context;
    BootTime m_nextWrite;
    TeamUsages m_written;
    bool m_isWriting = false;
};

} // namespace shallotproxy
