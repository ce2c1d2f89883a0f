#include <algorithm>
#include <utility>

#include "steward_state.hpp"

namespace shallotproxy {

namespace {

using std::chrono::milliseconds;

// A worker's clock may be 2 % slow. A lease that ends on that clock is assumed to last longer by
// this fraction.
constexpr double MaxClockError = 0.03;
// Added to a lease for the time until the worker reads its clock and is scheduled.
constexpr milliseconds LeaseSlack{100};
// Size of the range of run numbers that one steward uses for a task; ranges rise with the token.
constexpr std::uint64_t RunsPerToken = 1'000;

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

auto Steward::findReport(const WorkerName &name) const -> const WorkerReport *
{
    const auto it = m_workers.find(name);
    return it == m_workers.end() ? nullptr : &it->second->report;
}

auto Steward::isRegistered(const WorkerReport &report) const -> bool
{
    const auto it = m_workers.find(report.name);
    return it != m_workers.end() && it->second->isRegistered && it->second->report == report;
}

auto Steward::registeredWorkers() const -> std::set<WorkerName>
{
    auto names = std::set<WorkerName>();
    for (const auto &[name, worker] : m_endedWorkers)
        names.insert(name);
    for (const auto &[name, worker] : m_workers) {
        if (worker->isRegistered)
            names.insert(name);
    }
    return names;
}

auto Steward::registerWorker(const WorkerReport &report) -> Worker &
{
    auto &entry = m_workers[report.name];
    const auto isNew = !entry;
    if (isNew)
        entry = std::make_unique<Worker>();
    auto &worker = *entry;
    if (isNew || worker.report.startedMilliseconds != report.startedMilliseconds)
        worker.earlierFirstSeenAt = std::exchange(worker.firstSeenAt, m_now);
    if (!isNew && worker.report.pool != report.pool) {
        std::erase(m_poolWorkers[worker.report.pool], &worker);
        quarantineOf(worker).workerRemoved(HostName(report.name.value()));
    }
    const auto isMoved = isNew || worker.report.pool != report.pool;
    // The next incarnation may carry out an order by the clock of the one before.
    const auto isRestarted =
        !isNew && worker.report.startedMilliseconds != report.startedMilliseconds;
    const auto isUnconfirmed = [](const Task *it) { return it->phase != TaskPhase::Running; };
    if (isRestarted && std::ranges::any_of(worker.runs, isUnconfirmed))
        worker.leaseEndsAt = std::max(worker.leaseEndsAt, latestLeaseEndAfterRestart(worker));
    if (report.isLeaving && !worker.report.isLeaving && !worker.isDraining)
        worker.drainingSince = m_now;
    worker.report = report;
    worker.reportedAt = m_now;
    worker.isRegistered = true;
    worker.isEndSuspected = false;
    if (isMoved) {
        m_poolWorkers[worker.report.pool].push_back(&worker);
        quarantineOf(worker).workerAdded(HostName(report.name.value()));
    }
    markDirty(worker.report.pool);
    if (!worker.isReportCurrent()) {
        // The next poll shows which incarnation is there. Until then its clock isn't known.
        worker.hasClock = false;
        worker.nextPoll = m_now;
    }
    return worker;
}

auto Steward::handle(const steward_event::WorkerReported &event) -> void
{
    const auto &report = event.report;
    if (const auto ended = m_endedWorkers.find(report.name); ended != m_endedWorkers.end()) {
        auto &last = ended->second.report;
        const auto isSameIncarnation = last.startedMilliseconds == report.startedMilliseconds
            && (report.startedMilliseconds != 0 || last == report);
        if (isSameIncarnation) {
            last = report;
            return;
        }
        m_endedWorkers.erase(ended);
    }
    if (!isRegistered(report))
        pollIfDue(registerWorker(report));
}

auto Steward::handle(const steward_event::WorkerRemoved &event) -> void
{
    m_endedWorkers.erase(event.worker);
    if (auto *worker = findWorker(event.worker))
        worker->isRegistered = false;
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
    task.attachedAt = m_now;
    task.activeAtMilliseconds.reset();
    task.listedAt = m_now;
    task.isRunLost = false;
    worker.runs.push_back(&task);
    worker.used += task.spec().reservedResources();
    auto &usage = m_teamLoads[task.job->spec.team];
    usage.total += task.spec().resources;
    if (task.spec().isLongRunning)
        usage.longRunning += task.spec().resources;
}

auto Steward::detach(Task &task) -> void
{
    if (task.worker == nullptr)
        return;
    auto &worker = *task.worker;
    std::erase(worker.runs, &task);
    worker.used -= task.spec().reservedResources();
    auto &usage = m_teamLoads[task.job->spec.team];
    usage.total -= task.spec().resources;
    if (task.spec().isLongRunning)
        usage.longRunning -= task.spec().resources;
    task.worker = nullptr;
    task.isOrderPending = false;
    clearPossibleCrash(task);
    markDirty(worker.report.pool);
}

/// Returns the task to the waiting ones after a run that neither completed nor failed it.
auto Steward::requeue(Task &task) -> void
{
    detach(task);
    if (task.phase == TaskPhase::Done)
        return;
    const auto wasWaiting = std::exchange(task.phase, TaskPhase::Waiting) == TaskPhase::Waiting;
    if (!wasWaiting)
        addWaiting(task);
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

auto Steward::handle(const steward_event::StartAnswered &event) -> void
{
    auto *worker = findWorker(event.worker);
    auto *task = findTask(event.task);
    if (task != nullptr && event.outcome == OrderOutcome::Accepted)
        confirmCrash(*task, event.run);
    if (task != nullptr && event.outcome == OrderOutcome::NotSent)
        removeUnsentCrash(*task, event.run);
    if (worker == nullptr || task == nullptr || task->worker != worker || task->run != event.run)
        return;
    task->isOrderPending = false;
    for (const auto &pool : m_pacedPools)
        markDirty(pool);
    if (event.outcome == OrderOutcome::Unanswered)
        worker->lastUnansweredAt = m_now;
    // The answer may be that of another worker at this address, or, if it is about an earlier run,
    // that of the incarnation before.
    const auto isOfIncarnation =
        event.outcome != OrderOutcome::StaleIncarnation && task->attachedAt >= worker->firstSeenAt;
    if (event.clockMilliseconds != 0 && isOfIncarnation) {
        // The next incarnation, whose clock starts anew, has answered before its restart is known.
        // Goes by when the order was sent: a busy steward reads answers late.
        const auto clockAge = task->startSentAt - worker->clockReadAt;
        const auto tolerance = m_settings.orderResponseTime
            + std::chrono::duration_cast<milliseconds>(std::chrono::abs(clockAge) * MaxClockError);
        const auto hasRestarted = worker->hasClock
            && clockAt(*worker, task->startSentAt) - event.clockMilliseconds > tolerance.count();
        if (hasRestarted) {
            worker->leaseEndsAt =
                std::max(worker->leaseEndsAt, latestLeaseEndAfterRestart(*worker));
        }
        worker->clockMilliseconds = event.clockMilliseconds;
        worker->clockReadAt = m_now;
        worker->hasClock = true;
        worker->latestClockMilliseconds =
            std::max(worker->latestClockMilliseconds, event.clockMilliseconds);
        worker->lastAnswerAt = m_now;
        worker->contact.answered();
        worker->isEndSuspected = false;
    }
    if (isOfIncarnation)
        worker->contact.orderFailed(event.contactLoss, m_now);
    task->wasStartClosed = task->wasStartClosed
        || (isOfIncarnation && event.outcome == OrderOutcome::Unanswered
            && event.contactLoss == ContactLoss::Closed);
    const auto wasStarting = task->phase == TaskPhase::Starting;
    switch (event.outcome) {
    case OrderOutcome::Accepted:
        task->job->hasStarted = true;
        task->confirmedAt = m_now;
        if (!task->activeAtMilliseconds) {
            task->activeAtMilliseconds = event.clockMilliseconds;
            refinePossibleCrash(*task);
            // An earlier order for this run may have begun it.
            task->isPartialRun = task->isPartialRun || task->wasStartResent;
        }
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
        stopRunInDoubt(*task);
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
    const auto isConfirmed =
        task->phase == TaskPhase::Stopping && event.outcome == OrderOutcome::Accepted;
    if (!isConfirmed && event.outcome != OrderOutcome::StaleIncarnation)
        return;
    if (isConfirmed) {
        task->isStopConfirmed = true;
        task->confirmedAt = m_now;
    }
    // The next poll reports the end of the run or lists it no longer, or shows that the worker has
    // ended.
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
    task.startSentAt = m_now;
    task.isOrderPending = true;
    m_actions.emplace_back(steward_action::StartRun{
        task.worker->report.name, task.id(), task.run, task.job->spec.payload, task.checkpoint,
        renewLease(*task.worker),
        std::chrono::duration_cast<milliseconds>(m_now - task.worker->lastAnswerAt),
        task.crashes.runs().size()});
}

auto Steward::startTask(Task &task, Worker &worker) -> void
{
    task.run = std::max(task.run + 1, m_token * RunsPerToken + 1);
    task.phase = TaskPhase::Starting;
    removeWaiting(task);
    task.phaseSince = m_now;
    task.progressPercent = 0;
    task.speedPercent = FullSpeedPercent;
    settleUnknownRun(task);
    task.wasStartResent = false;
    task.isStartInDoubt = false;
    task.isGrouped = false;
    task.isIsolated = false;
    task.contactAge = m_now - worker.lastAnswerAt;
    task.wasStartClosed = false;
    task.isPartialRun = !task.checkpoint.empty();
    const auto usesReservation = task.spec().isLongRunning
        && task.spec().reservedResources().covers(worker.reservedResources);
    if (usesReservation)
        worker.reservedUntil = m_now;
    attach(task, worker);
    sendStart(task);
}

/// Returns the latest time at which a lease can end that is granted now by a reading of the
/// worker's clock of this age.
auto Steward::latestLeaseEnd(Duration lease, Duration clockAge) const -> BootTime
{
    const auto error = std::chrono::duration_cast<Duration>((clockAge + lease) * MaxClockError);
    return m_now + lease + error + LeaseSlack;
}

/// Returns the latest time at which a lease can end on a worker whose restart became known now.
/// Calls that grant a lease by the clock of the incarnation before grant the longest one there, as
/// the new clock starts anew.
auto Steward::latestLeaseEndAfterRestart(const Worker &worker) const -> BootTime
{
    const auto isOpen = worker.isPolling
        || std::ranges::any_of(worker.runs, [](const Task *it) { return it->isOrderPending; });
    const auto lastUnansweredAt = isOpen ? m_now : worker.lastUnansweredAt;
    const auto lastArrival = std::max(m_now, lastUnansweredAt + m_settings.lateCallTime);
    return latestLeaseEnd(m_settings.maxRunLease, {}) + (lastArrival - m_now);
}

/// Grants a new lease and returns its end on the worker's clock. Records the latest time at which
/// it can end on this steward's clock.
auto Steward::renewLease(Worker &worker) -> std::int64_t
{
    const auto elapsed = m_now - worker.clockReadAt;
    const auto lease = std::min(m_settings.runLease, m_settings.maxRunLease);
    worker.leaseEndsAt = std::max(worker.leaseEndsAt, latestLeaseEnd(lease, elapsed));
    return clockAt(worker, m_now) + lease.count();
}

/// Estimates the time on the worker's clock at `at`.
auto Steward::clockAt(const Worker &worker, BootTime at) -> std::int64_t
{
    return worker.clockMilliseconds + toMilliseconds(at - worker.clockReadAt);
}

auto Steward::tickWorker(Worker &worker) -> void
{
    // A worker that answers reports what became of its runs. A worker that this steward was too
    // busy to poll may have completed its runs well before the lease expired.
    const auto isUnresponsive = worker.failedPolls > 0;
    if (!worker.runs.empty() && m_now >= worker.leaseEndsAt && isUnresponsive) {
        handleLostRuns(worker, RunLoss::LeaseExpired);
        requeueAll(worker);
    }
    const auto detachedEndAt = std::max(worker.detachedRunsEndAt, worker.leaseEndsAt);
    if (worker.hasDetachedRuns() && m_now >= detachedEndAt && isUnresponsive)
        clearDetachedRuns(worker);
    const auto runs = worker.runs;
    for (auto *task : runs) {
        exonerate(*task);
        if (task->isOrderPending || m_now < task->orderedAt + m_settings.resendInterval)
            continue;
        if (task->phase == TaskPhase::Stopping && !task->isStopConfirmed)
            sendStop(*task);
        if (task->phase != TaskPhase::Starting)
            continue;
        // Sending the same order again is idempotent: the worker starts a run number only once. It
        // may be the first one to arrive, after the worker's capacity has shrunk.
        const auto fitsStill = worker.report.capacity.covers(worker.used);
        const auto isTimedOut = m_now >= task->phaseSince + m_settings.startTimeout;
        if (isReachable(worker) && !worker.isDraining && fitsStill && !isTimedOut
            && !task->isStartInDoubt && task->job->outcome == JobOutcome::Open) {
            task->wasStartResent = true;
            sendStart(*task);
        } else {
            if (isTimedOut)
                task->failedOn = worker.report.name;
            stopRunInDoubt(*task);
        }
    }
    if (worker.isDraining)
        drain(worker);
    pollIfDue(worker);
}

/// Whether a long-running task is known to serve. Goes by when the poll was sent, as a busy steward
/// may read an answer late. A worker holds an answer back for one wait, and the next one follows
/// after another.
auto Steward::isAvailable(const Task &task) const -> bool
{
    return task.phase == TaskPhase::Running && task.progressPercent >= FullSpeedPercent
        && task.worker->failedPolls == 0
        && m_now < task.worker->answeredPollSentAt + m_settings.pollWait * 3;
}

/// Whether stopping this long-running task keeps its step within `maxUnavailable`. The task itself
/// isn't counted as unavailable: it may serve although no poll has shown it.
auto Steward::mayStopLongRunning(const Task &task) const -> bool
{
    // A task that the previous steward has stopped may still be reported as serving.
    if (m_now < m_startedAt + m_settings.stopTimeout + m_settings.stopReportTime)
        return false;
    const auto &siblings = task.job->occurrences.at(task.occurrence).steps[task.step];
    const auto unavailable = std::ranges::count_if(
        siblings, [this, &task](const Task &it) { return &it != &task && !isAvailable(it); });
    return unavailable < std::max<std::int64_t>(task.spec().maxUnavailable, 1);
}

/// Stops a run whose start order may have been carried out without an answer. A long-running task
/// may serve then: unless its step can do without it, it stays until a poll shows that the run
/// isn't active, or the worker's lease expires.
auto Steward::stopRunInDoubt(Task &task) -> void
{
    // A poll that lists the run ends the start phase.
    const auto isMissing = task.orderedAt < task.worker->answeredPollSentAt;
    const auto isNeeded = task.spec().isLongRunning && task.job->outcome == JobOutcome::Open;
    if (!isNeeded || isMissing || mayStopLongRunning(task)) {
        stopTask(task);
    } else {
        task.isStartInDoubt = true;
    }
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
        && !worker.isEndSuspected && worker.isReportCurrent() && worker.failedPolls < MaxFailedPolls
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

auto Steward::workerLoad(const WorkerName &name) const -> std::optional<WorkerLoad>
{
    const auto it = m_workers.find(name);
    if (it == m_workers.end())
        return std::nullopt;
    const auto &worker = *it->second;
    auto load = WorkerLoad();
    load.hasUnpersistedEnds = worker.hasUnreadEnds || worker.acknowledged < worker.lastReceivedEnd;
    load.isPolled = worker.isPolled;
    load.isDraining = worker.isDraining;
    load.isUsable = isUsable(worker);
    for (const auto *task : worker.runs)
        ++(task->spec().isLongRunning ? load.longRunningRuns : load.otherRuns);
    load.otherRuns += worker.detachedRuns.size() + worker.unknownRuns;
    return load;
}

} // namespace shallotproxy
