#include <algorithm>

#include "shallotproxy/job/latency_guard.hpp"
#include "steward_state.hpp"

namespace shallotproxy {

namespace {

using std::chrono::milliseconds;

// A worker's clock may be 2 % slow. A lease that ends on that clock is assumed to last longer by
// this fraction.
constexpr double MaxClockError = 0.03;
// Added to a lease for the time until the worker reads its clock and is scheduled.
constexpr milliseconds LeaseSlack{100};
// Number of failed polls in a row after which a worker counts as unresponsive.
constexpr int MaxFailedPolls = 2;
// Size of the range of run numbers that one steward uses for a task; ranges rise with the token.
constexpr std::uint64_t RunsPerToken = 1'000;
// A worker reports at most this many ended runs in one poll, and the rest in later ones.
constexpr std::size_t EndedRunsPerPoll = 500;
constexpr int FullSpeedPercent = 100;

auto toMilliseconds(Duration duration) -> std::int64_t
{
    return std::chrono::floor<milliseconds>(duration).count();
}

} // namespace

auto Steward::findWorker(const WorkerName &name) -> Worker *
{
    const auto it = m_workers.find(name);
    return it == m_workers.end() ? nullptr : it->second.get();
}

auto Steward::handle(const steward_event::WorkerReported &event) -> void
{
    auto &entry = m_workers[event.report.name];
    const auto isNew = !entry;
    if (isNew)
        entry = std::make_unique<Worker>();
    auto &worker = *entry;
    if (!isNew && worker.report.pool != event.report.pool)
        std::erase(m_poolWorkers[worker.report.pool], &worker);
    const auto isMoved = isNew || worker.report.pool != event.report.pool;
    if (event.report.isLeaving && !worker.report.isLeaving && !worker.isDraining)
        worker.drainingSince = m_now;
    worker.report = event.report;
    worker.isRegistered = true;
    if (isMoved)
        m_poolWorkers[worker.report.pool].push_back(&worker);
    markDirty(worker.report.pool);
    if (isNew) {
        worker.registeredAt = m_now;
        m_quarantine.workerAdded(HostName(event.report.name.value()));
    }
    pollIfDue(worker);
}

auto Steward::handle(const steward_event::WorkerRemoved &event) -> void
{
    if (auto *worker = findWorker(event.worker))
        worker->isRegistered = false;
}

auto Steward::handle(const steward_event::WorkerEnded &event) -> void
{
    auto *worker = findWorker(event.worker);
    if (worker == nullptr)
        return;
    m_expectedWorkers.erase(event.worker);
    requeueAll(*worker);
    std::erase(m_poolWorkers[worker->report.pool], worker);
    m_workers.erase(event.worker);
    m_quarantine.workerRemoved(HostName(event.worker.value()));
    endRecoveryIfDone();
}

auto Steward::handle(const steward_event::WorkerDrainChanged &event) -> void
{
    auto *worker = findWorker(event.worker);
    if (worker == nullptr || worker->isDraining == event.isDraining)
        return;
    worker->isDraining = event.isDraining;
    worker->drainingSince = m_now;
    markDirty(worker->report.pool);
    drain(*worker);
}

auto Steward::attach(Task &task, Worker &worker) -> void
{
    if (worker.runs.empty())
        worker.busySince = m_now;
    task.worker = &worker;
    worker.runs.push_back(&task);
    worker.used += task.spec().reservedResources();
    m_teamUsage[task.job->spec.team] += task.spec().resources;
}

auto Steward::detach(Task &task) -> void
{
    if (task.worker == nullptr)
        return;
    auto &worker = *task.worker;
    std::erase(worker.runs, &task);
    worker.used -= task.spec().reservedResources();
    m_teamUsage[task.job->spec.team] -= task.spec().resources;
    task.worker = nullptr;
    task.isOrderPending = false;
    markDirty(worker.report.pool);
}

/// Counts the resources of a listed run that is being stopped and that no task is attached to.
auto Steward::addDetachedRun(Worker &worker, const Task *task) -> void
{
    if (task == nullptr) {
        ++worker.unknownRuns;
        return;
    }
    const auto &team = task->job->spec.team;
    worker.detachedRuns.push_back({team, task->spec().reservedResources(), task->spec().resources});
    worker.used += task->spec().reservedResources();
    m_teamUsage[team] += task->spec().resources;
}

auto Steward::clearDetachedRuns(Worker &worker) -> void
{
    if (worker.hasDetachedRuns())
        markDirty(worker.report.pool);
    for (const auto &it : worker.detachedRuns) {
        worker.used -= it.reserved;
        m_teamUsage[it.team] -= it.resources;
    }
    worker.detachedRuns.clear();
    worker.unknownRuns = 0;
}

/// Returns the task to the waiting ones after a run that neither completed nor failed it.
auto Steward::requeue(Task &task) -> void
{
    detach(task);
    if (task.phase == TaskPhase::Done)
        return;
    if (task.phase != TaskPhase::Waiting)
        ++task.job->waitingTasks;
    task.phase = TaskPhase::Waiting;
    task.phaseSince = m_now;
    task.progressPercent = 0;
    markDirty(poolOf(*task.job));
}

auto Steward::requeueAll(Worker &worker) -> void
{
    const auto runs = worker.runs;
    for (auto *task : runs)
        requeue(*task);
    clearDetachedRuns(worker);
    worker.leaseEndsAt = m_now;
}

/// Handles the restart of a worker under the same name.
///
/// An earlier start order may still reach the new incarnation, whose clock may still accept the old
/// lease. Runs with such orders are therefore stopped there before they are placed elsewhere.
auto Steward::handleRestart(Worker &worker) -> void
{
    const auto runs = worker.runs;
    for (auto *task : runs) {
        if (task->phase == TaskPhase::Running) {
            requeue(*task);
            continue;
        }
        task->phase = TaskPhase::Stopping;
        task->isStopConfirmed = false;
        sendStop(*task);
    }
    clearDetachedRuns(worker);
    worker.lastReceivedEnd = 0;
    worker.lastPersistedEnd = 0;
    worker.acknowledged = 0;
    worker.unpersistedEnds.clear();
    worker.isPolled = false;
    worker.hasClock = false;
}

auto Steward::handle(const steward_event::WorkerPolled &event) -> void
{
    auto *worker = findWorker(event.worker);
    if (worker == nullptr)
        return;
    worker->isPolling = false;
    worker->failedPolls = 0;
    worker->lastAnswerAt = m_now;
    if (worker->startedMilliseconds != 0 && event.startedMilliseconds != 0
        && worker->startedMilliseconds != event.startedMilliseconds) {
        handleRestart(*worker);
    }
    if (event.startedMilliseconds != 0)
        worker->startedMilliseconds = event.startedMilliseconds;
    worker->clockMilliseconds = event.clockMilliseconds;
    worker->clockReadAt = m_now;
    worker->hasClock = true;
    if (!worker->isPolled) {
        worker->isPolled = true;
        markDirty(worker->report.pool);
    }
    for (const auto &end : event.ended)
        applyEndedRun(*worker, end);
    applyActiveRuns(*worker, event);
    if (event.ended.size() < EndedRunsPerPoll)
        requeueMissingRuns(*worker, event);
    adjustRunSpeeds(*worker);
    worker->nextPoll = m_now
        + std::max<Duration>(m_settings.minPollInterval,
                             m_settings.pollIntervalPerWorker * static_cast<int>(m_workers.size()));
    endRecoveryIfDone();
    drain(*worker);
    pollIfDue(*worker);
}

auto Steward::applyActiveRuns(Worker &worker, const steward_event::WorkerPolled &event) -> void
{
    clearDetachedRuns(worker);
    for (const auto &run : event.active) {
        auto *task = findTask(run.task);
        const auto isAssigned = task != nullptr && task->worker == &worker && task->run == run.run;
        if (!isAssigned) {
            adopt(worker, run);
            continue;
        }
        if (!run.checkpoint.empty())
            task->checkpoint = run.checkpoint;
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
        addDetachedRun(worker, task);
        return;
    }
    --task->job->waitingTasks;
    task->job->hasStarted = true;
    task->run = run.run;
    task->phase = TaskPhase::Running;
    task->phaseSince = m_now;
    task->confirmedAt = m_now;
    task->checkpoint = run.checkpoint.empty() ? task->checkpoint : run.checkpoint;
    task->progressPercent = run.progressPercent;
    task->mayHaveUnknownRun = false; // this is the newest run
    attach(*task, worker);
    // The earlier steward's lease may last as long as a lease that is granted now.
    renewLease(worker);
}

auto Steward::applyEndedRun(Worker &worker, const EndedRun &end) -> void
{
    if (end.sequence <= worker.lastReceivedEnd)
        return;
    worker.lastReceivedEnd = end.sequence;
    auto *task = findTask(end.task);
    const auto changeBefore = m_lastChange;
    const auto isAssigned = task != nullptr && task->worker == &worker && task->run == end.run;
    // Ends of runs that an earlier steward started are reported in any order.
    const auto isFromEarlierSteward = task != nullptr && !isAssigned
        && task->phase != TaskPhase::Done && task->job->outcome == JobOutcome::Open;
    if (isAssigned || isFromEarlierSteward)
        applyRunEnd(*task, worker, end, isAssigned);
    const auto isChanged = m_lastChange != changeBefore && task != nullptr;
    worker.unpersistedEnds.push_back({end.sequence, isChanged ? task->job->spec.id : std::string(),
                                      isChanged ? task->job->change : 0});
}

auto Steward::applyRunEnd(Task &task, Worker &worker, const EndedRun &end, bool isAssigned) -> void
{
    const auto isNewest = isAssigned || (task.phase == TaskPhase::Waiting && end.run >= task.run);
    if (isNewest)
        task.run = end.run;
    task.job->hasStarted = true;
    if (isNewest && !end.checkpoint.empty() && end.end != RunEnd::Done) {
        task.checkpoint = end.checkpoint;
        markChanged(*task.job, false);
    }
    const auto host = HostName(worker.report.name.value());
    const auto taskId = TaskId(end.task.job + '.' + std::to_string(end.task.step) + '.'
                               + std::to_string(end.task.index));
    const auto isDone = end.end == RunEnd::Done && !task.spec().isLongRunning;
    if (isDone && (isAssigned || task.phase == TaskPhase::Waiting)) {
        m_quarantine.runSucceeded(host, taskId);
        finishTask(task);
        return;
    }
    if (isAssigned)
        requeue(task);
    if (end.end != RunEnd::Failed)
        return;
    task.failedOn = worker.report.name;
    m_quarantine.runFailed(host, taskId, m_now);
    failTask(task, end.run);
}

/// Requeues the runs that were confirmed before this poll was sent and that the worker lists
/// neither as active nor as ended.
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
        if (!isConfirmed || settledAt >= event.sentAt)
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
    if (event.outcome == OrderOutcome::StaleIncarnation)
        handleRestart(*worker);
    ++worker->failedPolls;
    const auto backoff =
        std::min(m_settings.resendInterval * worker->failedPolls, m_settings.pollWait);
    worker->nextPoll = m_now + backoff;
}

auto Steward::handle(const steward_event::StartAnswered &event) -> void
{
    auto *worker = findWorker(event.worker);
    auto *task = findTask(event.task);
    if (worker == nullptr || task == nullptr || task->worker != worker || task->run != event.run)
        return;
    task->isOrderPending = false;
    if (event.clockMilliseconds != 0) {
        worker->clockMilliseconds = event.clockMilliseconds;
        worker->clockReadAt = m_now;
        worker->hasClock = true;
        worker->lastAnswerAt = m_now;
    }
    const auto wasStarting = task->phase == TaskPhase::Starting;
    switch (event.outcome) {
    case OrderOutcome::Accepted:
        task->confirmedAt = m_now;
        if (wasStarting) {
            task->phase = TaskPhase::Running;
            task->phaseSince = m_now;
        }
        pollIfDue(*worker);
        return;
    case OrderOutcome::Superseded:
        m_actions.emplace_back(steward_action::StepDown{event.worker});
        return;
    case OrderOutcome::Unanswered:
        // tickWorker() sends the order again or stops the task.
        worker->backoffUntil = m_now + m_settings.unhealthyBackoff;
        return;
    case OrderOutcome::StaleRun:
        if (wasStarting && !task->wasStartResent)
            break;
        // An earlier start order for this run was carried out, and the run has ended. The next poll
        // reports how.
        if (wasStarting) {
            task->phase = TaskPhase::Running;
            task->phaseSince = m_now;
            task->confirmedAt = m_now;
        }
        worker->nextPoll = m_now;
        pollIfDue(*worker);
        return;
    case OrderOutcome::Unhealthy:
    case OrderOutcome::NotSent:
    case OrderOutcome::InsufficientResources:
    case OrderOutcome::LeaseExpired:
    case OrderOutcome::Invalid:
    case OrderOutcome::StaleIncarnation:
        break;
    }
    // This order started nothing, but an earlier one may still be in flight.
    worker->backoffUntil = m_now + m_settings.unhealthyBackoff;
    worker->nextPoll = m_now;
    if (wasStarting && !task->wasStartResent) {
        requeue(*task);
    } else if (wasStarting) {
        stopTask(*task);
    }
    pollIfDue(*worker);
}

auto Steward::handle(const steward_event::StopAnswered &event) -> void
{
    auto *worker = findWorker(event.worker);
    auto *task = findTask(event.task);
    if (event.outcome == OrderOutcome::Superseded) {
        m_actions.emplace_back(steward_action::StepDown{event.worker});
        return;
    }
    if (worker == nullptr || task == nullptr || task->worker != worker || task->run != event.run)
        return;
    task->isOrderPending = false;
    if (task->phase != TaskPhase::Stopping || event.outcome != OrderOutcome::Accepted)
        return;
    // The next poll reports the end of the run or lists it no longer.
    task->isStopConfirmed = true;
    task->confirmedAt = m_now;
    worker->nextPoll = m_now;
    pollIfDue(*worker);
}

auto Steward::stopTask(Task &task) -> void
{
    if (task.worker == nullptr || task.phase == TaskPhase::Stopping)
        return;
    task.phase = TaskPhase::Stopping;
    task.phaseSince = m_now;
    task.isStopConfirmed = false;
    sendStop(task);
}

auto Steward::sendStop(Task &task) -> void
{
    task.orderedAt = m_now;
    task.isOrderPending = true;
    m_actions.emplace_back(steward_action::StopRun{task.worker->report.name, task.id(), task.run});
}

auto Steward::sendStart(Task &task) -> void
{
    task.orderedAt = m_now;
    task.isOrderPending = true;
    m_actions.emplace_back(steward_action::StartRun{task.worker->report.name, task.id(), task.run,
                                                    task.job->spec.payload, task.checkpoint,
                                                    renewLease(*task.worker)});
}

auto Steward::startTask(Task &task, Worker &worker) -> void
{
    --task.job->waitingTasks;
    task.job->hasStarted = true;
    task.run = std::max(task.run + 1, m_token * RunsPerToken + 1);
    task.phase = TaskPhase::Starting;
    task.phaseSince = m_now;
    task.progressPercent = 0;
    task.speedPercent = FullSpeedPercent;
    task.mayHaveUnknownRun = false;
    task.wasStartResent = false;
    attach(task, worker);
    sendStart(task);
}

/// Grants a new lease and returns its end on the worker's clock. Records the latest time at which
/// it can end on this steward's clock.
auto Steward::renewLease(Worker &worker) -> std::int64_t
{
    const auto elapsed = m_now - worker.clockReadAt;
    const auto lease = std::min(m_settings.runLease, m_settings.maxRunLease);
    const auto error = std::chrono::duration_cast<Duration>((elapsed + lease) * MaxClockError);
    worker.leaseEndsAt = std::max(worker.leaseEndsAt, m_now + lease + error + LeaseSlack);
    return worker.clockMilliseconds + toMilliseconds(elapsed) + lease.count();
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
/// its last ends are acknowledged.
auto Steward::pollIfDue(Worker &worker) -> void
{
    if (worker.isPolling || m_now < worker.nextPoll)
        return;
    const auto acknowledged = highestAcknowledgeable(worker);
    const auto isNeeded = !worker.isPolled || !worker.runs.empty() || worker.hasDetachedRuns()
        || acknowledged > worker.acknowledged || worker.failedPolls > 0;
    if (!isNeeded || (!worker.isRegistered && worker.runs.empty()))
        return;
    if (!worker.isPolled && !mayExist(worker))
        return;
    worker.isPolling = true;
    const auto mayWait = worker.isPolled && !worker.runs.empty() && worker.failedPolls == 0
        && worker.unpersistedEnds.empty();
    // An unresponsive worker gets no new lease, so that the end of its runs is known.
    const auto needsLease =
        worker.hasClock && !worker.runs.empty() && worker.failedPolls < MaxFailedPolls;
    worker.acknowledged = acknowledged;
    // The speed of tasks on spare cores depends on the latencies that each poll reports.
    const auto hasSpareCoreRuns =
        std::ranges::any_of(worker.runs, [](const Task *it) { return it->spec().usesSpareCores; });
    const auto wait = hasSpareCoreRuns ? m_settings.throttledPollWait : m_settings.pollWait;
    m_actions.emplace_back(
        steward_action::PollWorker{worker.report.name, needsLease ? renewLease(worker) : 0,
                                   acknowledged, mayWait ? static_cast<int>(wait.count()) : 0});
}

/// Whether a worker that was never polled may exist. The registration of a worker whose host was
/// moved stays for seconds, and a new worker may be missing from the list of hosts.
auto Steward::mayExist(const Worker &worker) const -> bool
{
    if (!m_hostListAt)
        return m_now >= m_startedAt + m_settings.hostListDelay;
    return m_expectedWorkers.contains(worker.report.name)
        || worker.registeredAt + m_settings.hostListDelay > *m_hostListAt;
}

auto Steward::tickWorker(Worker &worker) -> void
{
    // A worker that answers reports what became of its runs. A worker that this steward was too
    // busy to poll may have completed its runs well before the lease expired.
    const auto isUnresponsive = worker.failedPolls > 0;
    if (!worker.runs.empty() && m_now >= worker.leaseEndsAt && isUnresponsive)
        requeueAll(worker);
    const auto runs = worker.runs;
    for (auto *task : runs) {
        if (task->isOrderPending || m_now < task->orderedAt + m_settings.resendInterval)
            continue;
        if (task->phase == TaskPhase::Stopping && !task->isStopConfirmed)
            sendStop(*task);
        if (task->phase != TaskPhase::Starting)
            continue;
        // Sending the same order again is idempotent: the worker starts a run number only once.
        if (isReachable(worker) && !worker.isDraining && task->job->outcome == JobOutcome::Open) {
            task->wasStartResent = true;
            sendStart(*task);
        } else
            stopTask(*task);
    }
    if (worker.isDraining)
        drain(worker);
    pollIfDue(worker);
}

/// Whether a long-running task is known to serve.
auto Steward::isAvailable(const Task &task) const -> bool
{
    return task.phase == TaskPhase::Running && task.progressPercent >= FullSpeedPercent
        && task.worker->failedPolls == 0
        && m_now < task.worker->lastAnswerAt + m_settings.pollWait * 2;
}

/// Whether stopping this long-running task keeps its step within `maxUnavailable`. The task itself
/// isn't counted as unavailable: it may serve although no poll has shown it.
auto Steward::mayStopLongRunning(const Task &task) const -> bool
{
    // A task that the previous steward has stopped may still be reported as serving.
    if (m_now < m_startedAt + m_settings.takeoverSettleTime)
        return false;
    const auto &siblings = task.job->occurrences.at(task.occurrence).steps[task.step];
    const auto unavailable = std::ranges::count_if(
        siblings, [this, &task](const Task &it) { return &it != &task && !isAvailable(it); });
    return unavailable < std::max<std::int64_t>(task.spec().maxUnavailable, 1);
}

/// Stops those runs of a draining or leaving worker whose jobs allow it now.
auto Steward::drain(Worker &worker) -> void
{
    if (!worker.isDraining && !worker.report.isLeaving)
        return;
    const auto runs = worker.runs;
    for (auto *task : runs) {
        if (task->phase != TaskPhase::Running)
            continue;
        // On a leaving worker, finite runs that save no progress go on: they may end in time.
        if (!worker.isDraining && !task->spec().isLongRunning && !task->spec().savesProgress)
            continue;
        const auto gracePeriod = task->spec().savesProgress ? m_settings.checkpointGracePeriod
                                                            : m_settings.drainGracePeriod;
        const auto mayStop = task->spec().isLongRunning
            ? mayStopLongRunning(*task)
            : m_now >= worker.drainingSince + gracePeriod;
        if (mayStop)
            stopTask(*task);
    }
}

/// Whether runs may start on the worker: it is registered, serves, and has answered lately.
auto Steward::isReachable(const Worker &worker) const -> bool
{
    return worker.isRegistered && worker.isPolled && worker.hasClock && !worker.report.isLeaving
        && worker.isReportCurrent() && worker.failedPolls < MaxFailedPolls
        && !m_closedDataCentres.contains(worker.report.dataCentre)
        && (worker.runs.empty()
            || m_now
                < std::max(worker.lastAnswerAt, worker.busySince) + m_settings.responseTimeout);
}

/// Whether the worker is reachable and shows no sign that it leaves orders unanswered.
auto Steward::isUsable(const Worker &worker) const -> bool
{
    const auto isOverdue = [this](const Task *it) {
        return it->isOrderPending && m_now >= it->orderedAt + m_settings.orderResponseTime;
    };
    return isReachable(worker) && m_now >= worker.backoffUntil
        && std::ranges::none_of(worker.runs, isOverdue);
}

auto Steward::expectWorkers(std::set<WorkerName> workers) -> void
{
    m_expectedWorkers = std::move(workers);
    m_hostListAt = m_now;
    endRecoveryIfDone();
}

/// Ends the recovery once every expected worker has been polled or the timeout is over. Until then,
/// tasks that an earlier steward started may be running on a worker that hasn't been polled.
auto Steward::endRecoveryIfDone() -> void
{
    if (!m_isRecovering)
        return;
    const auto isPolled = [this](const WorkerName &name) {
        const auto it = m_workers.find(name);
        return it != m_workers.end() && it->second->isPolled;
    };
    // A registered worker that belongs to no host any more has ended.
    const auto isAllPolled = m_hostListAt && std::ranges::all_of(m_expectedWorkers, isPolled);
    if (!isAllPolled && m_now < m_recoveryDeadline)
        return;
    m_isRecovering = false;
    for (const auto &[pool, jobs] : m_openJobs)
        markDirty(pool);
}

auto Steward::workerLoad(const WorkerName &name) const -> std::optional<WorkerLoad>
{
    const auto it = m_workers.find(name);
    if (it == m_workers.end())
        return std::nullopt;
    const auto &worker = *it->second;
    auto load = WorkerLoad();
    load.hasUnpersistedEnds = worker.acknowledged < worker.lastReceivedEnd;
    load.isPolled = worker.isPolled;
    load.isDraining = worker.isDraining;
    load.isUsable = isUsable(worker);
    for (const auto *task : worker.runs)
        ++(task->spec().isLongRunning ? load.longRunningRuns : load.otherRuns);
    load.otherRuns += worker.detachedRuns.size() + worker.unknownRuns;
    return load;
}

} // namespace shallotproxy
