#include <QPointer>
#include <QRandomGenerator>

#include "host_duty.hpp"
#include "shallotproxy/member/steward_duty.hpp"
#include "store_keys.hpp"

namespace shallotproxy {

namespace {

using std::chrono::milliseconds;

// The watch on the steward's key waits this long, so a connection lost unnoticed shows soon.
constexpr milliseconds HolderWatchWait{3'000};
constexpr milliseconds RecordWatchWait{2'000}; // for the watches on jobs and workers
constexpr milliseconds TickInterval{100}; // the resolution of the steward's timeouts
constexpr milliseconds PlacementDelay{5}; // one placement serves replies that arrive together
// Ended jobs are removed faster than a large fleet accepts new ones, 80 a second.
constexpr milliseconds CleanupInterval{200};
constexpr std::size_t MaxJobsPerCleanup = 30; // a write of the store has at most 32 entries
constexpr int RetentionFactor = 2; // ended jobs stay twice as long as the settings promise
// Spreads the campaigns of the members, so that few calls are wasted on a key that is taken.
constexpr milliseconds CampaignJitter{80};
constexpr milliseconds FreshnessRetryDelay{50}; // the check makes no call
constexpr milliseconds CampaignRetryDelay{250}; // after a campaign or a load that failed
// An unanswered claim may still be applied; the key is read after this delay.
constexpr milliseconds ClaimCheckDelay{100};

auto nameOf(RunLoss loss) -> std::string_view
{
    switch (loss) {
    case RunLoss::Planned:
        return "planned";
    case RunLoss::Ended:
        return "worker-ended";
    case RunLoss::Restarted:
        return "worker-restarted";
    case RunLoss::LeaseExpired:
        break;
    }
    return "lease-expired";
}

auto nameOf(WaitReason reason) -> std::string_view
{
    switch (reason) {
    case WaitReason::StopUnconfirmed:
        return "stop-unconfirmed";
    case WaitReason::EndUnreported:
        return "end-unreported";
    case WaitReason::StartUnanswered:
        return "start-unanswered";
    case WaitReason::Recovering:
        return "recovering";
    case WaitReason::CrashNotPersisted:
        return "crash-not-persisted";
    case WaitReason::NoRoomForSuspect:
        return "no-room-for-suspect";
    case WaitReason::NoQuietWorker:
        return "no-quiet-worker";
    case WaitReason::NoRules:
        return "no-rules";
    case WaitReason::NoWorkers:
        return "no-workers";
    case WaitReason::WorkersKeptForSuspects:
        return "workers-kept-for-suspects";
    case WaitReason::TeamLimit:
        return "team-limit";
    case WaitReason::PreemptionUnderWay:
        return "preemption-under-way";
    case WaitReason::NoRoom:
        return "no-room";
    case WaitReason::PlacementDue:
        break;
    }
    return "placement-due";
}

auto identityOf(const RuntimeSettings &settings) -> std::string
{
    // The address comes first: other members read the value up to the first space.
    return settings.peerEndpoint + ' ' + settings.member + ' ' + randomHex(8);
}

} // namespace

template <typename Function>
auto StewardDuty::ifSameTerm(Function function)
{
    return [self = QPointer(this), term = m_term,
            function = std::move(function)]<typename... Arguments>(Arguments &&...arguments) {
        if (self && term == self->m_term)
            function(std::forward<Arguments>(arguments)...);
    };
}

struct StewardDuty::LoadedRecords
{
    std::vector<VersionedRecord> jobs;
    std::vector<VersionedRecord> progress;
};

StewardDuty::StewardDuty(RuntimeContext &context, QObject *parent)
    : QObject(parent)
    , m_context(context)
    , m_identity(identityOf(context.settings))
{
    m_renewTimer.setInterval(Stewardship::RenewInterval);
    m_tickTimer.setInterval(TickInterval);
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
    auto handlers = RecordWatch::Handlers();
    handlers.reset = [this](const auto &records) {
        holderChanged(records.empty() ? nullptr : &records.front());
    };
    handlers.changed = [this](const auto &record) {
        holderChanged(record.isDeleted ? nullptr : &record);
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
    const auto jitter = static_cast<int>(CampaignJitter.count());
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
    m_writer = {};
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

auto StewardDuty::load() -> void
{
    auto loaded = std::make_shared<LoadedRecords>();
    const auto retry = [this] {
        QTimer::singleShot(CampaignRetryDelay, this, ifSameTerm([this] { load(); }));
    };
    const auto applyProgress = ifSameTerm([this, loaded, retry](auto progress) {
        if (!progress) {
            retry();
            return;
        }
        loaded->progress = std::move(progress->records);
        startSteward(*loaded);
    });
    // Jobs are read first: if one ends between the two reads, its progress record shows the
    // outcome.
    m_context.store.readAll(std::string(store_keys::JobPrefix),
                            ifSameTerm([this, loaded, retry, applyProgress](auto jobs) {
                                if (!jobs) {
                                    retry();
                                    return;
                                }
                                loaded->jobs = std::move(jobs->records);
                                m_context.store.readAll(std::string(store_keys::ProgressPrefix),
                                                        applyProgress);
                            }));
}

auto StewardDuty::startSteward(const LoadedRecords &loaded) -> void
{
    auto settings = StewardSettings();
    settings.maxRunLease = m_context.settings.maxRunLease;
    settings.stopTimeout = m_context.settings.runStopTimeout;
    const auto now = BootClock::now();
    m_steward = std::make_unique<Steward>(*m_stewardship.token(), settings, now);
    dispatch(steward_event::Ticked{wallMilliseconds()});
    declarationsChanged();
    loadJobs(loaded);

    auto workers = RecordWatch::Handlers();
    workers.reset = [this](const auto &records) {
        if (!m_steward)
            return;
        auto removed = m_steward->registeredWorkers();
        for (const auto &record : records) {
            removed.erase(m_context.recordCodec.workerNameOf(record.key));
            workerChanged(record);
        }
        for (const auto &name : removed)
            removeWorker(name);
    };
    workers.changed = [this](const auto &record) { workerChanged(record); };
    m_workerWatch = std::make_unique<RecordWatch>(
        m_context.store, m_context.recordCodec.workersPrefix(), RecordWatchWait, workers, this);
    auto jobs = RecordWatch::Handlers();
    jobs.reset = [this](const auto &records) {
        for (const auto &record : records)
            jobChanged(record);
    };
    jobs.changed = [this](const auto &record) { jobChanged(record); };
    m_jobWatch = std::make_unique<RecordWatch>(m_context.store, std::string(store_keys::JobPrefix),
                                               RecordWatchWait, jobs, this);
    m_workerWatch->start();
    m_jobWatch->start();
    m_hosts = std::make_unique<HostDuty>(m_context, *this);
    m_hosts->start();
    m_tickTimer.start();
    m_context.log.info("event=steward-ready token={} jobs={} records={}", *m_stewardship.token(),
                       loaded.jobs.size(), loaded.progress.size());
}

auto StewardDuty::loadJobs(const LoadedRecords &loaded) -> void
{
    auto progress = std::map<std::string, JobProgress>();
    for (const auto &record : loaded.progress) {
        const auto id = record.key.substr(store_keys::ProgressPrefix.size());
        m_writer.loaded(id, record.revision);
        auto decoded = decodeProgress(record.value);
        if (!decoded) {
            m_context.log.warning("event=record-unreadable key={} error=\"{}\"", record.key,
                                  decoded.error().message());
            continue;
        }
        if (decoded->state() != JobOutcome::Open) {
            auto spec = JobSpec();
            spec.id = id;
            spec.queue = decoded->queue;
            spec.team = decoded->team;
            dispatch(steward_event::JobAccepted{spec, *decoded, false});
        }
        progress.emplace(id, std::move(*decoded));
    }
    for (const auto &record : loaded.jobs) {
        if (record.key.ends_with(store_keys::CancelSuffix))
            continue;
        const auto known = progress.find(record.key.substr(store_keys::JobPrefix.size()));
        acceptJob(record, known == progress.end() ? JobProgress() : known->second);
    }
    for (const auto &record : loaded.jobs) {
        if (record.key.ends_with(store_keys::CancelSuffix))
            jobChanged(record);
    }
}

auto StewardDuty::acceptJob(const VersionedRecord &record, const JobProgress &progress) -> void
{
    auto spec = decodeJob(record.value);
    if (!spec) {
        m_context.log.warning("event=record-unreadable key={} error=\"{}\"", record.key,
                              spec.error().message());
        return;
    }
    const auto mayRunAlready = record.creationRevision < *m_stewardship.token();
    dispatch(steward_event::JobAccepted{std::move(*spec), progress, mayRunAlready});
}

auto StewardDuty::jobChanged(const VersionedRecord &record) -> void
{
    if (!m_steward || record.isDeleted)
        return;
    if (record.key.ends_with(store_keys::CancelSuffix)) {
        const auto length =
            record.key.size() - store_keys::JobPrefix.size() - store_keys::CancelSuffix.size();
        const auto id = record.key.substr(store_keys::JobPrefix.size(), length);
        m_context.log.info("event=job-cancelled job={} revision={}", id, record.revision);
        dispatch(steward_event::JobCancelled{id});
        return;
    }
    acceptJob(record, {});
}

auto StewardDuty::workerChanged(const VersionedRecord &record) -> void
{
    if (!m_steward)
        return;
    const auto name = m_context.recordCodec.workerNameOf(record.key);
    if (record.isDeleted) {
        removeWorker(name);
        return;
    }
    const auto report = m_context.recordCodec.decodeWorker(record);
    if (!report) {
        if (m_unreadableWorkerKeys.insert(record.key).second) {
            m_context.log.warning("event=worker-unreadable key={} error=\"{}\"", record.key,
                                  report.error().message());
        }
        removeWorker(name);
        return;
    }
    m_unreadableWorkerKeys.erase(record.key);
    if (m_steward->isRegistered(*report))
        return; // the registrations were read again
    m_context.log.info("event=worker-reported worker={} pool={} leaving={} revision={}",
                       name.value(), report->pool.value(), report->isLeaving, record.revision);
    dispatch(steward_event::WorkerReported{*report});
}

auto StewardDuty::removeWorker(const WorkerName &name) -> void
{
    if (m_steward && m_steward->findReport(name) != nullptr)
        m_context.log.info("event=worker-forgotten worker={}", name.value());
    dispatch(steward_event::WorkerRemoved{name});
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
    dispatch(steward_event::Ticked{wallMilliseconds()});
    if (!m_steward)
        return;
    m_context.workers.closeIdle(now);
    if (now >= m_nextCleanupAt) {
        m_nextCleanupAt = now + CleanupInterval;
        removeEndedJobs();
    }
}

/// Removes jobs that ended long ago. Until then a repeated submission finds the ended job.
auto StewardDuty::removeEndedJobs() -> void
{
    const auto before = BootClock::now() - m_context.settings.jobStateRetention * RetentionFactor;
    const auto jobs = m_steward->evictEnded(before, MaxJobsPerCleanup);
    if (jobs.empty())
        return;
    auto commit = fencedCommit();
    for (const auto &job : jobs) {
        commit.removes.push_back(store_keys::progress(job));
        m_writer.removed(job);
    }
    m_context.log.info("event=jobs-forgotten jobs={}", jobs.size());
    // Records that remain after a failed commit are loaded and removed by the next steward.
    m_context.store.commit(commit, ifSameTerm([this, count = jobs.size()](const auto &reply) {
                               if (!reply) {
                                   m_context.log.warning(
                                       "event=jobs-not-removed jobs={} error=\"{}\"", count,
                                       reply.error().message());
                               }
                           }));
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

auto StewardDuty::perform(const steward_action::StartRun &action) -> void
{
    const auto *report = workerReport(action.worker);
    const auto now = BootClock::now();
    if (report == nullptr || !m_stewardship.mayOrder(now)) {
        dispatch(steward_event::StartAnswered{action.worker, action.task, action.run,
                                              OrderOutcome::NotSent, 0});
        return;
    }
    m_context.metrics.count("shallotproxy_run_starts_total");
    m_context.workers.start(
        *report, *m_stewardship.token(), action,
        ifSameTerm([this, action, now](const OrderReply &reply) {
            m_context.metrics.sample("shallotproxy_run_start_seconds", {},
                                     std::chrono::duration<double>(BootClock::now() - now).count());
            if (reply.outcome != OrderOutcome::Accepted) {
                m_context.log.info("event=start-not-accepted job={} occurrence={} step={} "
                                   "task={} run={} worker={} "
                                   "outcome={}",
                                   action.task.job, action.task.occurrence, action.task.step,
                                   action.task.index, action.run, action.worker.value(),
                                   static_cast<int>(reply.outcome));
            }
            dispatch(steward_event::StartAnswered{action.worker, action.task, action.run,
                                                  reply.outcome, reply.clockMilliseconds});
        }));
}

auto StewardDuty::perform(const steward_action::StopRun &action) -> void
{
    const auto *report = workerReport(action.worker);
    if (report == nullptr || !m_stewardship.mayRenewRuns(BootClock::now())) {
        dispatch(steward_event::StopAnswered{action.worker, action.task, action.run,
                                             OrderOutcome::NotSent});
        return;
    }
    m_context.log.info("event=stop-ordered job={} occurrence={} step={} task={} run={} worker={}",
                       action.task.job, action.task.occurrence, action.task.step, action.task.index,
                       action.run, action.worker.value());
    m_context.workers.stop(*report, *m_stewardship.token(), action,
                           ifSameTerm([this, action](const OrderReply &reply) {
                               dispatch(steward_event::StopAnswered{action.worker, action.task,
                                                                    action.run, reply.outcome});
                           }));
}

auto StewardDuty::perform(const steward_action::PollWorker &action) -> void
{
    const auto *report = workerReport(action.worker);
    const auto now = BootClock::now();
    if (report == nullptr || !m_stewardship.mayRenewRuns(now)) {
        dispatch(steward_event::PollFailed{action.worker, now, OrderOutcome::NotSent});
        return;
    }
    m_context.workers.poll(
        *report, *m_stewardship.token(), action,
        ifSameTerm([this, worker = action.worker, now](const OrderReply &reply, auto pollResult) {
            if (!pollResult) {
                m_context.log.info("event=look-failed worker={} outcome={}", worker.value(),
                                   static_cast<int>(reply.outcome));
                dispatch(steward_event::PollFailed{worker, now, reply.outcome});
                return;
            }
            pollResult->sentAt = now;
            if (m_steward->isRecovering()) {
                m_context.log.info("event=worker-asked worker={} active={} ended={} clock={}",
                                   worker.value(), pollResult->active.size(),
                                   pollResult->ended.size(), pollResult->clockMilliseconds);
            }
            dispatch(std::move(*pollResult));
        }));
}

auto StewardDuty::perform(const steward_action::SetRunSpeed &action) -> void
{
    const auto *report = workerReport(action.worker);
    if (report == nullptr || !m_stewardship.mayOrder(BootClock::now()))
        return; // the next poll decides again
    m_context.workers.setRunSpeed(*report, *m_stewardship.token(), action,
                                  ifSameTerm([this, action](const OrderReply &reply) {
                                      if (reply.outcome == OrderOutcome::Superseded)
                                          superseded(action.worker.value());
                                  }));
}

auto StewardDuty::perform(const steward_action::PersistProgress &action) -> void
{
    m_writer.changed(action.job, action.urgency, BootClock::now());
}

auto StewardDuty::perform(const steward_action::ReportLostRuns &action) -> void
{
    const auto cause = nameOf(action.loss);
    const auto label = fmt::format("cause=\"{}\"", cause);
    for (const auto &it : action.runs) {
        m_context.metrics.count("shallotproxy_runs_lost_total", label);
        m_context.log.info(
            "event=run-lost job={} occurrence={} step={} task={} run={} worker={} cause={}",
            it.task.job, it.task.occurrence, it.task.step, it.task.index, it.run,
            action.worker.value(), cause);
    }
}

auto StewardDuty::perform(const steward_action::ReportWorkerEnd &action) -> void
{
    const auto isReplaced = action.evidence == EndEvidence::Replaced;
    m_context.log.info("event=worker-ended worker={} evidence={}", action.worker.value(),
                       isReplaced ? "replaced" : "never-listed");
}

auto StewardDuty::perform(const steward_action::ReportCrashingTask &action) -> void
{
    m_context.metrics.count("shallotproxy_crashing_tasks_total", {});
    m_context.log.info("event=task-given-up job={} occurrence={} step={} task={} crashes={}",
                       action.task.job, action.task.occurrence, action.task.step, action.task.index,
                       action.crashes);
}

auto StewardDuty::perform(const steward_action::ReportWaitingTask &action) -> void
{
    const auto reason = nameOf(action.reason);
    m_context.metrics.count("shallotproxy_waiting_tasks_total",
                            fmt::format("reason=\"{}\"", reason));
    m_context.log.info(
        "event=task-waits job={} occurrence={} step={} task={} run={} worker={} reason={} ms={}",
        action.task.job, action.task.occurrence, action.task.step, action.task.index, action.run,
        action.worker.value(), reason,
        std::chrono::duration_cast<milliseconds>(action.time).count());
}

auto StewardDuty::perform(const steward_action::ReportMoreWaitingTasks &action) -> void
{
    m_context.metrics.count("shallotproxy_waiting_tasks_total", "reason=\"omitted\"",
                            static_cast<double>(action.count));
    m_context.log.info("event=more-tasks-wait tasks={}", action.count);
}

auto StewardDuty::perform(const steward_action::StepDown &action) -> void
{
    superseded(action.worker.value());
}

auto StewardDuty::superseded(std::string_view receiver) -> void
{
    m_context.log.info("event=steward-superseded receiver={}", receiver);
    stepDown("superseded");
}

auto StewardDuty::progressEntry(const std::string &job) const
    -> std::optional<ProgressWriter::Entry>
{
    const auto record = m_steward->record(job);
    if (!record)
        return std::nullopt;
    auto entry = ProgressWriter::Entry();
    entry.job = job;
    entry.change = record->change;
    entry.isFinal = record->progress.state() != JobOutcome::Open;
    entry.bytes = encodeProgress(record->progress);
    return entry;
}

auto StewardDuty::writeProgress() -> void
{
    if (!m_steward)
        return;
    const auto now = BootClock::now();
    const auto batch =
        m_writer.next(now, [this](const std::string &job) { return progressEntry(job); });
    if (!batch) {
        const auto due = m_writer.dueAt();
        const auto isTimerDue = m_writeTimer.isActive() && due && m_writeTimerAt <= *due;
        if (due && !isTimerDue) {
            m_writeTimerAt = *due;
            m_writeTimer.start(std::chrono::ceil<milliseconds>(std::max(*due - now, Duration(0))));
        }
        return;
    }
    auto commit = fencedCommit();
    for (const auto &it : *batch) {
        const auto key = store_keys::progress(it.job);
        commit.compares.push_back({key, static_cast<StoreRevision>(it.revision)});
        commit.puts.push_back({key, it.bytes, 0});
        if (it.isFinal) {
            commit.removes.push_back(store_keys::job(it.job));
            commit.removes.push_back(store_keys::cancel(it.job));
        }
    }
    m_context.store.commit(commit,
                           ifSameTerm([this](auto reply) { progressStored(std::move(reply)); }));
}

auto StewardDuty::progressStored(Expected<std::uint64_t, StoreFailure> reply) -> void
{
    const auto now = BootClock::now();
    if (reply) {
        const auto batch = m_writer.stored(*reply);
        for (const auto &it : batch) {
            if (it.isFinal)
                m_context.log.info("event=job-ended job={} revision={}", it.job, *reply);
            dispatch(steward_event::ProgressPersisted{it.job, it.change});
        }
        return;
    }
    if (reply.error().kind != StoreFailure::Kind::Conflict) {
        m_context.log.warning("event=progress-not-kept error=\"{}\"", reply.error().message());
        m_writer.failed(now);
        writeProgress();
        return;
    }
    auto revisions = std::map<std::string, std::uint64_t>();
    for (const auto &record : reply.error().records) {
        if (record.key == store_keys::Steward) {
            if (record.revision != *m_stewardship.token()) {
                stepDown("key-taken");
                return;
            }
            continue;
        }
        if (record.key.starts_with(store_keys::ProgressPrefix))
            revisions[record.key.substr(store_keys::ProgressPrefix.size())] = record.revision;
    }
    m_context.log.info("event=progress-conflict records={}", revisions.size());
    m_writer.conflicted(revisions, now);
    writeProgress();
}

} // namespace shallotproxy
