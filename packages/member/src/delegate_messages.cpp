#include "delegate_messages.hpp"

namespace shallotproxy {

namespace {

// Upper bound of the encoded fields of an order, a reply or a run that have no text of callers.
constexpr std::size_t MessageOverheadBytes = 256;

auto orderOf(DelegatedOrder::Kind kind, const WorkerReport &worker, std::uint64_t token)
    -> DelegatedOrder
{
    auto order = DelegatedOrder();
    order.kind = static_cast<std::uint8_t>(kind);
    order.token = token;
    order.worker = worker.name.value();
    order.address = worker.address;
    return order;
}

auto orderOf(DelegatedOrder::Kind kind, const WorkerReport &worker, std::uint64_t token,
             const JobTaskId &task, std::uint64_t run) -> DelegatedOrder
{
    auto order = orderOf(kind, worker, token);
    order.job = task.job;
    order.occurrence = task.occurrence;
    order.step = task.step;
    order.index = task.index;
    order.run = run;
    return order;
}

/// Returns the task that a message names. Leaves the message without the job's id.
template <typename Message>
auto takeTask(Message &message) -> JobTaskId
{
    return {std::move(message.job), message.occurrence, message.step, message.index};
}

auto taskOf(const DelegatedOrder &order) -> JobTaskId
{
    return {order.job, order.occurrence, order.step, order.index};
}

} // namespace

auto delegated(const WorkerReport &worker, std::uint64_t token,
               const steward_action::StartRun &order) -> DelegatedOrder
{
    auto result = orderOf(DelegatedOrder::Kind::Start, worker, token, order.task, order.run);
    result.payload = order.payload;
    result.checkpoint = order.checkpoint;
    result.leaseEndMilliseconds = order.leaseEndMilliseconds;
    return result;
}

auto delegated(const WorkerReport &worker, std::uint64_t token,
               const steward_action::StopRun &order) -> DelegatedOrder
{
    return orderOf(DelegatedOrder::Kind::Stop, worker, token, order.task, order.run);
}

auto delegated(const WorkerReport &worker, std::uint64_t token,
               const steward_action::SetRunSpeed &order) -> DelegatedOrder
{
    auto result = orderOf(DelegatedOrder::Kind::SetRunSpeed, worker, token, order.task, order.run);
    result.speedPercent = order.speedPercent;
    return result;
}

auto delegated(const WorkerReport &worker, std::uint64_t token,
               const steward_action::PollWorker &order) -> DelegatedOrder
{
    auto result = orderOf(DelegatedOrder::Kind::Poll, worker, token);
    result.leaseEndMilliseconds = order.leaseEndMilliseconds;
    result.acknowledged = order.acknowledged;
    result.waitMilliseconds = order.waitMilliseconds;
    return result;
}

auto encodedSize(const DelegatedOrder &order) -> std::size_t
{
    return MessageOverheadBytes + order.payload.size() + order.checkpoint.size();
}

auto encodedSize(const DelegatedReply &reply) -> std::size_t
{
    auto size = MessageOverheadBytes;
    for (const auto &it : reply.active)
        size += MessageOverheadBytes + it.checkpoint.size();
    for (const auto &it : reply.ended)
        size += MessageOverheadBytes + it.checkpoint.size();
    return size;
}

auto isRepeatable(const DelegatedOrder &order) -> bool
{
    const auto kind = static_cast<DelegatedOrder::Kind>(order.kind);
    return kind == DelegatedOrder::Kind::Poll || kind == DelegatedOrder::Kind::Stop;
}

auto sendOrder(WorkerPort &workers, const DelegatedOrder &order, WorkerPort::PollReply reply)
    -> bool
{
    auto worker = WorkerReport();
    worker.name = WorkerName(order.worker);
    worker.address = order.address;
    auto orderReply = [reply](const OrderReply &it) { reply(it, std::nullopt); };
    switch (static_cast<DelegatedOrder::Kind>(order.kind)) {
    case DelegatedOrder::Kind::Start:
        workers.start(worker, order.token,
                      {worker.name, taskOf(order), order.run, order.payload, order.checkpoint,
                       order.leaseEndMilliseconds},
                      std::move(orderReply));
        return true;
    case DelegatedOrder::Kind::Stop:
        workers.stop(worker, order.token, {worker.name, taskOf(order), order.run},
                     std::move(orderReply));
        return true;
    case DelegatedOrder::Kind::SetRunSpeed:
        workers.setRunSpeed(worker, order.token,
                            {worker.name, taskOf(order), order.run, order.speedPercent},
                            std::move(orderReply));
        return true;
    case DelegatedOrder::Kind::Poll:
        workers.poll(
            worker, order.token,
            {worker.name, order.leaseEndMilliseconds, order.acknowledged, order.waitMilliseconds},
            std::move(reply));
        return true;
    }
    return false;
}

auto encodeReply(std::uint64_t id, const OrderReply &reply,
                 const std::optional<steward_event::WorkerPolled> &poll) -> DelegatedReply
{
    auto result = DelegatedReply();
    result.id = id;
    result.outcome = static_cast<std::uint8_t>(reply.outcome);
    result.clockMilliseconds = reply.clockMilliseconds;
    result.contactLoss = static_cast<std::uint8_t>(reply.contactLoss);
    if (!poll)
        return result;
    result.isPolled = true;
    result.startedMilliseconds = poll->startedMilliseconds;
    result.active.reserve(poll->active.size());
    for (const auto &it : poll->active) {
        result.active.push_back({it.task.job, it.task.occurrence, it.task.step, it.task.index,
                                 it.run, it.checkpoint, it.progressPercent, it.latencyOrUsage});
    }
    result.ended.reserve(poll->ended.size());
    for (const auto &it : poll->ended) {
        result.ended.push_back({it.sequence, it.task.job, it.task.occurrence, it.task.step,
                                it.task.index, it.run, static_cast<std::uint8_t>(it.end),
                                it.checkpoint});
    }
    return result;
}

auto decodeReply(DelegatedReply &&reply, const std::string &worker)
    -> std::pair<OrderReply, std::optional<steward_event::WorkerPolled>>
{
    const auto isKnownOutcome =
        reply.outcome <= static_cast<std::uint8_t>(OrderOutcome::Unanswered);
    auto result = std::pair<OrderReply, std::optional<steward_event::WorkerPolled>>();
    result.first.outcome =
        isKnownOutcome ? static_cast<OrderOutcome>(reply.outcome) : OrderOutcome::Unanswered;
    result.first.clockMilliseconds = reply.clockMilliseconds;
    if (reply.contactLoss <= static_cast<std::uint8_t>(ContactLoss::Closed))
        result.first.contactLoss = static_cast<ContactLoss>(reply.contactLoss);
    if (!reply.isPolled)
        return result;
    auto &poll = result.second.emplace();
    poll.worker = WorkerName(worker);
    poll.clockMilliseconds = reply.clockMilliseconds;
    poll.startedMilliseconds = reply.startedMilliseconds;
    poll.active.reserve(reply.active.size());
    for (auto &it : reply.active) {
        poll.active.push_back({takeTask(it), it.run, std::move(it.checkpoint), it.progressPercent,
                               it.latencyOrUsage});
    }
    poll.ended.reserve(reply.ended.size());
    for (auto &it : reply.ended) {
        const auto end = std::min(it.end, static_cast<std::uint8_t>(RunEnd::GangIncomplete));
        poll.ended.push_back({it.sequence, takeTask(it), it.run, static_cast<RunEnd>(end),
                              std::move(it.checkpoint)});
    }
    return result;
}

} // namespace shallotproxy
