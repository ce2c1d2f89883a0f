#pragma once

#include "shallotproxy/member/ports.hpp"
#include "shallotproxy/process/base/record_codec.hpp"

namespace shallotproxy {

inline constexpr std::string_view DelegatePath = "/delegate";
/// Orders or replies beyond this size wait for the next message; a body has a bound of 1 MB.
inline constexpr std::size_t MaxBatchBytes = std::size_t{256} * 1024;

/// An order to a worker, as members pass it on. The fields depend on the kind.
struct DelegatedOrder
{
    enum class Kind : std::uint8_t { Start, Stop, SetRunSpeed, Poll };

    std::uint64_t id = 0; // starts at a random number in each term of the steward
    std::uint64_t token = 0;
    std::uint8_t kind = 0;
    std::string worker;
    std::string address;
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    std::uint64_t run = 0;
    std::string payload;
    std::string checkpoint;
    std::int64_t leaseEndMilliseconds = 0;
    std::uint64_t acknowledged = 0;
    std::int32_t waitMilliseconds = 0;
    std::int32_t speedPercent = 0;

    MSGPACK_DEFINE(id, token, kind, worker, address, job, occurrence, step, index, run, payload,
                   checkpoint, leaseEndMilliseconds, acknowledged, waitMilliseconds, speedPercent)
};

struct DelegatedActiveRun
{
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    std::uint64_t run = 0;
    std::string checkpoint;
    std::int32_t progressPercent = 0;
    std::int64_t latencyOrUsage = 0;

    MSGPACK_DEFINE(job, occurrence, step, index, run, checkpoint, progressPercent, latencyOrUsage)
};

struct DelegatedEndedRun
{
    std::uint64_t sequence = 0;
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    std::uint64_t run = 0;
    std::uint8_t end = 0; // RunEnd
    std::string checkpoint;

    MSGPACK_DEFINE(sequence, job, occurrence, step, index, run, end, checkpoint)
};

struct DelegatedReply
{
    std::uint64_t id = 0; // of the order
    std::uint8_t outcome = 0; // OrderOutcome
    std::int64_t clockMilliseconds = 0;
    /// The runs of the worker, if the order was a poll that was answered.
    bool isPolled = false;
    std::int64_t startedMilliseconds = 0;
    std::vector<DelegatedActiveRun> active;
    std::vector<DelegatedEndedRun> ended;
    std::uint8_t contactLoss = 0; // ContactLoss; earlier versions don't send it

    MSGPACK_DEFINE(id, outcome, clockMilliseconds, isPolled, startedMilliseconds, active, ended,
                   contactLoss)
};

/// What a member that calls workers sends to the steward. The response is held back until there are
/// orders.
struct DelegateReport
{
    std::string delegate;
    std::string dataCentre;
    double processorShare = 1;
    double load = 0;
    bool isLeaving = false; // sends no more reports, except for outstanding replies
    std::vector<DelegatedReply> replies;

    MSGPACK_DEFINE(delegate, dataCentre, processorShare, load, isLeaving, replies)
};

/// The steward's response to a report.
struct DelegateOrders
{
    bool isSteward = false;
    /// How long the steward has held the report back.
    std::int64_t heldMilliseconds = 0;
    /// How long the steward may order starts from now on.
    std::int64_t startsAllowedMilliseconds = 0;
    std::vector<DelegatedOrder> orders;
    /// The number of members; 0 if it isn't known.
    std::uint32_t members = 0;
    /// How long the member should wait before it reports again, unless it has replies.
    std::int64_t pauseMilliseconds = 0;

    MSGPACK_DEFINE(isSteward, heldMilliseconds, startsAllowedMilliseconds, orders, members,
                   pauseMilliseconds)
};

auto delegated(const WorkerReport &worker, std::uint64_t token,
               const steward_action::StartRun &order) -> DelegatedOrder;
auto delegated(const WorkerReport &worker, std::uint64_t token,
               const steward_action::StopRun &order) -> DelegatedOrder;
auto delegated(const WorkerReport &worker, std::uint64_t token,
               const steward_action::SetRunSpeed &order) -> DelegatedOrder;
auto delegated(const WorkerReport &worker, std::uint64_t token,
               const steward_action::PollWorker &order) -> DelegatedOrder;
/// Returns an upper bound of the size of an encoded message.
auto encodedSize(const DelegatedOrder &order) -> std::size_t;
auto encodedSize(const DelegatedReply &reply) -> std::size_t;
/// Whether the order may be sent twice: a second poll or stop changes nothing.
auto isRepeatable(const DelegatedOrder &order) -> bool;

/// Sends the order to its worker. Returns false if its kind is unknown; `reply` isn't called then.
auto sendOrder(WorkerPort &workers, const DelegatedOrder &order, WorkerPort::PollReply reply)
    -> bool;

auto encodeReply(std::uint64_t id, const OrderReply &reply,
                 const std::optional<steward_event::WorkerPolled> &poll) -> DelegatedReply;
auto decodeReply(DelegatedReply &&reply, const std::string &worker)
    -> std::pair<OrderReply, std::optional<steward_event::WorkerPolled>>;

} // namespace shallotproxy
