#pragma once

#include <QObject>
#include <QTimer>

#include "processor_load.hpp"
#include "steward_duty.hpp"

namespace shallotproxy {

struct DelegatedOrder;
struct DelegatedReply;

/// Offers this member to the steward of another one, and sends orders to workers on its behalf.
class DelegateDuty : public QObject
{
public:
    DelegateDuty(RuntimeContext &context, const StewardDuty &steward, QObject *parent);
    ~DelegateDuty() override;

    auto start() -> void;
    /// Takes no more orders.
    auto drain() -> void;

private:
    auto tick() -> void;
    [[nodiscard]] auto hasSteward() const -> bool;
    auto reportIfDue() -> void;
    auto report() -> void;
    auto receiveOrders(const TargetReply &reply, BootTime reportedAt) -> void;
    auto perform(const DelegatedOrder &order, bool maySend) -> void;
    auto addReply(DelegatedReply reply) -> void;

    RuntimeContext &m_context;
    const StewardDuty &m_steward;
    HttpClient m_client;
    ProcessorLoad m_processorLoad;
    double m_load = 0;
    std::string m_stewardAddress;
    std::vector<DelegatedReply> m_replies;
    std::uint64_t m_generation = 0; // changes with the steward; marks stale replies
    std::size_t m_openReports = 0;
    BootTime m_nextReportAt;
    /// Until then this member reports only replies.
    BootTime m_pausedUntil;
    QTimer m_tickTimer;
    QTimer m_reportTimer;
    bool m_isDraining = false;
};

} // namespace shallotproxy
