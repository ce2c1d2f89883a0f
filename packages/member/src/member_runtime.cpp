#include "shallotproxy/member/member_runtime.hpp"

namespace shallotproxy {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds DeclarationWatchWait{1'000}; // a quarter of the default freshness period
constexpr milliseconds LogFlushInterval{250};
constexpr milliseconds DrainCheckInterval{100};
// The load balancer checks readiness once a second and stops sending calls after two failures.
constexpr milliseconds MinDrainTime{3'000};
// This much of the shutdown grace period is left for sending the last responses.
constexpr milliseconds DrainMargin{1'000};

} // namespace

MemberRuntime::MemberRuntime(RuntimeContext &context)
    : m_context(context)
    , m_steward(context, this)
    , m_callerDuty(context, m_steward, this)
    , m_delegate(context, m_steward, this)
{
    m_flushTimer.setInterval(LogFlushInterval);
    connect(&m_flushTimer, &QTimer::timeout, this, [this] { m_context.log.flush(); });
}

MemberRuntime::~MemberRuntime() = default;

auto MemberRuntime::start() -> Expected<void, ListenError>
{
    if (auto listenResult = m_callerDuty.listen(); !listenResult)
        return listenResult;
    m_context.log.info("event=member-starts callers={} inner={}",
                       m_context.settings.callersEndpoint, m_context.settings.peerEndpoint);
    auto handlers = RecordWatch::Handlers();
    handlers.reset = [this](const auto &records) { resetDeclarations(records); };
    handlers.changed = [this](const auto &record) {
        applyDeclaration(record);
        m_steward.declarationsChanged();
    };
    handlers.confirmed = [this](BootTime at) { m_context.fleet.declarationCache.confirmed(at); };
    handlers.reachabilityChanged = [this](bool isReachable) {
        if (isReachable) {
            m_context.log.info("event=store-regained");
        } else {
            m_context.log.warning("event=store-lost");
        }
    };
    m_declarations =
        std::make_unique<RecordWatch>(m_context.store, m_context.recordCodec.declarationsPrefix(),
                                      DeclarationWatchWait, handlers, this);
    m_declarations->start();
    m_steward.start();
    m_delegate.start();
    m_flushTimer.start();
    return {};
}

auto MemberRuntime::resetDeclarations(const std::vector<VersionedRecord> &records) -> void
{
    m_context.fleet.closedByKey.clear();
    m_context.fleet.wavesByKey.clear();
    for (const auto &record : records)
        applyDeclaration(record);
    m_steward.declarationsChanged();
}

auto MemberRuntime::applyDeclaration(const VersionedRecord &record) -> void
{
    auto &fleet = m_context.fleet;
    fleet.closedByKey.erase(record.key);
    fleet.wavesByKey.erase(record.key);
    if (record.isDeleted) {
        m_context.log.info("event=declaration-withdrawn key={}", record.key);
        return;
    }
    auto declaration = m_context.recordCodec.decodeDeclaration(record);
    if (!declaration) {
        m_context.log.warning("event=record-unreadable key={} error=\"{}\"", record.key,
                              declaration.error().message());
        return;
    }
    if (auto *newest = std::get_if<FleetDeclaration>(&*declaration)) {
        const auto version = newest->version;
        const auto isAccepted = fleet.declarationCache.update(
            std::make_shared<const FleetDeclaration>(std::move(*newest)));
        m_context.log.info("event=configuration-read version={} taken={}", version, isAccepted);
    } else if (const auto *closed = std::get_if<ClosedDataCentre>(&*declaration)) {
        m_context.log.info("event=data-centre-closed data-centre={}", closed->dataCentre.value());
        fleet.closedByKey[record.key] = closed->dataCentre;
    } else if (auto *wave = std::get_if<UpkeepWave>(&*declaration)) {
        fleet.wavesByKey[record.key] = std::move(*wave);
    }
}

auto MemberRuntime::drain(std::function<void()> finished) -> void
{
    if (m_drainTimer.isActive())
        return;
    m_context.log.info("event=member-drains open-calls={}", m_callerDuty.openCalls());
    m_drainStartedAt = BootClock::now();
    m_callerDuty.drain();
    m_steward.resign();
    m_delegate.drain();
    connect(&m_drainTimer, &QTimer::timeout, this, [this, finished = std::move(finished)] {
        const auto elapsed = BootClock::now() - m_drainStartedAt;
        const auto isIdle = elapsed >= MinDrainTime && m_callerDuty.openCalls() == 0;
        if (!isIdle && elapsed < m_context.settings.shutdownGracePeriod - DrainMargin)
            return;
        m_drainTimer.stop();
        m_context.log.info("event=member-stops open-calls={}", m_callerDuty.openCalls());
        m_context.log.flush();
        finished();
    });
    m_drainTimer.start(DrainCheckInterval);
}

} // namespace shallotproxy
