#pragma once

#include "control_context.hpp"

namespace shallotproxy {

/// Stores the usage of this incarnation and answers `GET /usage`: operators see every team, callers
/// only the team of their key.
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
