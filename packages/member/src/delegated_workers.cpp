#include <QPointer>
#include <QRandomGenerator>

#include "delegate_messages.hpp"
#include "shallotproxy/member/delegated_workers.hpp"
#include "shallotproxy/member/member_pacing.hpp"

namespace shallotproxy {

namespace {

using std::chrono::milliseconds;

// Groups orders, so that an exchange with a delegate serves many of them.
constexpr milliseconds BatchDelay{10};
// An order that waits this long for a report of its delegate is sent directly.
constexpr milliseconds MaxWaitForReport{200};
// Longer than the time in which a delegate gives up an order, besides the wait of a poll.
constexpr milliseconds OrderTimeout{900};
// A start that is older isn't sent any more: its worker may be draining by now, or its job
// cancelled.
constexpr milliseconds MaxStartAge{500};
// A check that is later than this shows that the steward was late, not the delegates.
constexpr milliseconds MaxCheckInterval{300};
// Members that get no calls report rarely.
constexpr milliseconds UnusedReportInterval{1'000};
constexpr milliseconds UnusedReportTimeout{3'000};

auto encodeOrders(DelegateOrders orders) -> HttpResponse
{
    orders.isSteward = true;
    return {200, {}, packRecord(orders)};
}

} // namespace

struct DelegatedWorkers::PendingOrder
{
    DelegatedOrder order;
    PollReply reply;
    MemberName delegate;
    bool isSent = false;
    BootTime orderedAt;
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
    /// How long the member was told to wait before it reports again.
    milliseconds pause{};
    milliseconds nextPause{};
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
    const auto now = BootClock::now();
    order.id = ++m_lastId;
    m_channels[name].orders.push_back(order.id);
    m_pending.emplace(
        m_lastId,
        PendingOrder{std::move(order), std::move(reply), name, false, now, now + MaxWaitForReport});
    if (!m_flushTimer.isActive())
        m_flushTimer.start(BatchDelay);
}

/// Checks again what was checked when the order was made, since orders wait here.
auto DelegatedWorkers::maySend(const PendingOrder &pending) const -> bool
{
    const auto now = BootClock::now();
    const auto isStart =
        pending.order.kind == static_cast<std::uint8_t>(DelegatedOrder::Kind::Start);
    if (!isStart)
        return m_stewardship.mayRenewRuns(now);
    return m_stewardship.mayOrder(now) && now < pending.orderedAt + MaxStartAge;
}

/// Sends an order that hasn't been sent, or that may be sent twice.
auto DelegatedWorkers::sendDirectly(const PendingOrder &pending) -> void
{
    if (maySend(pending)) {
        sendOrder(m_context.workers, pending.order, pending.reply);
    } else if (isRepeatable(pending.order)) {
        pending.reply({OrderOutcome::Unanswered, 0, ContactLoss::Unknown}, std::nullopt);
    } else {
        pending.reply({OrderOutcome::NotSent, 0, ContactLoss::Unknown}, std::nullopt);
    }
}

auto DelegatedWorkers::giveUp(const PendingOrder &pending) -> void
{
    if (!pending.isSent || isRepeatable(pending.order)) {
        sendDirectly(pending);
    } else {
        pending.reply({OrderOutcome::Unanswered, 0, ContactLoss::Unknown}, std::nullopt);
    }
}

/// Removes the orders that match and returns them. Their replies may lead to new orders.
template <typename Predicate>
auto DelegatedWorkers::takeOrders(Predicate matches) -> std::vector<PendingOrder>
{
    auto orders = std::vector<PendingOrder>();
    std::erase_if(m_pending, [&](auto &it) {
        const auto isTaken = matches(it.second);
        if (isTaken)
            orders.push_back(std::move(it.second));
        return isTaken;
    });
    return orders;
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
    auto message = DelegateOrders();
    auto bytes = std::size_t{0};
    auto next = channel.orders.begin();
    for (; next != channel.orders.end() && bytes < MaxBatchBytes; ++next) {
        const auto it = m_pending.find(*next);
        if (it == m_pending.end())
            continue;
        auto &pending = it->second;
        if (!maySend(pending))
            continue; // answered as the order's time is over
        pending.isSent = true;
        pending.dueAt = now + OrderTimeout + milliseconds(pending.order.waitMilliseconds);
        bytes += encodedSize(pending.order);
        message.orders.push_back(pending.order);
    }
    channel.orders.erase(channel.orders.begin(), next);
    if (!channel.orders.empty() && !m_flushTimer.isActive())
        m_flushTimer.start(BatchDelay);
    using std::chrono::duration_cast;
    message.heldMilliseconds = duration_cast<milliseconds>(now - channel.reportedAt).count();
    message.startsAllowedMilliseconds =
        duration_cast<milliseconds>(m_stewardship.orderTimeLeft(now)).count();
    message.members = static_cast<std::uint32_t>(memberCount());
    message.pauseMilliseconds = std::exchange(channel.nextPause, milliseconds(0)).count();
    channel.pause = milliseconds(message.pauseMilliseconds);
    channel.answeredAt = now;
    auto responder = std::move(*channel.heldReport);
    channel.heldReport.reset();
    responder.answer(encodeOrders(std::move(message)));
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
    const auto now = BootClock::now();
    if (channel.heldReport)
        flush(channel, now);
    channel.reportedAt = now;
    responder.onClientDisconnected([self = QPointer(this), name] {
        if (self)
            self->lose(name, "disconnected");
    });
    channel.heldReport = std::move(responder);
    if (report->isLeaving) {
        leave(name);
    } else {
        decide(delegate_event::Reported{name, DataCentreName(report->dataCentre),
                                        report->processorShare, report->load});
        if (!channel.orders.empty() && !m_flushTimer.isActive())
            m_flushTimer.start(0);
    }
    // Last, as a reply may end the term.
    for (auto &it : report->replies)
        receiveReply(name, std::move(it));
}

auto DelegatedWorkers::receiveReply(const MemberName &name, DelegatedReply &&reply) -> void
{
    const auto it = m_pending.find(reply.id);
    if (it == m_pending.end() || it->second.delegate != name)
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
        node.mapped().heldReport->answer(encodeOrders(DelegateOrders()));
    decide(delegate_event::Lost{name});
    const auto orders = takeOrders([&name](const auto &it) { return it.delegate == name; });
    if (!orders.empty()) {
        m_context.log.info("event=delegate-lost delegate={} reason={} orders={}", name.value(),
                           reason, orders.size());
    }
    for (const auto &it : orders)
        giveUp(it);
}

/// Gives the member no more orders; it still brings the replies to those that it has.
auto DelegatedWorkers::leave(const MemberName &name) -> void
{
    decide(delegate_event::Lost{name});
    const auto orders =
        takeOrders([&name](const auto &it) { return it.delegate == name && !it.isSent; });
    m_context.log.info("event=delegate-leaves delegate={} orders={}", name.value(), orders.size());
    for (const auto &it : orders)
        sendDirectly(it);
}

auto DelegatedWorkers::closeIdle(BootTime now) -> void
{
    m_context.workers.closeIdle(now);
    const auto last = std::exchange(m_checkedAt, now);
    // What has arrived meanwhile isn't read yet. A steward that is late each time checks all the
    // same, so that no order stays without an answer.
    m_context.fleet.memberCount = memberCount();
    m_isCheckSkipped = now >= last + MaxCheckInterval && !m_isCheckSkipped;
    if (m_isCheckSkipped)
        return;
    auto silent = std::vector<MemberName>();
    for (auto &[name, channel] : m_channels) {
        const auto isUsed = m_table.isSpreading() && m_table.isSelected(name);
        const auto interval = isUsed ? DelegateTable::ReportInterval : UnusedReportInterval;
        const auto timeout = isUsed ? DelegateTable::ReportTimeout : UnusedReportTimeout;
        if (channel.heldReport && now >= channel.reportedAt + interval) {
            const auto isNeeded =
                m_table.isSelected(name) || m_table.isReserve(name) || !channel.orders.empty();
            channel.nextPause =
                isNeeded ? milliseconds(0) : MemberPacing::reportPause(memberCount());
            flush(channel, now);
        }
        if (!channel.heldReport && now >= channel.answeredAt + timeout + channel.pause)
            silent.push_back(name);
    }
    for (const auto &it : silent)
        lose(it, "silent");
    // A poll that has no answer is made anew by the steward, with a new lease.
    for (const auto &it : takeOrders([now](const auto &entry) { return entry.dueAt <= now; })) {
        decide(delegate_event::WorkerUnanswered{WorkerName(it.order.worker)});
        if (it.isSent) {
            it.reply({OrderOutcome::Unanswered, 0, ContactLoss::Unknown}, std::nullopt);
        } else {
            sendDirectly(it);
        }
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
    m_lastId = QRandomGenerator::global()->generate64();
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
