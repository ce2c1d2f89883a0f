#include "host_duty.hpp"
#include "shallotproxy/member/steward_duty.hpp"
#include "store_keys.hpp"

namespace shallotproxy {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds RecordWatchWait{2'000}; // for the watches on jobs and workers
constexpr milliseconds LoadRetryDelay{250};
constexpr std::size_t MaxJobsPerCleanup = 30; // a write of the store has at most 32 entries
// A lost steward costs what was learned in this time at most.
constexpr milliseconds RunTimesInterval{2'000};
// A queue's prediction is reported when it has changed by this factor.
constexpr double ReportedShift = 1.5;
constexpr int RetentionFactor = 2; // ended jobs stay twice as long as the settings promise

} // namespace

struct StewardDuty::LoadedRecords
{
    std::vector<VersionedRecord> jobs;
    std::vector<VersionedRecord> progress;
    std::optional<RunTimes> runTimes;
};

auto StewardDuty::load() -> void
{
    auto loaded = std::make_shared<LoadedRecords>();
    const auto retry = [this] {
        QTimer::singleShot(LoadRetryDelay, this, ifSameTerm([this] { load(); }));
    };
    const auto applyProgress = ifSameTerm([this, loaded, retry](auto progress) {
        if (!progress) {
            retry();
            return;
        }
        loaded->progress = std::move(progress->records);
        readRunTimes(loaded, retry);
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

/// A record that can't be decoded is learned anew. One that the store doesn't give is read again,
/// as this steward would soon write over it.
auto StewardDuty::readRunTimes(const std::shared_ptr<LoadedRecords> &loaded,
                               const std::function<void()> &retry) -> void
{
    if (!m_context.settings.runTimes.isOn) {
        startSteward(*loaded);
        return;
    }
    m_context.store.read(
        std::string(store_keys::RunTimes), ifSameTerm([this, loaded, retry](const auto &reply) {
            if (!reply) {
                retry();
                return;
            }
            if (!reply->records.empty()) {
                loaded->runTimes = RunTimes::decode(reply->records.front().value);
                if (!loaded->runTimes) {
                    m_context.log.warning(
                        "event=record-unreadable key={} error=\"expected run times\"",
                        store_keys::RunTimes);
                }
            }
            startSteward(*loaded);
        }));
}

/// Writes what was learned of run times from time to time: a successor may lose the last part of
/// it.
auto StewardDuty::saveRunTimes(BootTime now) -> void
{
    const auto observed = m_steward->observedRuns();
    if (now < m_nextRunTimesAt || observed == m_savedRuns)
        return;
    m_nextRunTimesAt = now + RunTimesInterval;
    reportRunTimes();
    auto commit = fencedCommit();
    commit.puts.push_back(
        {std::string(store_keys::RunTimes), m_steward->runTimes().encode(), StoreLease(0)});
    m_context.store.commit(commit, ifSameTerm([this, observed](const auto &reply) {
                               if (reply) {
                                   m_savedRuns = observed;
                               } else {
                                   m_context.log.info("event=run-times-not-kept reason={}",
                                                      reply.error().name());
                               }
                           }));
}

/// Reports how well runs were forecast, and what is expected of a queue if it differs from the last
/// report by a factor that changes the order of its work.
auto StewardDuty::reportRunTimes() -> void
{
    for (const auto &it : m_steward->takeRunTimeRatios()) {
        m_context.metrics.sample("shallotproxy_run_time_ratio",
                                 fmt::format("queue=\"{}\"", it.queue.value()), it.ratio);
    }
    const auto &times = m_steward->runTimes();
    for (const auto &queue : times.queues()) {
        const auto ratio = times.misstatement(queue);
        auto &reported = m_reportedRatios.try_emplace(queue, 1).first->second;
        if (std::max(ratio / reported, reported / ratio) < ReportedShift)
            continue;
        m_context.log.info(
            "event=run-times-shifted queue={} actual-to-stated={:.2f} before={:.2f} runs={:.0f}",
            queue.value(), ratio, reported, times.sampleCount(queue));
        reported = ratio;
    }
    std::erase_if(m_reportedRatios,
                  [&times](const auto &it) { return times.sampleCount(it.first) == 0; });
}

auto StewardDuty::startSteward(const LoadedRecords &loaded) -> void
{
    auto settings = StewardSettings();
    settings.maxRunLease = m_context.settings.maxRunLease;
    settings.stopTimeout = m_context.settings.runStopTimeout;
    settings.runTimes = m_context.settings.runTimes;
    const auto now = BootClock::now();
    m_steward = std::make_unique<Steward>(*m_stewardship.token(), settings, now);
    if (loaded.runTimes)
        m_steward->restoreRunTimes(*loaded.runTimes);
    m_savedRuns = 0;
    m_reportedRatios.clear();
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
    m_tickDueAt = BootClock::now() + settings.tickInterval;
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
    // In the order of their creation, by which the rates of teams are measured.
    auto jobs = std::vector<const VersionedRecord *>();
    for (const auto &record : loaded.jobs) {
        if (!record.key.ends_with(store_keys::CancelSuffix))
            jobs.push_back(&record);
    }
    std::ranges::sort(jobs, {}, &VersionedRecord::creationRevision);
    for (const auto *record : jobs) {
        const auto known = progress.find(record->key.substr(store_keys::JobPrefix.size()));
        acceptJob(*record, known == progress.end() ? JobProgress() : known->second);
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
