#pragma once

#include "caller_duty.hpp"

namespace shallotproxy {

/// One member of the system on a platform that is reached through its ports.
class MemberRuntime : public QObject
{
public:
    explicit MemberRuntime(RuntimeContext &context);
    ~MemberRuntime() override;

    auto start() -> Expected<void, ListenError>;
    /// Ends gracefully: no caller's answer is cut, the steward's key is free at once.
    auto drain(std::function<void()> finished) -> void;

private:
    auto resetDeclarations(const std::vector<VersionedRecord> &records) -> void;
    auto takeDeclaration(const VersionedRecord &record) -> void;

    RuntimeContext &m_context;
    StewardDuty m_steward;
    CallerDuty m_callers;
    std::unique_ptr<RecordWatch> m_declarations;
    QTimer m_flushTimer;
    QTimer m_drainTimer;
    BootTime m_drainedAt; // when the drain began
};

} // namespace shallotproxy
