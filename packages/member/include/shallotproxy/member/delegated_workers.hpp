#pragma once

#include <unordered_map>

#include <QObject>
#include <QTimer>

#include "delegate_table.hpp"
#include "runtime_context.hpp"

namespace shallotproxy {

struct DelegatedOrder;
struct DelegatedReply;

/// Sends the steward's orders to workers, itself or through other members; see DelegateTable.
///
/// An order that may have been sent is never sent again, except polls and stops. Orders to a
/// delegate that is lost get no answer, or are sent directly if the delegate didn't receive them.
class DelegatedWorkers : public QObject, public WorkerPort
{
public:
    DelegatedWorkers(RuntimeContext &context, const Stewardship &stewardship, QObject *parent);
    ~DelegatedWorkers() override;

    auto start(const WorkerReport &worker, std::uint64_t token,
               const steward_action::StartRun &order, Reply reply) -> void override;
    auto stop(const WorkerReport &worker, std::uint64_t token, const steward_action::StopRun &order,
              Reply reply) -> void override;
    auto setRunSpeed(const WorkerReport &worker, std::uint64_t token,
                     const steward_action::SetRunSpeed &order, Reply reply) -> void override;
    auto poll(const WorkerReport &worker, std::uint64_t token,
              const steward_action::PollWorker &order, PollReply reply) -> void override;
    /// Also gives up orders that have been without an answer for too long. Call it periodically.
    auto closeIdle(BootTime now) -> void override;

    /// Takes the report of another member, and answers it when there are orders for that member.
    auto receiveReport(const HttpRequest &request, HttpResponder responder) -> void;
    /// Returns the number of members that report to this one, and itself.
    [[nodiscard]] auto memberCount() const -> std::size_t { return m_channels.size() + 1; }
    /// The steward's process has used this part of its processor time.
    auto loadMeasured(double load) -> void;
    /// Drops all orders, because this member isn't the steward any more.
    auto reset() -> void;

private:
    struct PendingOrder;
    struct Channel;

    auto delegate(const MemberName &name, DelegatedOrder order, PollReply reply) -> void;
    auto sendDirectly(const PendingOrder &pending) -> void;
    auto giveUp(const PendingOrder &pending) -> void;
    template <typename Predicate>
    auto takeOrders(Predicate matches) -> std::vector<PendingOrder>;
    auto receiveReply(const MemberName &name, DelegatedReply &&reply) -> void;
    auto flush() -> void;
    auto flush(Channel &channel, BootTime now) -> void;
    auto lose(const MemberName &name, std::string_view reason) -> void;
    auto leave(const MemberName &name) -> void;
    auto decide(const DelegateEvent &event) -> void;
    [[nodiscard]] auto maySend(const PendingOrder &pending) const -> bool;
    [[nodiscard]] auto route(const WorkerReport &worker) const -> std::optional<MemberName>;

    RuntimeContext &m_context;
    const Stewardship &m_stewardship;
    DelegateTable m_table;
    std::map<MemberName, Channel> m_channels;
    std::unordered_map<std::uint64_t, PendingOrder> m_pending;
    std::uint64_t m_lastId = 0;
    BootTime m_checkedAt; // when the orders and delegates were last checked, or should have been
    bool m_isCheckSkipped = false;
    QTimer m_flushTimer;
};

} // namespace shallotproxy
