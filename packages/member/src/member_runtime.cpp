#include "shallotproxy/member/member_runtime.hpp"

namespace shallotproxy {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds DeclarationWait{1'000}; // freshness is a quarter of what is allowed
constexpr milliseconds FlushInterval{250}; // of the log
constexpr milliseconds DrainCheckInterval{100};
// The balancer asks once a second and turns away after two misses; calls come until then.
constexpr milliseconds LeastDrainTime{3'000};
constexpr milliseconds DrainMargin{1'000}; // of the grace, for the last answers to leave

} // namespace

MemberRuntime::MemberRuntime(RuntimeContext &context)
    : m_context(context)
    , m_steward(context, this)
    , m_callers(context, m_steward, this)
{
    m_flushTimer.setInterval(FlushInterval);
    connect(&m_flushTimer, &QTimer::timeout, this, [this] { m_context.log.flush(); });
}

MemberRuntime::~MemberRuntime() = default;

auto MemberRuntime::start() -> Expected<void, ListenError>
{
    if (auto listening = m_callers.listen(); !listening)
        return listening;
    m_context.log.info("event=member-starts callers={} inner={}",
                       m_context.settings.callersEndpoint, m_context.settings.innerEndpoint);
    auto handlers = RecordWatch::Handlers();
    handlers.reset = [this](const auto &records) { resetDeclarations(records); };
    handlers.changed = [this](const auto &record) {
        takeDeclaration(record);
        m_steward.declarationsChanged();
    };
    handlers.confirmed = [this](BootTime at) { m_context.fleet.board.confirmed(at); };
    handlers.reached = [this](bool isReached) {
        if (isReached) {
            m_context.log.info("event=store-regained");
        } else {
            m_context.log.warning("event=store-lost");
        }
    };
    m_declarations = std::make_unique<RecordWatch>(
        m_context.store, m_context.records.declarationsPrefix(), DeclarationWait, handlers, this);
    m_declarations->start();
    m_steward.start();
    m_flushTimer.start();
    return {};
}

auto MemberRuntime::resetDeclarations(const std::vector<VersionedRecord> &records) -> void
{
    m_context.fleet.closedByKey.clear();
    m_context.fleet.wavesByKey.clear();
    for (const auto &record : records)
        takeDeclaration(record);
    m_steward.declarationsChanged();
}

auto MemberRuntime::takeDeclaration(const VersionedRecord &record) -> void
{
    auto &fleet = m_context.fleet;
    fleet.closedByKey.erase(record.key);
    fleet.wavesByKey.erase(record.key);
    if (record.isDeleted) {
        m_context.log.info("event=declaration-withdrawn key={}", record.key);
        return;
    }
    auto declaration = m_context.records.decodeDeclaration(record);
    if (!declaration) {
        m_context.log.warning("event=record-unreadable key={} error=\"{}\"", record.key,
                              declaration.error().message());
        return;
    }
    if (auto *newest = std::get_if<FleetDeclaration>(&*declaration)) {
        const auto version = newest->version;
        const auto isTaken =
            fleet.board.declared(std::make_shared<const FleetDeclaration>(std::move(*newest)));
        m_context.log.info("event=configuration-read version={} taken={}", version, isTaken);
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
    m_context.log.info("event=member-drains open-calls={}", m_callers.openCalls());
    m_drainedAt = BootClock::now();
    m_callers.drain();
    m_steward.leave();
    connect(&m_drainTimer, &QTimer::timeout, this, [this, finished = std::move(finished)] {
        const auto elapsed = BootClock::now() - m_drainedAt;
        const auto isIdle = elapsed >= LeastDrainTime && m_callers.openCalls() == 0;
        if (!isIdle && elapsed < m_context.settings.grace - DrainMargin)
            return;
        m_drainTimer.stop();
        m_context.log.info("event=member-stops open-calls={}", m_callers.openCalls());
        m_context.log.flush();
        finished();
    });
    m_drainTimer.start(DrainCheckInterval);
}

} // namespace shallotproxy
