#include <algorithm>
#include <utility>

#include "shallotproxy/job/latency_guard.hpp"
#include "steward_state.hpp"

namespace shallotproxy {

namespace {

// A worker reports at most this many ended runs in one poll, and the rest in later ones.
constexpr std::size_t EndedRunsPerPoll = 500;
// A tick that is later than MaxTickDelay shows that the steward lacks processor time, one that is
// earlier than MinTickDelay that it doesn't.
constexpr std::chrono::milliseconds MaxTickDelay{100};
constexpr std::chrono::milliseconds MinTickDelay{25};
constexpr int MaxPollIntervalFactor = 16;

} // namespace

auto Steward::handle(const steward_event::WorkerPolled &event) -> void
{
    auto *worker = findWorker(event.worker);
    if (worker == nullptr)
        return;
    worker->isPolling = false;
    const auto isOfEarlierIncarnation = event.sentAt < worker->firstSeenAt
        && event.startedMilliseconds != 0 && worker->report.startedMilliseconds != 0
        && event.startedMilliseconds != worker->report.startedMilliseconds;
    if (isOfEarlierIncarnation) {
        pollIfDue(*worker);
        return;
    }
    if (worker->startedMilliseconds != 0 && event.startedMilliseconds != 0
        && worker->startedMilliseconds != event.startedMilliseconds) {
        handleRestart(*worker, event.sentAt);
    }
    worker->failedPolls = 0;
    worker->contact.answered();
    worker->lastAnswerAt = m_now;
    worker->answeredPollSentAt = event.sentAt;
    worker->isEndSuspected = false;
    if (std::exchange(worker->isProbeDue, false))
        markDirty(worker->report.pool);
    if (event.startedMilliseconds != 0)
        worker->startedMilliseconds = event.startedMilliseconds;
    noteEarliestEnd(*worker, event);
    worker->clockMilliseconds = event.clockMilliseconds;
    worker->clockReadAt = m_now;
    worker->hasClock = true;
    // A late answer of the incarnation before may have been read after its end was known.
    worker->latestClockMilliseconds = worker->isPolled
        ? std::max(worker->latestClockMilliseconds, event.clockMilliseconds)
        : event.clockMilliseconds;
    if (!worker->isPolled) {
        worker->isPolled = true;
        markDirty(worker->report.pool);
    }
    worker->hasUnreadEnds = event.ended.size() >= EndedRunsPerPoll;
    worker->isRead = worker->isRead || !worker->hasUnreadEnds;
    const auto lastEndBefore = worker->lastReceivedEnd;
    for (const auto &end : event.ended)
        applyEndedRun(*worker, end);
    // The next page follows once these ends are persisted.
    if (!worker->isRead && worker->lastReceivedEnd > lastEndBefore)
        m_recoveryDeadline = m_now + m_settings.recoveryTimeout;
    applyActiveRuns(*worker, event);
    if (!worker->hasUnreadEnds)
        requeueMissingRuns(*worker, event);
    adjustRunSpeeds(*worker);
    auto interval = pollInterval();
    // The registration of the new incarnation follows.
    if (!worker->isReportCurrent() && worker->runs.empty())
        interval = std::max<Duration>(interval, m_settings.resendInterval);
    worker->nextPoll = m_now + interval;
    endRecoveryIfDone();
    drain(*worker);
    pollIfDue(*worker);
}

auto Steward::applyActiveRuns(Worker &worker, const steward_event::WorkerPolled &event) -> void
{
    clearDetachedRuns(worker);
    for (const auto &run : event.active) {
        auto *task = findReportedTask(run.task);
        const auto isAssigned = task != nullptr && task->worker == &worker && task->run == run.run;
        if (!isAssigned) {
            adopt(worker, run);
            continue;
        }
        task->job->hasStarted = true;
        task->listedAt = event.sentAt;
        if (!run.checkpoint.empty())
            task->checkpoint = run.checkpoint;
        if (!task->activeAtMilliseconds) {
            task->activeAtMilliseconds = event.clockMilliseconds;
            task->isPartialRun = true;
            refinePossibleCrash(*task);
        }
        if (!isUnderTest(*task))
            clearPossibleCrash(*task);
        task->progressPercent = run.progressPercent;
        task->latencyOrUsage = run.latencyOrUsage;
        // The worker lists a run whose start order has no answer yet.
        if (task->phase == TaskPhase::Starting && task->orderedAt < event.sentAt) {
            task->phase = TaskPhase::Running;
            task->phaseSince = m_now;
            task->confirmedAt = m_now;
        }
    }
}

/// Slows tasks on spare cores while a task on the same worker is near its latency target.
auto Steward::adjustRunSpeeds(Worker &worker) -> void
{
    auto worstTargetRatio = 0.0;
    for (const auto *task : worker.runs) {
        const auto target = task->spec().latencyTargetMilliseconds;
        if (target > 0 && task->phase == TaskPhase::Running) {
            worstTargetRatio =
                std::max(worstTargetRatio,
                         static_cast<double>(task->latencyOrUsage) / static_cast<double>(target));
        }
    }
    for (auto *task : worker.runs) {
        if (!task->spec().usesSpareCores || task->phase != TaskPhase::Running)
            continue;
        const auto speed = LatencyGuard::nextSpeed(task->speedPercent, worstTargetRatio);
        if (speed == task->speedPercent)
            continue;
        task->speedPercent = speed;
        task->isPartialRun = true;
        m_actions.emplace_back(
            steward_action::SetRunSpeed{worker.report.name, task->id(), task->run, speed});
    }
}

/// Adopts an active run that an earlier steward started, or stops it if it isn't needed any more.
auto Steward::adopt(Worker &worker, const ActiveRun &run) -> void
{
    auto *task = findTask(run.task);
    const auto isNeeded = task != nullptr && task->job->outcome == JobOutcome::Open
        && task->phase == TaskPhase::Waiting && run.run >= task->run && task->worker == nullptr;
    if (!isNeeded) {
        m_actions.emplace_back(steward_action::StopRun{worker.report.name, run.task, run.run});
        addDetachedRun(worker, run.task);
        // An earlier steward may have renewed the lease up to now.
        worker.detachedRunsEndAt = latestLeaseEnd(m_settings.maxRunLease, {});
        return;
    }
    task->job->hasStarted = true;
    task->run = run.run;
    task->phase = TaskPhase::Running;
    removeWaiting(*task);
    task->phaseSince = m_now;
    task->confirmedAt = m_now;
    task->checkpoint = run.checkpoint.empty() ? task->checkpoint : run.checkpoint;
    task->progressPercent = run.progressPercent;
    settleUnknownRun(*task); // this is the newest run
    task->isPartialRun = true;
    attach(*task, worker);
    task->activeAtMilliseconds = worker.latestClockMilliseconds;
    if (!isUnderTest(*task))
        clearPossibleCrash(*task);
    // The earlier steward may have granted the longest lease, if the worker had restarted.
    worker.leaseEndsAt = std::max(worker.leaseEndsAt, latestLeaseEnd(m_settings.maxRunLease, {}));
}

auto Steward::applyEndedRun(Worker &worker, const EndedRun &end) -> void
{
    if (end.sequence <= worker.lastReceivedEnd)
        return;
    worker.lastReceivedEnd = end.sequence;
    auto *task = findReportedTask(end.task);
    const auto isAssigned = task != nullptr && task->worker == &worker && task->run == end.run;
    // Ends of runs that an earlier steward started are reported in any order.
    const auto isFromEarlierSteward = task != nullptr && !isAssigned
        && task->phase != TaskPhase::Done && task->job->outcome == JobOutcome::Open;
    if (isAssigned || isFromEarlierSteward)
        applyRunEnd(*task, worker, end, isAssigned);
    // Also an end that changes nothing: it may be needed again if an earlier change of the job,
    // such as its outcome, is lost with this steward.
    worker.unpersistedEnds.push_back({end.sequence, task == nullptr ? std::string() : end.task.job,
                                      task == nullptr ? 0 : task->job->change});
}

auto Steward::applyRunEnd(Task &task, Worker &worker, const EndedRun &end, bool isAssigned) -> void
{
    const auto isNewest = isAssigned || (task.phase == TaskPhase::Waiting && end.run >= task.run);
    if (isNewest)
        task.run = end.run;
    if (task.possibleCrash && end.run >= task.possibleCrash->run)
        clearPossibleCrash(task);
    task.job->hasStarted = true;
    if (isNewest && !end.checkpoint.empty() && end.end != RunEnd::Done) {
        task.checkpoint = end.checkpoint;
        markChanged(*task.job, WriteUrgency::Relaxed);
    }
    const auto host = HostName(worker.report.name.value());
    const auto taskId = TaskId(end.task.job + '.' + std::to_string(end.task.step) + '.'
                               + std::to_string(end.task.index));
    if (isAssigned)
        observeRunTime(task, worker, end);
    const auto isDone = end.end == RunEnd::Done && !task.spec().isLongRunning;
    if (isDone && (isAssigned || task.phase == TaskPhase::Waiting)) {
        quarantineOf(worker).runSucceeded(host, taskId);
        finishTask(task);
        return;
    }
    if (isAssigned)
        requeue(task);
    if (end.end != RunEnd::Failed)
        return;
    task.failedOn = worker.report.name;
    quarantineOf(worker).runFailed(host, taskId, m_now);
    failTask(task, end.run);
}

/// Requeues the runs that the worker lists neither as active nor as ended if they were confirmed
/// before this poll was sent, or if their start orders can't be carried out any more.
auto Steward::requeueMissingRuns(Worker &worker, const steward_event::WorkerPolled &event) -> void
{
    const auto runs = worker.runs;
    for (auto *task : runs) {
        const auto isConfirmed = task->phase == TaskPhase::Running
            || (task->phase == TaskPhase::Stopping && task->isStopConfirmed);
        // A run that is being stopped occupies its resources until its end is reported; a run that
        // had not begun reports none.
        const auto settledAt = task->phase == TaskPhase::Stopping
            ? task->confirmedAt + m_settings.stopTimeout
            : task->confirmedAt;
        const auto isSettled = isConfirmed && settledAt < event.sentAt;
        // A run that has been active may still be stopping although it isn't listed.
        const auto isStartTooOld = task->phase == TaskPhase::Stopping && !task->activeAtMilliseconds
            && task->startSentAt + m_settings.lateCallTime + m_settings.stopTimeout < event.sentAt;
        if (!isSettled && !isStartTooOld)
            continue;
        const auto id = task->id();
        const auto isActive = std::ranges::any_of(event.active, [task, &id](const ActiveRun &it) {
            return it.run == task->run && it.task == id;
        });
        if (!isActive)
            requeue(*task);
    }
}

auto Steward::handle(const steward_event::PollFailed &event) -> void
{
    auto *worker = findWorker(event.worker);
    if (worker == nullptr)
        return;
    worker->isPolling = false;
    if (event.outcome == OrderOutcome::Superseded) {
        m_actions.emplace_back(steward_action::StepDown{event.worker});
        return;
    }
    if (event.outcome == OrderOutcome::Unanswered)
        worker->lastUnansweredAt = m_now;
    // Another worker answers at the address of one that has ended.
    const auto contactLoss =
        event.outcome == OrderOutcome::StaleIncarnation ? ContactLoss::Closed : event.contactLoss;
    worker->contact.pollFailed(contactLoss, m_now);
    const auto isGone = event.outcome == OrderOutcome::StaleIncarnation
        && endWorker(*worker, RunLoss::Ended, event.sentAt);
    if (isGone) {
        m_actions.emplace_back(
            steward_action::ReportWorkerEnd{event.worker, EndEvidence::Replaced});
        return;
    }
    ++worker->failedPolls;
    worker->acknowledged = 0; // the poll may not have been carried out
    if (worker->contact.hasEnded() || worker->contact.isSilent())
        recordPossibleCrash(*worker);
    const auto backoff =
        std::min(m_settings.resendInterval * worker->failedPolls, m_settings.pollWait);
    worker->nextPoll = m_now + (isUnlisted(*worker) ? m_settings.unlistedRetryInterval : backoff);
}

/// Counts the resources of a listed run that is being stopped and that no task is attached to.
auto Steward::addDetachedRun(Worker &worker, const JobTaskId &task) -> void
{
    const auto job = m_jobs.find(task.job);
    if (job == m_jobs.end() || task.step >= job->second->spec.steps.size()) {
        ++worker.unknownRuns;
        return;
    }
    const auto &team = job->second->spec.team;
    const auto &step = job->second->spec.steps[task.step];
    worker.detachedRuns.push_back({team, step.reservedResources(), step.resources});
    worker.used += step.reservedResources();
    m_teamLoads[team].total += step.resources;
}

auto Steward::clearDetachedRuns(Worker &worker) -> void
{
    if (worker.hasDetachedRuns())
        markDirty(worker.report.pool);
    for (const auto &it : worker.detachedRuns) {
        worker.used -= it.reserved;
        m_teamLoads[it.team].total -= it.resources;
    }
    worker.detachedRuns.clear();
    worker.unknownRuns = 0;
}

/// Returns the highest sequence number up to which all ends are persisted, and drops those ends.
auto Steward::highestAcknowledgeable(Worker &worker) -> std::uint64_t
{
    while (!worker.unpersistedEnds.empty()) {
        const auto &first = worker.unpersistedEnds.front();
        const auto job = m_jobs.find(first.job);
        if (job != m_jobs.end() && job->second->persistedChange < first.change)
            break;
        worker.lastPersistedEnd = first.sequence;
        worker.unpersistedEnds.pop_front();
    }
    return worker.lastPersistedEnd;
}

/// Polls the worker if it is time. A worker with runs is polled continually, an idle one only until
/// all its ends are acknowledged and its registered incarnation has answered.
auto Steward::pollIfDue(Worker &worker) -> void
{
    if (worker.isPolling || m_now < worker.nextPoll)
        return;
    const auto acknowledged = highestAcknowledgeable(worker);
    const auto isNeeded = !worker.isPolled || worker.isProbeDue || !worker.runs.empty()
        || worker.hasDetachedRuns() || acknowledged > worker.acknowledged || worker.failedPolls > 0
        || !worker.isReportCurrent() || (worker.hasUnreadEnds && worker.unpersistedEnds.empty());
    const auto mayHaveRuns = worker.isRegistered || !worker.runs.empty() || worker.hasDetachedRuns()
        || worker.hasUnreadEnds;
    if (!isNeeded || !mayHaveRuns)
        return;
    worker.isPolling = true;
    const auto mayWait = worker.isPolled && !worker.runs.empty() && worker.failedPolls == 0
        && worker.unpersistedEnds.empty();
    // An unresponsive worker gets no new lease, so that the end of its runs is known.
    const auto needsLease =
        worker.hasClock && !worker.runs.empty() && worker.failedPolls < MaxFailedPolls;
    // Another incarnation numbers its ends anew: it must not take an acknowledgement for its own.
    const auto mayHaveRestarted = worker.failedPolls > 0 || !worker.isReportCurrent();
    const auto isNews = acknowledged > worker.acknowledged && !mayHaveRestarted;
    if (isNews)
        worker.acknowledged = acknowledged;
    // The speed of tasks on spare cores depends on the latencies that each poll reports.
    const auto hasSpareCoreRuns =
        std::ranges::any_of(worker.runs, [](const Task *it) { return it->spec().usesSpareCores; });
    auto wait = hasSpareCoreRuns ? m_settings.throttledPollWait : m_settings.pollWait;
    // Other tasks wait until a run under test is known to be active.
    if (hasRunUnderTest(worker))
        wait = m_settings.testedPollWait;
    m_actions.emplace_back(steward_action::PollWorker{
        worker.report.name, needsLease ? renewLease(worker) : 0, isNews ? acknowledged : 0,
        mayWait ? static_cast<int>(wait.count()) : 0});
}

/// Doubles the time between polls with each late tick, and shortens it step by step.
auto Steward::adjustPollInterval() -> void
{
    const auto last = std::exchange(m_lastTickAt, m_now);
    if (last == BootTime())
        return;
    const auto delay = m_now - last - m_settings.tickInterval;
    if (delay > MaxTickDelay) {
        m_pollIntervalFactor = std::min(m_pollIntervalFactor * 2, MaxPollIntervalFactor);
    } else if (delay < MinTickDelay) {
        m_pollIntervalFactor = std::max(m_pollIntervalFactor - 1, 1);
    }
}

auto Steward::pollInterval() const -> Duration
{
    const auto interval =
        std::max<Duration>(m_settings.minPollInterval,
                           m_settings.pollIntervalPerWorker * static_cast<int>(m_workers.size()));
    return std::max<Duration>(
        interval, std::min<Duration>(interval * m_pollIntervalFactor, m_settings.maxPollInterval));
}

/// Whether a worker that never answered is on no listed host. The registration of a worker whose
/// host was moved stays for seconds.
auto Steward::isUnlisted(const Worker &worker) const -> bool
{
    return !worker.isPolled && m_hasHostList && !m_expectedWorkers.contains(worker.report.name);
}

} // namespace shallotproxy
