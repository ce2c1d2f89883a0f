#include <QPointer>
#include <QRandomGenerator>

#include "host_duty.hpp"
#include "shallotproxy/member/member_pacing.hpp"
#include "shallotproxy/member/steward_duty.hpp"
#include "store_keys.hpp"

namespace shallotproxy {

namespace {

using std::chrono::milliseconds;

// Ended jobs are removed faster than a large fleet accepts new ones, 80 a second.
constexpr milliseconds CleanupInterval{200};
// The watch on the steward's key waits this long, so a connection lost unnoticed shows soon.
constexpr milliseconds HolderWatchWait{3'000};
// A tick that is later than this is reported: answers of workers and changes in the store wait too.
constexpr milliseconds MaxTickDelay{500};
// Above this load the steward's queues are reported, once in each interval.
constexpr double BusyLoad = 0.8;
constexpr milliseconds LoadReportInterval{1'000};
constexpr milliseconds PlacementDelay{5}; // one placement serves replies that arrive together
constexpr milliseconds FreshnessRetryDelay{50}; // the check makes no call
constexpr milliseconds CampaignRetryDelay{250}; // after a campaign that failed
// An unanswered claim may still be applied; the key is read after this delay.
constexpr milliseconds ClaimCheckDelay{100};

auto identityOf(const RuntimeSettings &settings) -> std::string
{
    // The address comes first: other members read the value up to the first space.
    return settings.peerEndpoint + ' ' + settings.member + ' ' + randomHex(8);
}

} // namespace

StewardDuty::StewardDuty(RuntimeContext &context, QObject *parent)
    : QObject(parent)
    , m_context(context)
    , m_identity(identityOf(context.settings))
    , m_workers(context, m_stewardship, this)
    , m_processorLoad(context.settings.processorShare)
{
    m_renewTimer.setInterval(Stewardship::RenewInterval);
    m_tickTimer.setInterval(StewardSettings().tickInterval);
    m_writeTimer.setSingleShot(true);
    m_placeTimer.setSingleShot(true);
    connect(&m_placeTimer, &QTimer::timeout, this,
            [this] { dispatch(steward_event::PlacementDue()); });
    connect(&m_renewTimer, &QTimer::timeout, this, [this] { renew(); });
    connect(&m_tickTimer, &QTimer::timeout, this, [this] { tick(); });
    connect(&m_writeTimer, &QTimer::timeout, this, [this] { writeProgress(); });
}

StewardDuty::~StewardDuty() = default;

auto StewardDuty::start() -> void
{
    watchStewardRecords();
}

auto StewardDuty::watchStewardRecords() -> void
{
    auto handlers = RecordWatch::Handlers();
    handlers.reset = [this](const auto &records) {
        const auto find = [&records](std::string_view key) -> const VersionedRecord * {
            const auto it = std::ranges::find(records, key, &VersionedRecord::key);
            return it == records.end() ? nullptr : &*it;
        };
        outlookChanged(find(store_keys::Outlook));
        holderChanged(find(store_keys::Steward));
    };
    handlers.changed = [this](const auto &record) {
        const auto *current = record.isDeleted ? nullptr : &record;
        if (record.key == store_keys::Steward) {
            holderChanged(current);
        } else if (record.key == store_keys::Outlook) {
            outlookChanged(current);
        }
    };
    m_holderWatch = std::make_unique<RecordWatch>(
        m_context.store, std::string(store_keys::StewardPrefix), HolderWatchWait, handlers, this);
    m_holderWatch->start();
}

auto StewardDuty::resign() -> void
{
    m_hasResigned = true;
    if (m_lease != 0)
        m_context.store.revokeLease(m_lease);
    if (m_stewardship.token())
        stepDown("shutdown");
}

auto StewardDuty::steward() -> Steward *
{
    return m_steward.get();
}

auto StewardDuty::holderChanged(const VersionedRecord *record) -> void
{
    const auto isOwnKey = record != nullptr && record->value == m_identity;
    m_holderAddress =
        record == nullptr ? std::string() : record->value.substr(0, record->value.find(' '));
    if (m_stewardship.token() && !isOwnKey)
        stepDown("key-gone");
    // The key still exists although this member has stepped down: it only blocks other members.
    if (isOwnKey && !m_stewardship.token() && !m_isCampaigning && m_previousLease != 0)
        m_context.store.revokeLease(m_previousLease);
    if (record != nullptr || m_hasResigned || m_isCampaigning)
        return;
    m_isCampaigning = true;
    campaignLater();
}

/// Starts a campaign after a delay. The delay is shorter for members with more processor time, as
/// the steward does most of the work.
auto StewardDuty::campaignLater() -> void
{
    const auto spread = MemberPacing::campaignSpread(m_context.fleet.memberCount);
    const auto jitter = static_cast<int>(spread.count());
    const auto delay = Stewardship::campaignDelay(m_context.settings.processorShare)
        + milliseconds(QRandomGenerator::global()->bounded(jitter));
    QTimer::singleShot(delay, this, [this] { campaign(); });
}

auto StewardDuty::campaign() -> void
{
    const auto shouldCampaign = m_holderAddress.empty() && !m_hasResigned && !m_stewardship.token();
    if (!shouldCampaign) {
        m_isCampaigning = false;
        return;
    }
    const auto retry = [this] {
        QTimer::singleShot(CampaignRetryDelay, this, [this] { campaign(); });
    };
    if (!m_context.fleet.declarationCache.isFresh(BootClock::now())) {
        m_wasNotFresh = true;
        QTimer::singleShot(FreshnessRetryDelay, this, [this] { campaign(); });
        return;
    }
    // All members' configurations become fresh at the same moment: the delay spreads their
    // campaigns.
    if (std::exchange(m_wasNotFresh, false)) {
        campaignLater();
        return;
    }
    const auto sentAt = BootClock::now();
    m_context.store.grantLease(Stewardship::LeaseTime,
                               [self = QPointer(this), sentAt, retry](auto reply) {
                                   if (!self)
                                       return;
                                   if (reply) {
                                       self->claim(reply->lease, sentAt);
                                   } else {
                                       retry();
                                   }
                               });
}

auto StewardDuty::claim(StoreLease lease, BootTime grantedAt) -> void
{
    auto commit = StoreCommit();
    commit.compares.push_back({std::string(store_keys::Steward), 0});
    commit.puts.push_back({std::string(store_keys::Steward), m_identity, lease});
    m_context.store.commit(commit, [self = QPointer(this), lease, grantedAt](auto reply) {
        if (!self)
            return;
        if (reply) {
            self->becomeSteward(*reply, lease, grantedAt);
            return;
        }
        if (reply.error().kind == StoreFailure::Kind::Unknown) {
            QTimer::singleShot(ClaimCheckDelay, self,
                               [self, lease, grantedAt] { self->checkClaim(lease, grantedAt); });
            return;
        }
        self->m_context.store.revokeLease(lease);
        QTimer::singleShot(CampaignRetryDelay, self, [self] { self->campaign(); });
    });
}

/// Reads the key after an unanswered claim to find out whether the claim was applied.
auto StewardDuty::checkClaim(StoreLease lease, BootTime grantedAt) -> void
{
    const auto key = std::string(store_keys::Steward);
    m_context.store.read(key, [self = QPointer(this), lease, grantedAt](auto reply) {
        if (!self)
            return;
        const auto isOwnKey =
            reply && !reply->records.empty() && reply->records.front().value == self->m_identity;
        if (isOwnKey) {
            self->becomeSteward(reply->records.front().creationRevision, lease, grantedAt);
            return;
        }
        self->m_context.store.revokeLease(lease);
        QTimer::singleShot(CampaignRetryDelay, self, [self] { self->campaign(); });
    });
}

auto StewardDuty::becomeSteward(std::uint64_t token, StoreLease lease, BootTime grantedAt) -> void
{
    m_isCampaigning = false;
    if (m_hasResigned) {
        m_context.store.revokeLease(lease);
        return;
    }
    m_lease = lease;
    m_holderAddress = m_context.settings.peerEndpoint;
    m_stewardship.acquired(token, grantedAt);
    ++m_term;
    m_context.log.info("event=steward-begins token={}", token);
    m_renewTimer.start();
    renew();
    load();
}

auto StewardDuty::renew() -> void
{
    const auto sentAt = BootClock::now();
    if (!m_stewardship.mayRenewRuns(sentAt)) {
        stepDown("lease-not-renewed");
        return;
    }
    m_context.store.renewLease(m_lease, ifSameTerm([this, sentAt](const auto &reply) {
                                   if (reply) {
                                       m_stewardship.renewed(sentAt);
                                   } else if (reply.error().kind
                                              == StoreFailure::Kind::LeaseExpired) {
                                       stepDown("lease-gone");
                                   }
                               }));
}

auto StewardDuty::stepDown(std::string_view reason) -> void
{
    if (!m_stewardship.token())
        return;
    m_context.log.info("event=steward-ends token={} reason={}", *m_stewardship.token(), reason);
    m_stewardship.lost();
    ++m_term;
    m_previousLease = std::exchange(m_lease, 0);
    m_renewTimer.stop();
    m_tickTimer.stop();
    m_writeTimer.stop();
    m_placeTimer.stop();
    m_events.clear();
    m_workers.reset();
    m_openStarts = 0;
    m_openPolls = 0;
    m_writer = {};
    m_outlookPublisher = {};
    m_isPublishing = false;
    // Destroyed from the event loop, because one of their functions may be on the call stack.
    for (auto *watch : {m_jobWatch.release(), m_workerWatch.release()}) {
        if (watch != nullptr)
            watch->deleteLater();
    }
    if (m_hosts)
        m_hosts.release()->deleteLater();
    auto old = std::shared_ptr<Steward>(std::move(m_steward));
    QTimer::singleShot(0, this, [old] {});
    if (m_holderAddress == m_context.settings.peerEndpoint)
        m_holderAddress.clear();
    if (!m_hasResigned && !m_isCampaigning) {
        m_isCampaigning = true;
        // The key may exist until its lease expires; the watch reports who holds it.
        QTimer::singleShot(CampaignRetryDelay, this, [this] { campaign(); });
    }
}

auto StewardDuty::workerReport(const WorkerName &name) const -> const WorkerReport *
{
    return m_steward ? m_steward->findReport(name) : nullptr;
}

auto StewardDuty::declarationsChanged() -> void
{
    const auto &declaration = m_context.fleet.declarationCache.current();
    if (!m_steward || !declaration)
        return;
    dispatch(steward_event::RulesChanged{
        std::shared_ptr<const SchedulingRules>(declaration, &declaration->rules)});
    dispatch(steward_event::DataCentresClosed{m_context.fleet.closedDataCentres()});
    if (m_hosts)
        m_hosts->declarationsChanged();
}

auto StewardDuty::fencedCommit() const -> StoreCommit
{
    auto commit = StoreCommit();
    commit.compares.push_back(
        {std::string(store_keys::Steward), static_cast<StoreRevision>(*m_stewardship.token())});
    return commit;
}

auto StewardDuty::tick() -> void
{
    const auto now = BootClock::now();
    if (!m_stewardship.mayRenewRuns(now)) {
        stepDown("lease-not-renewed");
        return;
    }
    reportTickDelay(now);
    reportLoad(now);
    dispatch(steward_event::Ticked{wallMilliseconds()});
    if (!m_steward)
        return;
    publishOutlook(now);
    saveRunTimes(now);
    m_workers.closeIdle(now);
    if (now >= m_nextCleanupAt) {
        m_nextCleanupAt = now + CleanupInterval;
        removeEndedJobs();
    }
}

/// Measures how late the event loop is: the member has too little processor time for its work.
auto StewardDuty::reportTickDelay(BootTime now) -> void
{
    const auto delay = std::max(now - m_tickDueAt, Duration(0));
    m_tickDueAt = now + StewardSettings().tickInterval;
    m_context.metrics.sample("shallotproxy_steward_delay_seconds", {},
                             std::chrono::duration<double>(delay).count());
    if (delay >= MaxTickDelay) {
        m_context.log.warning("event=steward-late ms={}",
                              std::chrono::duration_cast<milliseconds>(delay).count());
    }
}

/// Reports which of the steward's queues grows while it lacks processor time.
auto StewardDuty::reportLoad(BootTime now) -> void
{
    const auto load = m_processorLoad.measure(now);
    m_workers.loadMeasured(load);
    auto &metrics = m_context.metrics;
    metrics.gauge("shallotproxy_steward_load", {}, load);
    metrics.gauge("shallotproxy_steward_open_calls", "kind=\"start\"",
                  static_cast<double>(m_openStarts));
    metrics.gauge("shallotproxy_steward_open_calls", "kind=\"poll\"",
                  static_cast<double>(m_openPolls));
    metrics.gauge("shallotproxy_steward_unwritten_records", {},
                  static_cast<double>(m_writer.size()));
    if (load < BusyLoad || now < m_nextLoadReportAt)
        return;
    m_nextLoadReportAt = now + LoadReportInterval;
    m_context.log.info(
        "event=steward-busy load={:.2f} open-starts={} open-polls={} unwritten-records={}", load,
        m_openStarts, m_openPolls, m_writer.size());
}

/// Passes an event to the steward and performs the resulting actions. Events that arrive meanwhile
/// are queued, so that the steward is never re-entered.
auto StewardDuty::dispatch(StewardEvent event) -> void
{
    m_events.push_back(std::move(event));
    if (m_isDispatching)
        return;
    m_isDispatching = true;
    for (std::size_t n = 0; n < m_events.size() && m_steward; ++n) {
        const auto next = std::move(m_events[n]);
        const auto actions = m_steward->step(next, BootClock::now());
        for (const auto &action : actions) {
            if (!m_steward)
                break;
            std::visit([this](const auto &it) { perform(it); }, action);
        }
    }
    m_events.clear();
    m_isDispatching = false;
    if (m_steward && m_steward->isPlacementDue() && !m_placeTimer.isActive())
        m_placeTimer.start(PlacementDelay);
    writeProgress();
}

auto StewardDuty::superseded(std::string_view receiver) -> void
{
    m_context.log.info("event=steward-superseded receiver={}", receiver);
    stepDown("superseded");
}

} // namespace shallotproxy
