#include <QPointer>

#include "delegate_messages.hpp"
#include "shallotproxy/member/delegated_workers.hpp"

namespace shallotproxy {

namespace {

using std::chrono::milliseconds;

// Groups orders, so that an exchange with a delegate serves many of them.
constexpr milliseconds BatchDelay{10};
// An order that waits this long for a report of its delegate is sent directly.
constexpr milliseconds MaxWaitForReport{200};
// Longer than the time in which a delegate gives up an order, and less than `startTimeout`.
constexpr milliseconds OrderTimeout{1'100};
// Members that get no calls report rarely.
constexpr milliseconds UnusedReportInterval{1'000};
constexpr milliseconds UnusedReportTimeout{3'000};

auto encodeOrders(std::vector<DelegatedOrder> orders) -> HttpResponse
{
    return {200, {}, packRecord(DelegateOrders{true, std::move(orders)})};
}

} // namespace

struct DelegatedWorkers::PendingOrder
{
    DelegatedOrder order;
    PollReply reply;
    MemberName delegate;
    bool isSent = false;
    BootTime dueAt;
};

/// A member that reports to this one.
struct DelegatedWorkers::Channel
{
    /// The report that is held back until there are orders.
    std::optional<HttpResponder> heldReport;
    BootTime reportedAt;
    /// When the last report was answered; the next one follows.
    BootTime answeredAt;
    /// Orders that aren't sent yet.
    std::vector<std::uint64_t> orders;
};

DelegatedWorkers::DelegatedWorkers(RuntimeContext &context, const Stewardship &stewardship,
                                   QObject *parent)
    : QObject(parent)
    , m_context(context)
    , m_stewardship(stewardship)
{
    m_flushTimer.setSingleShot(true);
    m_flushTimer.setTimerType(Qt::PreciseTimer);
    connect(&m_flushTimer, &QTimer::timeout, this, [this] { flush(); });
}

DelegatedWorkers::~DelegatedWorkers()
{
    reset();
}

auto DelegatedWorkers::start(const WorkerReport &worker, std::uint64_t token,
                             const steward_action::StartRun &order, Reply reply) -> void
{
    if (const auto name = route(worker)) {
        delegate(*name, delegated(worker, token, order),
                 [reply = std::move(reply)](const OrderReply &it, auto) { reply(it); });
    } else {
        m_context.workers.start(worker, token, order, std::move(reply));
    }
}

auto DelegatedWorkers::stop(const WorkerReport &worker, std::uint64_t token,
                            const steward_action::StopRun &order, Reply reply) -> void
{
    if (const auto name = route(worker)) {
        delegate(*name, delegated(worker, token, order),
                 [reply = std::move(reply)](const OrderReply &it, auto) { reply(it); });
    } else {
        m_context.workers.stop(worker, token, order, std::move(reply));
    }
}

auto DelegatedWorkers::setRunSpeed(const WorkerReport &worker, std::uint64_t token,
                                   const steward_action::SetRunSpeed &order, Reply reply) -> void
{
    if (const auto name = route(worker)) {
        delegate(*name, delegated(worker, token, order),
                 [reply = std::move(reply)](const OrderReply &it, auto) { reply(it); });
    } else {
        m_context.workers.setRunSpeed(worker, token, order, std::move(reply));
    }
}

auto DelegatedWorkers::poll(const WorkerReport &worker, std::uint64_t token,
                            const steward_action::PollWorker &order, PollReply reply) -> void
{
    if (const auto name = route(worker)) {
        delegate(*name, delegated(worker, token, order), std::move(reply));
    } else {
        m_context.workers.poll(worker, token, order, std::move(reply));
    }
}

auto DelegatedWorkers::route(const WorkerReport &worker) const -> std::optional<MemberName>
{
    return m_table.delegateOf(worker.name, worker.dataCentre, BootClock::now());
}

auto DelegatedWorkers::delegate(const MemberName &name, DelegatedOrder order, PollReply reply)
    -> void
{
    order.id = ++m_lastId;
    m_channels[name].orders.push_back(order.id);
    m_pending.emplace(m_lastId,
                      PendingOrder{std::move(order), std::move(reply), name, false,
                                   BootClock::now() + MaxWaitForReport});
    if (!m_flushTimer.isActive())
        m_flushTimer.start(BatchDelay);
}

/// Whether this member still holds the key, since orders wait here.
auto DelegatedWorkers::maySend(const DelegatedOrder &order) const -> bool
{
    const auto now = BootClock::now();
    const auto isStart = order.kind == static_cast<std::uint8_t>(DelegatedOrder::Kind::Start);
    return isStart ? m_stewardship.mayOrder(now) : m_stewardship.mayRenewRuns(now);
}

auto DelegatedWorkers::sendDirectly(const PendingOrder &pending) -> void
{
    if (maySend(pending.order)) {
        sendOrder(m_context.workers, pending.order, pending.reply);
    } else {
        pending.reply({OrderOutcome::Unanswered, 0}, std::nullopt);
    }
}

auto DelegatedWorkers::giveUp(PendingOrder &&pending) -> void
{
    const auto order = std::move(pending);
    if (!order.isSent || isRepeatable(order.order)) {
        sendDirectly(order);
    } else {
        order.reply({OrderOutcome::Unanswered, 0}, std::nullopt);
    }
}

auto DelegatedWorkers::flush() -> void
{
    const auto now = BootClock::now();
    for (auto &[name, channel] : m_channels) {
        if (!channel.orders.empty())
            flush(channel, now);
    }
}

auto DelegatedWorkers::flush(Channel &channel, BootTime now) -> void
{
    if (!channel.heldReport)
        return;
    auto orders = std::vector<DelegatedOrder>();
    for (const auto id : std::exchange(channel.orders, {})) {
        const auto it = m_pending.find(id);
        if (it == m_pending.end())
            continue;
        auto &pending = it->second;
        if (!maySend(pending.order))
            continue; // answered as the order's time is over
        pending.isSent = true;
        pending.dueAt = now + OrderTimeout + milliseconds(pending.order.waitMilliseconds);
        orders.push_back(pending.order);
    }
    channel.answeredAt = now;
    auto responder = std::move(*channel.heldReport);
    channel.heldReport.reset();
    responder.answer(encodeOrders(std::move(orders)));
}

auto DelegatedWorkers::receiveReport(const HttpRequest &request, HttpResponder responder) -> void
{
    auto report = unpackRecord<DelegateReport>(request.body);
    if (!report) {
        m_context.log.warning("event=delegate-report-unreadable bytes={}", request.body.size());
        responder.answer({400, {}, {}});
        return;
    }
    if (!m_stewardship.token()) {
        responder.answer({200, {}, packRecord(DelegateOrders())});
        return;
    }
    const auto name = MemberName(report->delegate);
    auto &channel = m_channels[name];
    channel.reportedAt = BootClock::now();
    if (channel.heldReport)
        flush(channel, channel.reportedAt);
    responder.onClientDisconnected([self = QPointer(this), name] {
        if (self)
            self->lose(name, "disconnected");
    });
    channel.heldReport = std::move(responder);
    decide(delegate_event::Reported{name, DataCentreName(report->dataCentre),
                                    report->processorShare, report->load});
    const auto hasOrders = !channel.orders.empty();
    for (auto &it : report->replies)
        receiveReply(std::move(it));
    if (report->isLeaving) {
        lose(name, "leaving");
    } else if (hasOrders && !m_flushTimer.isActive()) {
        m_flushTimer.start(0);
    }
}

auto DelegatedWorkers::receiveReply(DelegatedReply &&reply) -> void
{
    const auto it = m_pending.find(reply.id);
    if (it == m_pending.end())
        return; // given up, or of an earlier term
    const auto pending = std::move(it->second);
    m_pending.erase(it);
    const auto [result, poll] = decodeReply(std::move(reply), pending.order.worker);
    const auto isUnanswered =
        result.outcome == OrderOutcome::NotSent || result.outcome == OrderOutcome::Unanswered;
    if (isUnanswered)
        decide(delegate_event::WorkerUnanswered{WorkerName(pending.order.worker)});
    // Only the steward's own call shows that a worker can't be reached.
    if (result.outcome == OrderOutcome::NotSent) {
        sendDirectly(pending);
    } else {
        pending.reply(result, poll);
    }
}

auto DelegatedWorkers::lose(const MemberName &name, std::string_view reason) -> void
{
    // Taken out first: a held report that is destroyed unanswered calls this function again.
    auto node = m_channels.extract(name);
    if (node.empty())
        return;
    if (node.mapped().heldReport)
        node.mapped().heldReport->answer(encodeOrders({}));
    decide(delegate_event::Lost{name});
    auto orders = std::vector<PendingOrder>();
    std::erase_if(m_pending, [&](auto &it) {
        const auto isLost = it.second.delegate == name;
        if (isLost)
            orders.push_back(std::move(it.second));
        return isLost;
    });
    if (!orders.empty()) {
        m_context.log.info("event=delegate-lost delegate={} reason={} orders={}", name.value(),
                           reason, orders.size());
    }
    for (auto &it : orders)
        giveUp(std::move(it));
}

auto DelegatedWorkers::closeIdle(BootTime now) -> void
{
    m_context.workers.closeIdle(now);
    auto silent = std::vector<MemberName>();
    for (auto &[name, channel] : m_channels) {
        const auto isUsed = m_table.isSpreading() && m_table.isSelected(name);
        const auto interval = isUsed ? DelegateTable::ReportInterval : UnusedReportInterval;
        const auto timeout = isUsed ? DelegateTable::ReportTimeout : UnusedReportTimeout;
        if (channel.heldReport && now >= channel.reportedAt + interval)
            flush(channel, now);
        if (!channel.heldReport && now >= channel.answeredAt + timeout)
            silent.push_back(name);
    }
    for (const auto &it : silent)
        lose(it, "silent");
    auto late = std::vector<PendingOrder>();
    std::erase_if(m_pending, [&](auto &it) {
        const auto isLate = it.second.dueAt <= now;
        if (isLate)
            late.push_back(std::move(it.second));
        return isLate;
    });
    for (auto &it : late) {
        decide(delegate_event::WorkerUnanswered{WorkerName(it.order.worker)});
        giveUp(std::move(it));
    }
}

auto DelegatedWorkers::loadMeasured(double load) -> void
{
    decide(delegate_event::LoadMeasured{load});
}

auto DelegatedWorkers::reset() -> void
{
    m_flushTimer.stop();
    m_pending.clear();
    m_table = DelegateTable();
    for (auto &[name, channel] : std::exchange(m_channels, {})) {
        if (channel.heldReport)
            channel.heldReport->answer({200, {}, packRecord(DelegateOrders())});
    }
}

auto DelegatedWorkers::decide(const DelegateEvent &event) -> void
{
    for (const auto &action : m_table.step(event, BootClock::now())) {
        const auto &it = std::get<delegate_action::ReportSpreading>(action);
        m_context.log.info("event=calls-spread active={} load={:.2f} delegates={}", it.isActive,
                           it.load, it.delegates);
    }
}

} // namespace shallotproxy
