#include <algorithm>

#include <QPointer>

#include "delegate_messages.hpp"
#include "shallotproxy/member/delegate_duty.hpp"

namespace shallotproxy {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds TickInterval{100};
// Groups the replies of workers, most of which answer in 5 ms.
constexpr milliseconds ReplyDelay{8};
constexpr milliseconds RetryDelay{300}; // after a report that failed or wasn't taken
// Longer than the steward holds a report back.
constexpr int ReportTimeoutMilliseconds = 2'500;
// One report waits for orders while another one brings replies.
constexpr std::size_t MaxOpenReports = 2;
// Orders that were longer on their way aren't sent: the steward may have given them up.
constexpr milliseconds MaxTransitTime{500};
constexpr double LoadSmoothing = 0.3; // weight of the newest measurement

auto stewardBounds() -> HttpBounds
{
    auto bounds = HttpBounds();
    bounds.connectTimeoutMilliseconds = static_cast<int>(RetryDelay.count());
    return bounds;
}

} // namespace

DelegateDuty::DelegateDuty(RuntimeContext &context, const StewardDuty &steward, QObject *parent)
    : QObject(parent)
    , m_context(context)
    , m_steward(steward)
    , m_client(stewardBounds())
    , m_processorLoad(context.settings.processorShare)
{
    m_tickTimer.setInterval(TickInterval);
    connect(&m_tickTimer, &QTimer::timeout, this, [this] { tick(); });
    m_reportTimer.setSingleShot(true);
    m_reportTimer.setTimerType(Qt::PreciseTimer);
    connect(&m_reportTimer, &QTimer::timeout, this, [this] { reportIfDue(); });
}

DelegateDuty::~DelegateDuty() = default;

auto DelegateDuty::start() -> void
{
    m_tickTimer.start();
}

auto DelegateDuty::drain() -> void
{
    m_isDraining = true;
    if (hasSteward())
        report();
}

auto DelegateDuty::tick() -> void
{
    const auto now = BootClock::now();
    m_load += LoadSmoothing * (m_processorLoad.measure(now) - m_load);
    const auto &holder = m_steward.holderAddress();
    if (holder != m_stewardAddress) {
        m_stewardAddress = holder;
        m_replies.clear(); // only the steward that gave the orders waits for them
        m_openReports = 0;
        ++m_generation;
        m_nextReportAt = now;
        m_pausedUntil = now;
    }
    if (m_steward.stewardship().token())
        return; // the steward's own calls use the same connections
    m_context.workers.closeIdle(now);
    m_client.closeIdle(now);
    reportIfDue();
}

auto DelegateDuty::hasSteward() const -> bool
{
    return !m_stewardAddress.empty() && m_stewardAddress != m_context.settings.peerEndpoint;
}

auto DelegateDuty::reportIfDue() -> void
{
    const auto now = BootClock::now();
    if (!hasSteward() || m_openReports >= MaxOpenReports || now < m_nextReportAt)
        return;
    const auto isFree = m_openReports == 0 && !m_isDraining && now >= m_pausedUntil;
    if (!m_replies.empty() || isFree)
        report();
}

auto DelegateDuty::report() -> void
{
    auto message = DelegateReport();
    message.delegate = m_context.settings.peerEndpoint;
    message.dataCentre = m_context.settings.dataCentre.value();
    message.processorShare = m_context.settings.processorShare;
    message.load = m_load;
    message.isLeaving = m_isDraining;
    auto bytes = std::size_t{0};
    auto next = m_replies.begin();
    for (; next != m_replies.end() && bytes < MaxBatchBytes; ++next) {
        bytes += encodedSize(*next);
        message.replies.push_back(std::move(*next));
    }
    m_replies.erase(m_replies.begin(), next);
    auto request = HttpRequest();
    request.method = "POST";
    request.path = DelegatePath;
    request.body = packRecord(message);
    ++m_openReports;
    m_client.send(m_stewardAddress, request, ReportTimeoutMilliseconds,
                  [self = QPointer(this), generation = m_generation, at = BootClock::now(),
                   replies = std::move(message.replies)](const TargetReply &reply) mutable {
                      if (!self || generation != self->m_generation)
                          return;
                      --self->m_openReports;
                      // The steward may not have received them; it ignores those that it has.
                      if (!reply)
                          std::ranges::move(replies, std::back_inserter(self->m_replies));
                      self->receiveOrders(reply, at);
                  });
}

auto DelegateDuty::receiveOrders(const TargetReply &reply, BootTime reportedAt) -> void
{
    const auto now = BootClock::now();
    const auto orders =
        reply && reply->status == 200 ? unpackRecord<DelegateOrders>(reply->body) : std::nullopt;
    if (!orders || !orders->isSteward) {
        m_nextReportAt = now + RetryDelay;
        return;
    }
    if (orders->members > 0)
        m_context.fleet.memberCount = orders->members;
    m_pausedUntil = now + milliseconds(orders->pauseMilliseconds);
    // Measured without the steward's clock: the report was on its way for a part of the time.
    const auto transit = now - reportedAt - milliseconds(orders->heldMilliseconds);
    const auto isLate = transit >= MaxTransitTime;
    const auto mayStart = transit < milliseconds(orders->startsAllowedMilliseconds);
    if (isLate && !orders->orders.empty()) {
        m_context.log.warning("event=delegated-orders-late orders={} ms={}", orders->orders.size(),
                              std::chrono::duration_cast<milliseconds>(transit).count());
    }
    for (const auto &it : orders->orders) {
        const auto isStart = it.kind == static_cast<std::uint8_t>(DelegatedOrder::Kind::Start);
        perform(it, !m_isDraining && !isLate && (mayStart || !isStart));
    }
    if (!m_reportTimer.isActive())
        m_reportTimer.start(orders->orders.empty() ? milliseconds(0) : ReplyDelay);
}

auto DelegateDuty::perform(const DelegatedOrder &order, bool maySend) -> void
{
    const auto notSent = OrderReply{OrderOutcome::NotSent, 0, ContactLoss::Unknown};
    if (!maySend) {
        addReply(encodeReply(order.id, notSent, std::nullopt));
        return;
    }
    m_context.metrics.count("shallotproxy_delegated_orders_total");
    const auto isSent = sendOrder(
        m_context.workers, order,
        [self = QPointer(this), id = order.id, generation = m_generation](
            const OrderReply &reply, const std::optional<steward_event::WorkerPolled> &poll) {
            if (self && generation == self->m_generation)
                self->addReply(encodeReply(id, reply, poll));
        });
    if (!isSent)
        addReply(encodeReply(order.id, notSent, std::nullopt));
}

auto DelegateDuty::addReply(DelegatedReply reply) -> void
{
    m_replies.push_back(std::move(reply));
    if (!m_reportTimer.isActive())
        m_reportTimer.start(ReplyDelay);
}

} // namespace shallotproxy
