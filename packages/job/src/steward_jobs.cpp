#include <algorithm>

#include "steward_state.hpp"

namespace shallotproxy {

namespace {

using std::chrono::milliseconds;

// Bounds a task's run time in the forecast of demand; longer tasks show in the load of their pool.
constexpr milliseconds MaxForecastTime{10'000};
// Bounds the computed age of a job, so that a wrong wall clock can't make a job older than this.
constexpr std::int64_t MaxJobAgeMilliseconds = 3'600'000;

} // namespace

auto stateOf(JobOutcome outcome, JobState whileOpen) -> JobState
{
    switch (outcome) {
    case JobOutcome::Completed:
        return JobState::Completed;
    case JobOutcome::Failed:
        return JobState::Failed;
    case JobOutcome::Cancelled:
        return JobState::Cancelled;
    case JobOutcome::Open:
        break;
    }
    return whileOpen;
}

auto Steward::Task::id() const -> JobTaskId
{
    return {job->spec.id, occurrence, step, index};
}

auto Steward::Task::stepId() const -> WaitingStepId
{
    return {job->number, occurrence, step};
}

auto Steward::Task::spec() const -> const StepSpec &
{
    return job->spec.steps[step];
}

/// Whether some host of the fleet may offer the resources of the step's tasks. More hosts don't
/// help a task that is too large for any of them.
auto Steward::mayFitAnyHost(const StepSpec &step) const -> bool
{
    const auto resources = step.reservedResources();
    return m_hostCapacities.empty()
        || std::ranges::any_of(m_hostCapacities,
                               [&resources](const Resources &it) { return it.covers(resources); });
}

auto Steward::countAcceptedWork(const Job &job) -> void
{
    const auto isForecast = [this](const StepSpec &it) {
        return !it.isLongRunning && mayFitAnyHost(it);
    };
    if (m_hostCapacities.empty() || std::ranges::none_of(job.spec.steps, isForecast))
        return;
    auto &accepted = m_acceptedWork[poolOf(job)];
    ++accepted.jobs;
    auto work = Resources();
    for (std::size_t n = 0; n < job.spec.steps.size(); ++n) {
        const auto &step = job.spec.steps[n];
        if (!isForecast(step))
            continue;
        const auto runTime = std::clamp(forecastRun(job, nullptr, n).expected, Duration(),
                                        Duration(MaxForecastTime));
        const auto time =
            std::chrono::duration_cast<milliseconds>(runTime).count() * step.taskCount;
        const auto task = step.reservedResources();
        work += task * time;
    }
    accepted.work += work;
    accepted.squares += workSize(work) * workSize(work);
}

auto Steward::openOccurrence(Job &job, std::uint32_t number) -> Occurrence &
{
    const auto [it, isNew] = job.occurrences.try_emplace(number);
    auto &occurrence = it->second;
    if (!isNew)
        return occurrence;
    occurrence.number = number;
    occurrence.remainingSteps = static_cast<std::uint32_t>(job.spec.steps.size());
    occurrence.steps.resize(job.spec.steps.size());
    occurrence.finishedRuns.resize(job.spec.steps.size());
    for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
        const auto count = job.spec.steps[step].taskCount;
        occurrence.remainingTasks.push_back(count);
        occurrence.waitingTasks.push_back(count);
        occurrence.firstWaiting.push_back(0);
        occurrence.steps[step].resize(count);
        for (std::uint32_t n = 0; n < count; ++n) {
            auto &task = occurrence.steps[step][n];
            task.job = &job;
            task.occurrence = number;
            task.step = step;
            task.index = n;
            task.phaseSince = m_now;
            task.mayHaveUnknownRun = job.mayRunAlready;
        }
        if (job.mayRunAlready)
            m_unknownRuns.add(job.spec.team, job.spec.steps[step], count);
    }
    for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step)
        updateBacklog(job, number, step);
    return occurrence;
}

auto Steward::openDueOccurrences(Job &job) -> void
{
    while (job.nextOccurrence < job.spec.occurrences) {
        if (job.spec.isScheduled()) {
            const auto due = job.spec.firstDueMilliseconds
                + std::int64_t{job.nextOccurrence} * job.spec.intervalMilliseconds;
            if (m_wallMilliseconds < due)
                return;
        }
        openOccurrence(job, job.nextOccurrence++);
        markDirty(poolOf(job));
    }
}

auto Steward::handle(const steward_event::JobAccepted &event) -> void
{
    if (const auto known = m_jobs.find(event.spec.id); known != m_jobs.end()) {
        learnSteps(*known->second, event);
        return;
    }
    auto owned = std::make_unique<Job>();
    auto &job = *owned;
    job.spec = event.spec;
    job.mayRunAlready = event.mayRunAlready && m_isRecovering;
    // The clock of the member that accepted the job may differ from this one: the age of a job that
    // arrives now is known without them.
    const auto isNew = !event.mayRunAlready || m_wallMilliseconds == 0;
    const auto age = isNew ? 0
                           : std::clamp(m_wallMilliseconds - job.spec.submittedMilliseconds,
                                        std::int64_t{0}, MaxJobAgeMilliseconds);
    job.submittedAt = m_now - milliseconds(age);
    m_jobs.emplace(job.spec.id, std::move(owned));
    updateForecast(job, nullptr);
    job.outcome = event.progress.state();
    job.persistedOutcome = job.outcome;
    job.endedMilliseconds = event.progress.endedMilliseconds;
    if (job.outcome != JobOutcome::Open) {
        job.endedAt = m_now;
        m_endedJobs.push_back(&job);
        return;
    }
    job.number = ++m_lastJobNumber;
    job.isSurplus = !isWithinTeamRate(job);
    m_openJobs[poolOf(job)].emplace(job.number, &job);
    if (std::ranges::any_of(job.spec.steps, &StepSpec::isLongRunning))
        m_longRunningJobs.emplace(job.number, &job);
    m_scheduledJobs.emplace(job.number, &job);
    if (!event.mayRunAlready && !job.spec.isScheduled())
        countAcceptedWork(job);
    restore(job, event.progress);
    openDueOccurrences(job);
    markDirty(poolOf(job));
}

/// Whether the team hasn't used up its rate. Long-running and scheduled jobs don't compete for the
/// room of a peak, and count for no rate.
auto Steward::isWithinTeamRate(const Job &job) -> bool
{
    const auto isExempt =
        job.spec.isScheduled() || std::ranges::any_of(job.spec.steps, &StepSpec::isLongRunning);
    if (isExempt || !m_rules)
        return true;
    const auto team = m_rules->teams.find(job.spec.team);
    return team == m_rules->teams.end()
        || m_entitlement.admit(job.spec.team, team->second.jobsPerSecond, job.submittedAt);
}

/// Applies the progress that earlier stewards have persisted.
auto Steward::restore(Job &job, const JobProgress &progress) -> void
{
    for (const auto &it : progress.tasks) {
        if (it.step >= job.spec.steps.size() || it.occurrence >= job.spec.occurrences
            || it.index >= job.spec.steps[it.step].taskCount) {
            continue;
        }
        auto &occurrence = openOccurrence(job, it.occurrence);
        job.nextOccurrence = std::max(job.nextOccurrence, it.occurrence + 1);
        auto &task = occurrence.steps[it.step][it.index];
        task.failedRuns = it.failedRuns;
        task.crashes = CrashHistory(it.crashedRuns);
        if (task.crashes.isSuspect())
            noteSuspect(task);
        if (!it.possibleCrashes.empty()) {
            task.possibleCrash = it.possibleCrashes.front();
            m_inheritedCrashes.push_back(task.id());
        }
        if (task.crashes.isCause())
            m_verdicts.push_back({m_now, task.id()});
        task.checkpoint = it.checkpoint;
        job.hasStarted = true;
        if (it.isDone)
            finishTask(task);
        if (job.outcome != JobOutcome::Open)
            return;
    }
    // Progress is recorded of tasks with an end only: earlier occurrences may have none yet.
    openOccurrencesBefore(job, job.nextOccurrence);
}

auto Steward::openOccurrencesBefore(Job &job, std::uint32_t end) -> void
{
    for (std::uint32_t n = 0; n < end; ++n)
        openOccurrence(job, n);
    job.nextOccurrence = std::max(job.nextOccurrence, end);
}

auto Steward::handle(const steward_event::JobCancelled &event) -> void
{
    const auto it = m_jobs.find(event.job);
    if (it == m_jobs.end() || it->second->outcome != JobOutcome::Open)
        return;
    endJob(*it->second, JobOutcome::Cancelled);
}

auto Steward::finishTask(Task &task) -> void
{
    if (task.phase == TaskPhase::Done)
        return;
    auto &job = *task.job;
    const auto wasWaiting = task.phase == TaskPhase::Waiting;
    detach(task);
    settleUnknownRun(task);
    task.phase = TaskPhase::Done;
    if (wasWaiting)
        removeWaiting(task);
    task.phaseSince = m_now;
    markChanged(job, WriteUrgency::Relaxed);
    auto &occurrence = job.occurrences.at(task.occurrence);
    if (--occurrence.remainingTasks[task.step] > 0)
        return;
    updateForecast(job, &occurrence);
    updateBacklog(job);
    markDirty(poolOf(job));
    if (--occurrence.remainingSteps > 0)
        return;
    if (++job.completedOccurrences == job.spec.occurrences)
        endJob(job, JobOutcome::Completed);
}

auto Steward::failTask(Task &task, std::uint64_t run) -> void
{
    auto &job = *task.job;
    const auto isCounted = std::ranges::find(task.failedRuns, run) != task.failedRuns.end();
    if (task.spec().isLongRunning || isCounted)
        return;
    task.failedRuns.push_back(run);
    markChanged(job, WriteUrgency::Relaxed);
    const auto attempts = rulesOf(job).attempts;
    if (attempts > 0 && task.failedRuns.size() >= attempts)
        endJob(job, JobOutcome::Failed);
}

auto Steward::endJob(Job &job, JobOutcome outcome) -> void
{
    // The last run of a cancelled job may complete before it is stopped.
    if (job.outcome != JobOutcome::Open)
        return;
    job.outcome = outcome;
    job.endedMilliseconds = m_wallMilliseconds;
    job.endedAt = m_now;
    m_endedJobs.push_back(&job);
    m_openJobs[poolOf(job)].erase(job.number);
    m_longRunningJobs.erase(job.number);
    m_scheduledJobs.erase(job.number);
    removeFromBacklog(job);
    markChanged(job, WriteUrgency::Urgent);
    for (auto &[number, occurrence] : job.occurrences) {
        for (auto &step : occurrence.steps) {
            for (auto &task : step) {
                if (task.phase == TaskPhase::Starting || task.phase == TaskPhase::Running)
                    stopTask(task);
            }
        }
    }
}

auto Steward::markChanged(Job &job, WriteUrgency urgency) -> void
{
    job.change = ++m_lastChange;
    m_actions.emplace_back(steward_action::PersistProgress{job.spec.id, urgency});
}

auto Steward::handle(const steward_event::ProgressPersisted &event) -> void
{
    const auto it = m_jobs.find(event.job);
    if (it == m_jobs.end())
        return;
    auto &job = *it->second;
    job.persistedChange = std::max(job.persistedChange, event.change);
    if (job.persistedChange == job.change)
        job.persistedOutcome = job.outcome;
    if (m_unwrittenStarts.contains(event.job)) {
        for (const auto &pool : m_pacedPools)
            markDirty(pool);
    }
    if (!m_isRecovering)
        return;
    for (const auto &[name, worker] : m_workers) {
        if (worker->hasUnreadEnds)
            pollIfDue(*worker);
    }
}

auto Steward::record(const std::string &job) const -> std::optional<JobRecord>
{
    const auto it = m_jobs.find(job);
    if (it == m_jobs.end())
        return std::nullopt;
    const auto &entry = *it->second;
    auto result = JobRecord{};
    result.change = entry.change;
    result.progress.outcome = static_cast<std::uint8_t>(entry.outcome);
    result.progress.queue = entry.spec.queue;
    result.progress.team = entry.spec.team;
    result.progress.endedMilliseconds = entry.endedMilliseconds;
    if (entry.outcome != JobOutcome::Open)
        return result;
    for (const auto &[number, occurrence] : entry.occurrences) {
        for (const auto &step : occurrence.steps) {
            for (const auto &task : step) {
                const auto isDone = task.phase == TaskPhase::Done;
                if (!isDone && task.failedRuns.empty() && task.checkpoint.empty()
                    && task.crashes.isEmpty() && !task.possibleCrash)
                    continue;
                auto progress = TaskProgress();
                progress.occurrence = task.occurrence;
                progress.step = task.step;
                progress.index = task.index;
                progress.isDone = isDone;
                progress.failedRuns = task.failedRuns;
                if (!isDone) {
                    progress.checkpoint = task.checkpoint;
                    progress.crashedRuns = task.crashes.runs();
                    if (task.possibleCrash)
                        progress.possibleCrashes.push_back(*task.possibleCrash);
                }
                result.progress.tasks.push_back(std::move(progress));
            }
        }
    }
    return result;
}

// Goes by the boot clock: a time of day that jumps must not make the steward forget jobs that
// callers still ask for, as a repeated submission would run them again.
auto Steward::evictEnded(BootTime endedBefore, std::size_t maxCount) -> std::vector<std::string>
{
    auto evicted = std::vector<std::string>();
    for (auto it = m_endedJobs.begin(); it != m_endedJobs.end();) {
        const auto &job = **it;
        if (job.endedAt >= endedBefore || evicted.size() == maxCount)
            break;
        const auto isPersisted =
            job.persistedOutcome != JobOutcome::Open && job.persistedChange == job.change;
        const auto hasRuns = std::ranges::any_of(job.occurrences, [](const auto &occurrence) {
            return std::ranges::any_of(occurrence.second.steps, [](const auto &step) {
                return std::ranges::any_of(step,
                                           [](const Task &task) { return task.worker != nullptr; });
            });
        });
        if (!isPersisted || hasRuns) {
            ++it;
            continue;
        }
        evicted.push_back(job.spec.id);
        it = m_endedJobs.erase(it);
        m_jobs.erase(evicted.back());
    }
    return evicted;
}

auto Steward::view(const std::string &job) const -> JobView
{
    const auto it = m_jobs.find(job);
    if (it == m_jobs.end())
        return {};
    const auto &entry = *it->second;
    // An outcome is reported only after it is persisted: a successor would report the same.
    const auto whileOpen = entry.hasStarted ? JobState::Running : JobState::Queued;
    return {stateOf(entry.persistedOutcome, whileOpen), entry.spec.team};
}

auto Steward::pendingJobs(const QueueName &queue) const -> std::size_t
{
    auto count = std::size_t{0};
    for (const auto &[pool, jobs] : m_openJobs) {
        count += static_cast<std::size_t>(std::ranges::count_if(jobs, [&queue](const auto &it) {
            const auto &job = *it.second;
            return job.spec.queue == queue && !job.hasStarted && !job.spec.isScheduled();
        }));
    }
    return count;
}

auto Steward::findTask(const JobTaskId &id) -> Task *
{
    const auto it = m_jobs.find(id.job);
    if (it == m_jobs.end())
        return nullptr;
    auto &job = *it->second;
    if (id.occurrence >= job.spec.occurrences || id.step >= job.spec.steps.size()
        || id.index >= job.spec.steps[id.step].taskCount) {
        return nullptr;
    }
    const auto occurrence = job.occurrences.find(id.occurrence);
    if (occurrence == job.occurrences.end())
        return nullptr;
    return &occurrence->second.steps[id.step][id.index];
}

/// Returns the task of a run that a worker lists. An earlier steward, whose clock was ahead, may
/// have begun an occurrence that isn't due here yet.
auto Steward::findReportedTask(const JobTaskId &id) -> Task *
{
    const auto it = m_jobs.find(id.job);
    if (it != m_jobs.end()) {
        auto &job = *it->second;
        const auto isBegunEarly = job.outcome == JobOutcome::Open
            && id.occurrence >= job.nextOccurrence && id.occurrence < job.spec.occurrences;
        if (isBegunEarly) {
            openOccurrencesBefore(job, id.occurrence + 1);
            markDirty(poolOf(job));
        }
    }
    return findTask(id);
}

auto Steward::declaredRules(const Job &job) const -> const QueueRules *
{
    if (!m_rules)
        return nullptr;
    const auto it = m_rules->queues.find(job.spec.queue);
    return it == m_rules->queues.end() ? nullptr : &it->second;
}

/// Returns the rules of the job's queue. Jobs of a queue that is no longer declared keep the rules
/// that it had when they were submitted: they end as their callers were told.
auto Steward::rulesOf(const Job &job) const -> const JobRules &
{
    const auto *declared = declaredRules(job);
    return declared == nullptr ? job.spec.rules : *declared;
}

/// Returns the pool of the job's queue, as rulesOf().
auto Steward::poolOf(const Job &job) const -> const PoolName &
{
    const auto *declared = declaredRules(job);
    return declared == nullptr ? job.spec.pool : declared->pool;
}

auto Steward::isReady(const Job &job, const Occurrence &occurrence, std::uint32_t step) const
    -> bool
{
    return std::ranges::all_of(job.spec.steps[step].after, [&occurrence](auto earlier) {
        return occurrence.remainingTasks[earlier] == 0;
    });
}

} // namespace shallotproxy
