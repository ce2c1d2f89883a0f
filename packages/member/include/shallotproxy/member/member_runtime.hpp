#pragma once

#include "caller_duty.hpp"
#include "delegate_duty.hpp"

namespace shallotproxy {

/// Runs one member of the system on a platform, which it reaches through the interfaces of
/// ports.hpp.
class MemberRuntime : public QObject
{
public:
    explicit MemberRuntime(RuntimeContext &context);
    ~MemberRuntime() override;

    auto start() -> Expected<void, ListenError>;
    /// Shuts down gracefully: callers get their responses, and the steward's key is released at
    /// once. Calls `finished` at the end.
    auto drain(std::function<void()> finished) -> void;

private:
    auto resetDeclarations(const std::vector<VersionedRecord> &records) -> void;
    auto applyDeclaration(const VersionedRecord &record) -> void;

    RuntimeContext &m_context;
    StewardDuty m_steward;
    CallerDuty m_callerDuty;
    DelegateDuty m_delegate;
    std::unique_ptr<RecordWatch> m_declarations;
    QTimer m_flushTimer;
    QTimer m_drainTimer;
    BootTime m_drainStartedAt;
};

} // namespace shallotproxy
