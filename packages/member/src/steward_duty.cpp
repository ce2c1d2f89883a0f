#include <QPointer>
#include <QRandomGenerator>

#include "host_duty.hpp"
#include "shallotproxy/member/steward_duty.hpp"
#include "store_keys.hpp"

namespace shallotproxy {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds HolderWait{3'000}; // a silent cut of this watch is seen soon after
constexpr milliseconds RecordWait{2'000}; // of the steward's other watches
constexpr milliseconds TickInterval{100}; // the finest step of the steward's own timeouts
constexpr milliseconds PlacementDelay{2}; // groups answers that come together
constexpr milliseconds ForgetInterval{
    5'000}; // with 20 at once: four jobs a second for each steward
constexpr std::size_t ForgottenAtOnce = 20; // records of one write, of at most 32 entries
constexpr std::int64_t KeptFactor = 2; // kept for twice as long as promised
constexpr milliseconds CampaignSpread{80}; // members begin this far apart, so few calls are lost
constexpr milliseconds UnsureRetry{50}; // costs no call
constexpr milliseconds CampaignRetry{250}; // after a campaign that failed
constexpr milliseconds ClaimCheckDelay{100}; // before the outcome of a lost answer is read

auto identityOf(const RuntimeSettings &settings) -> std::string
{
    // The address comes first: other members read it up to the blank.
    return settings.innerEndpoint + ' ' + settings.member + ' ' + randomHex(8);
}

} // namespace

template <typename Function>
auto StewardDuty::inThisLife(Function function)
{
    return [self = QPointer(this), life = m_life,
            function = std::move(function)]<typename... Arguments>(Arguments &&...arguments) {
        if (self && life == self->m_life)
            function(std::forward<Arguments>(arguments)...);
    };
}

struct StewardDuty::Loading
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
        m_context.store, std::string(store_keys::StewardPrefix), HolderWait, handlers, this);
    m_holderWatch->start();
}

auto StewardDuty::leave() -> void
{
    m_isLeaving = true;
    if (m_lease != 0)
        m_context.store.endLease(m_lease);
    if (m_stewardship.token())
        stepDown("shutdown");
}

auto StewardDuty::steward() -> Steward *
{
    return m_steward.get();
}

auto StewardDuty::holderChanged(const VersionedRecord *record) -> void
{
    const auto isMine = record != nullptr && record->value == m_identity;
    m_holder = record == nullptr ? std::string() : record->value.substr(0, record->value.find(' '));
    if (m_stewardship.token() && !isMine)
        stepDown("key-gone");
    // A key that outlived this member's trust in it only keeps others from it.
    if (isMine && !m_stewardship.token() && !m_isCampaigning && m_oldLease != 0)
        m_context.store.endLease(m_oldLease);
    if (record != nullptr || m_isLeaving || m_isCampaigning)
        return;
    m_isCampaigning = true;
    campaignLater();
}

/// Members with more processor time go first: the steward does most of the work.
auto StewardDuty::campaignLater() -> void
{
    const auto spread = static_cast<int>(CampaignSpread.count());
    const auto delay = Stewardship::campaignDelay(m_context.settings.processorShare)
        + milliseconds(QRandomGenerator::global()->bounded(spread));
    QTimer::singleShot(delay, this, [this] { campaign(); });
}

auto StewardDuty::campaign() -> void
{
    const auto isWanted = m_holder.empty() && !m_isLeaving && !m_stewardship.token();
    if (!isWanted) {
        m_isCampaigning = false;
        return;
    }
    const auto retry = [this] { QTimer::singleShot(CampaignRetry, this, [this] { campaign(); }); };
    if (!m_context.fleet.board.isFresh(BootClock::now())) {
        m_wasUnsure = true;
        QTimer::singleShot(UnsureRetry, this, [this] { campaign(); });
        return;
    }
    // All members become sure at the same moment.
    if (std::exchange(m_wasUnsure, false)) {
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
            self->hold(*reply, lease, grantedAt);
            return;
        }
        if (reply.error().kind == StoreFailure::Kind::Unknown) {
            QTimer::singleShot(ClaimCheckDelay, self,
                               [self, lease, grantedAt] { self->checkClaim(lease, grantedAt); });
            return;
        }
        self->m_context.store.endLease(lease);
        QTimer::singleShot(CampaignRetry, self, [self] { self->campaign(); });
    });
}

/// The claim was not answered: the key tells whether it was made.
auto StewardDuty::checkClaim(StoreLease lease, BootTime grantedAt) -> void
{
    const auto key = std::string(store_keys::Steward);
    m_context.store.read(key, [self = QPointer(this), lease, grantedAt](auto reply) {
        if (!self)
            return;
        const auto isMine =
            reply && !reply->records.empty() && reply->records.front().value == self->m_identity;
        if (isMine) {
            self->hold(reply->records.front().created, lease, grantedAt);
            return;
        }
        self->m_context.store.endLease(lease);
        QTimer::singleShot(CampaignRetry, self, [self] { self->campaign(); });
    });
}

auto StewardDuty::hold(std::uint64_t token, StoreLease lease, BootTime grantedAt) -> void
{
    m_isCampaigning = false;
    if (m_isLeaving) {
        m_context.store.endLease(lease);
        return;
    }
    m_lease = lease;
    m_holder = m_context.settings.innerEndpoint;
    m_stewardship.acquired(token, grantedAt);
    ++m_life;
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
    m_context.store.renewLease(m_lease, inThisLife([this, sentAt](const auto &reply) {
                                   if (reply) {
                                       m_stewardship.renewed(sentAt);
                                   } else if (reply.error().kind == StoreFailure::Kind::LeaseGone) {
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
    ++m_life;
    m_oldLease = std::exchange(m_lease, 0);
    m_renewTimer.stop();
    m_tickTimer.stop();
    m_writeTimer.stop();
    m_placeTimer.stop();
    m_events.clear();
    m_writer = {};
    m_reports.clear();
    // Destroyed from the event loop: one of their functions may be running.
    for (auto *watch : {m_jobWatch.release(), m_workerWatch.release()}) {
        if (watch != nullptr)
            watch->deleteLater();
    }
    if (m_hosts)
        m_hosts.release()->deleteLater();
    auto old = std::shared_ptr<Steward>(std::move(m_steward));
    QTimer::singleShot(0, this, [old] {});
    if (m_holder == m_context.settings.innerEndpoint)
        m_holder.clear();
    if (!m_isLeaving && !m_isCampaigning) {
        m_isCampaigning = true;
        // The key may still be there until its lease ends; the watch tells who holds it.
        QTimer::singleShot(CampaignRetry, this, [this] { campaign(); });
    }
}

auto StewardDuty::load() -> void
{
    auto loading = std::make_shared<Loading>();
    const auto again = [this] {
        QTimer::singleShot(CampaignRetry, this, inThisLife([this] { load(); }));
    };
    const auto takeProgress = inThisLife([this, loading, again](auto progress) {
        if (!progress) {
            again();
            return;
        }
        loading->progress = std::move(progress->records);
        begin(*loading);
    });
    // Jobs first: one that ends between the two reads then shows in its progress.
    m_context.store.readAll(std::string(store_keys::JobPrefix),
                            inThisLife([this, loading, again, takeProgress](auto jobs) {
                                if (!jobs) {
                                    again();
                                    return;
                                }
                                loading->jobs = std::move(jobs->records);
                                m_context.store.readAll(std::string(store_keys::ProgressPrefix),
                                                        takeProgress);
                            }));
}

auto StewardDuty::begin(const Loading &loading) -> void
{
    auto settings = StewardSettings();
    settings.longestLease = m_context.settings.longestLease;
    const auto now = BootClock::now();
    m_steward = std::make_unique<Steward>(*m_stewardship.token(), settings, now);
    dispatch(steward_event::Ticked{wallMilliseconds()});
    declarationsChanged();
    loadJobs(loading);

    auto workers = RecordWatch::Handlers();
    workers.reset = [this](const auto &records) {
        auto gone = m_reports;
        for (const auto &record : records) {
            gone.erase(m_context.records.workerOf(record.key));
            workerChanged(record);
        }
        for (const auto &[name, report] : gone)
            dispatch(steward_event::WorkerRemoved{name});
    };
    workers.changed = [this](const auto &record) { workerChanged(record); };
    m_workerWatch = std::make_unique<RecordWatch>(
        m_context.store, m_context.records.workersPrefix(), RecordWait, workers, this);
    auto jobs = RecordWatch::Handlers();
    jobs.reset = [this](const auto &records) {
        for (const auto &record : records)
            jobChanged(record);
    };
    jobs.changed = [this](const auto &record) { jobChanged(record); };
    m_jobWatch = std::make_unique<RecordWatch>(m_context.store, std::string(store_keys::JobPrefix),
                                               RecordWait, jobs, this);
    m_workerWatch->start();
    m_jobWatch->start();
    m_hosts = std::make_unique<HostDuty>(m_context, *this);
    m_hosts->start();
    m_tickTimer.start();
    m_context.log.info("event=steward-ready token={} jobs={} records={}", *m_stewardship.token(),
                       loading.jobs.size(), loading.progress.size());
}

auto StewardDuty::loadJobs(const Loading &loading) -> void
{
    auto progress = std::map<std::string, JobProgress>();
    for (const auto &record : loading.progress) {
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
    for (const auto &record : loading.jobs) {
        if (record.key.ends_with(store_keys::CancelSuffix))
            continue;
        const auto known = progress.find(record.key.substr(store_keys::JobPrefix.size()));
        takeJob(record, known == progress.end() ? JobProgress() : known->second);
    }
    for (const auto &record : loading.jobs) {
        if (record.key.ends_with(store_keys::CancelSuffix))
            jobChanged(record);
    }
}

auto StewardDuty::takeJob(const VersionedRecord &record, const JobProgress &progress) -> void
{
    auto spec = decodeJob(record.value);
    if (!spec) {
        m_context.log.warning("event=record-unreadable key={} error=\"{}\"", record.key,
                              spec.error().message());
        return;
    }
    const auto mayRunAlready = record.created < *m_stewardship.token();
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
    takeJob(record, {});
}

auto StewardDuty::workerChanged(const VersionedRecord &record) -> void
{
    if (!m_steward)
        return;
    const auto name = m_context.records.workerOf(record.key);
    if (record.isDeleted) {
        if (m_reports.contains(name))
            m_context.log.info("event=worker-forgotten worker={}", name.value());
        dispatch(steward_event::WorkerRemoved{name});
        return;
    }
    const auto report = m_context.records.decodeWorker(record);
    if (!report) {
        if (m_strangers.insert(record.key).second) {
            m_context.log.warning("event=worker-unreadable key={} error=\"{}\"", record.key,
                                  report.error().message());
        }
        dispatch(steward_event::WorkerRemoved{name});
        return;
    }
    auto &known = m_reports[name];
    if (known == *report)
        return;
    m_context.log.info("event=worker-reported worker={} pool={} leaving={} revision={}",
                       name.value(), report->pool.value(), report->isLeaving, record.revision);
    known = *report;
    dispatch(steward_event::WorkerReported{*report});
}

auto StewardDuty::workerReport(const WorkerName &name) const -> const WorkerReport *
{
    const auto it = m_reports.find(name);
    return it == m_reports.end() ? nullptr : &it->second;
}

auto StewardDuty::declarationsChanged() -> void
{
    const auto &declaration = m_context.fleet.board.current();
    if (!m_steward || !declaration)
        return;
    dispatch(steward_event::RulesChanged{
        std::shared_ptr<const SchedulingRules>(declaration, &declaration->rules)});
    dispatch(steward_event::DataCentresClosed{m_context.fleet.closed()});
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
    if (now >= m_nextForgetting) {
        m_nextForgetting = now + ForgetInterval;
        forgetEndedJobs();
    }
}

/// Ended jobs are known for a while, so that a repeated submission finds them; then they go.
auto StewardDuty::forgetEndedJobs() -> void
{
    const auto before = wallMilliseconds() - m_context.settings.stateKept.count() * KeptFactor;
    const auto jobs = m_steward->evictEnded(before, ForgottenAtOnce);
    if (jobs.empty())
        return;
    auto commit = fencedCommit();
    for (const auto &job : jobs) {
        commit.removes.push_back(store_keys::progress(job));
        m_writer.removed(job);
    }
    m_context.log.info("event=jobs-forgotten jobs={}", jobs.size());
    // Records that stay after a failure are read by the next steward, and go with it.
    m_context.store.commit(commit, [](const auto &) {});
}

/// Events that come while one is handled wait their turn, so that the steward never re-enters.
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
        inThisLife([this, action, now](const OrderReply &reply) {
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
    m_context.log.info("event=run-ended job={} occurrence={} step={} task={} run={} worker={}",
                       action.task.job, action.task.occurrence, action.task.step, action.task.index,
                       action.run, action.worker.value());
    m_context.workers.stop(*report, *m_stewardship.token(), action,
                           inThisLife([this, action](const OrderReply &reply) {
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
    m_context.workers.look(
        *report, *m_stewardship.token(), action,
        inThisLife([this, worker = action.worker, now](const OrderReply &reply, auto look) {
            if (!look) {
                m_context.log.info("event=look-failed worker={} outcome={}", worker.value(),
                                   static_cast<int>(reply.outcome));
                dispatch(steward_event::PollFailed{worker, now, reply.outcome});
                return;
            }
            look->sentAt = now;
            if (m_steward->isRecovering()) {
                m_context.log.info("event=worker-asked worker={} active={} ended={} clock={}",
                                   worker.value(), look->active.size(), look->ended.size(),
                                   look->clockMilliseconds);
            }
            dispatch(std::move(*look));
        }));
}

auto StewardDuty::perform(const steward_action::SetRunSpeed &action) -> void
{
    const auto *report = workerReport(action.worker);
    if (report == nullptr || !m_stewardship.mayOrder(BootClock::now()))
        return; // the next look decides anew
    m_context.workers.pace(*report, *m_stewardship.token(), action, [](const OrderReply &) {});
}

auto StewardDuty::perform(const steward_action::PersistProgress &action) -> void
{
    m_writer.changed(action.job, action.isUrgent, BootClock::now());
}

auto StewardDuty::perform(const steward_action::StepDown &action) -> void
{
    m_context.log.info("event=steward-superseded worker={}", action.worker.value());
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
        if (const auto due = m_writer.dueAt()) {
            const auto wait = std::chrono::ceil<milliseconds>(std::max(*due - now, Duration(0)));
            m_writeTimer.start(wait);
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
                           inThisLife([this](auto reply) { progressStored(std::move(reply)); }));
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
