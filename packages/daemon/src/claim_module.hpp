#pragma once

#include <QObject>
#include <QTimer>

#include "control_context.hpp"
#include "shallotproxy/request/claim/claim_table.hpp"

namespace shallotproxy {

/// Stores claims of idempotency keys, and queries their owners for the answers to replay.
class ClaimModule
{
public:
    explicit ClaimModule(ControlContext &context);

    auto tick(BootTime now) -> void;
    auto receive(const PeerEnvelope &envelope, BootTime now) -> void;
    auto membersChanged() -> void;
    auto handle(const ClaimRequested &event) -> void;
    auto handle(const ClaimedRequestEnded &event) -> void;

private:
    auto step(const ClaimEvent &event) -> void;
    auto perform(const WriteClaims &action) -> void;
    auto perform(const ReadClaims &action) -> void;
    auto perform(const DeleteClaims &action) -> void;
    auto perform(const ClaimDecision &action) -> void;
    auto perform(const QueryClaimOwner &action) -> void;
    auto perform(const AnswerClaimQuery &action) -> void;

    auto grantLease(const WriteClaims &action) -> void;
    auto write(const WriteClaims &action) -> void;
    auto call(StoreTransaction transaction) -> void;
    auto applyAnswer(const StoreReply &reply) -> void;
    [[nodiscard]] auto keyOf(const ClaimName &name) const -> std::string;

    ControlContext &m_context;
    ClaimTable m_table;
    QObject m_timerContext;
    BootTime m_wakeAt;
    std::vector<std::string> m_keys; // keys of the running call, in its order
    StoreLease m_lease = 0;
    BootTime m_leaseUsableUntil;
};

} // namespace shallotproxy
