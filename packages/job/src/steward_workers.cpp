#include <algorithm>

#include "shallotproxy/job/latency_guard.hpp"
#include "steward_state.hpp"

namespace shallotproxy {

namespace {

using std::chrono::milliseconds;

// A worker's clock may be 2 % slow; a lease counted on it is taken to last this much longer.
constexpr double ClockError = 0.03;
constexpr milliseconds LeaseSlack{100}; // on top, for the time to read and to be scheduled
constexpr int MostFailedLooks = 2; // then the worker is taken to be silent
constexpr std::uint64_t RunsPerToken = 1'000; // run numbers of one steward for one task
constexpr std::size_t FullListOfEnds = 500; // a longer one is told in parts
constexpr int FullSpeed = 100;

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
        worker.vacatedAt = m_now;
    worker.report = event.report;
    worker.isListed = true;
    if (isMoved)
        m_poolWorkers[worker.report.pool].push_back(&worker);
    markDirty(worker.report.pool);
    if (isNew) {
        auto names = std::set<HostName>();
        for (const auto &[name, it] : m_workers)
            names.emplace(name.value());
        m_quarantine.workersChanged(names);
    }
    lookIfDue(worker);
}

auto Steward::handle(const steward_event::WorkerRemoved &event) -> void
{
    if (auto *worker = findWorker(event.worker))
        worker->isListed = false;
}

auto Steward::handle(const steward_event::WorkerEnded &event) -> void
{
    auto *worker = findWorker(event.worker);
    if (worker == nullptr)
        return;
    m_expected.erase(event.worker);
    releaseAll(*worker);
    std::erase(m_poolWorkers[worker->report.pool], worker);
    m_workers.erase(event.worker);
    endRecoveryIfDone();
}

auto Steward::handle(const steward_event::WorkerDrainChanged &event) -> void
{
    auto *worker = findWorker(event.worker);
    if (worker == nullptr || worker->isDraining == event.isDraining)
        return;
    worker->isDraining = event.isDraining;
    worker->vacatedAt = m_now;
    markDirty(worker->report.pool);
    drain(*worker);
}

auto Steward::attach(Task &task, Worker &worker) -> void
{
    if (worker.runs.empty())
        worker.busySince = m_now;
    task.worker = &worker;
    worker.runs.push_back(&task);
    worker.used += task.spec().reservedRoom();
    m_running[task.job->spec.team] += task.spec().resources;
}

auto Steward::detach(Task &task) -> void
{
    if (task.worker == nullptr)
        return;
    auto &worker = *task.worker;
    std::erase(worker.runs, &task);
    worker.used -= task.spec().reservedRoom();
    m_running[task.job->spec.team] -= task.spec().resources;
    task.worker = nullptr;
    task.isOrderOpen = false;
    markDirty(worker.report.pool);
}

/// The run is over without an end that counts: the task waits for its next one.
auto Steward::release(Task &task) -> void
{
    detach(task);
    if (task.phase == TaskPhase::Done)
        return;
    if (task.phase != TaskPhase::Waiting)
        ++task.job->waitingTasks;
    task.phase = TaskPhase::Waiting;
    task.since = m_now;
    task.progressPercent = 0;
    markDirty(poolOf(*task.job));
}

auto Steward::releaseAll(Worker &worker) -> void
{
    const auto runs = worker.runs;
    for (auto *task : runs)
        release(*task);
    worker.leaseEnds = m_now;
}

/// The worker has a new life under its old name. An order of before may still reach it, and its new
/// clock may take the old lease for valid: such runs are stopped there before they go elsewhere.
auto Steward::beginAgain(Worker &worker) -> void
{
    const auto runs = worker.runs;
    for (auto *task : runs) {
        if (task->phase == TaskPhase::Running) {
            release(*task);
            continue;
        }
        task->phase = TaskPhase::Stopping;
        task->isStopConfirmed = false;
        orderStop(*task);
    }
    worker.seenEnd = 0;
    worker.keptEnd = 0;
    worker.acknowledged = 0;
    worker.unkept.clear();
    worker.isHeld = false;
    worker.hasClock = false;
}

auto Steward::handle(const steward_event::WorkerPolled &event) -> void
{
    auto *worker = findWorker(event.worker);
    if (worker == nullptr)
        return;
    worker->isLooking = false;
    worker->failedLooks = 0;
    worker->lastAnswer = m_now;
    if (worker->startedMilliseconds != 0 && event.startedMilliseconds != 0
        && worker->startedMilliseconds != event.startedMilliseconds) {
        beginAgain(*worker);
    }
    if (event.startedMilliseconds != 0)
        worker->startedMilliseconds = event.startedMilliseconds;
    worker->clockMilliseconds = event.clockMilliseconds;
    worker->clockAt = m_now;
    worker->hasClock = true;
    if (!worker->isHeld) {
        worker->isHeld = true;
        markDirty(worker->report.pool);
    }
    for (const auto &end : event.ended)
        applyEnd(*worker, end);
    applyActive(*worker, event);
    if (event.ended.size() < FullListOfEnds)
        applyMissing(*worker, event);
    guardLatency(*worker);
    worker->nextLook = m_now
        + std::max<Duration>(m_settings.busyLookGap,
                             m_settings.lookGapPerWorker * static_cast<int>(m_workers.size()));
    endRecoveryIfDone();
    drain(*worker);
    lookIfDue(*worker);
}

auto Steward::applyActive(Worker &worker, const steward_event::WorkerPolled &look) -> void
{
    for (const auto &run : look.active) {
        auto *task = findTask(run.task);
        const auto isOurs = task != nullptr && task->worker == &worker && task->run == run.run;
        if (!isOurs) {
            adopt(worker, run);
            continue;
        }
        if (!run.checkpoint.empty())
            task->checkpoint = run.checkpoint;
        task->progressPercent = run.progressPercent;
        task->latencyOrUsage = run.latencyOrUsage;
        // The list shows a run whose order has had no answer yet.
        if (task->phase == TaskPhase::Starting && task->orderedAt < look.sentAt) {
            task->phase = TaskPhase::Running;
            task->since = m_now;
            task->answeredAt = m_now;
        }
    }
}

/// Slows tasks on spare cores while a neighbour that serves users is near its target.
auto Steward::guardLatency(Worker &worker) -> void
{
    auto worst = 0.0;
    for (const auto *task : worker.runs) {
        const auto target = task->spec().latencyTargetMilliseconds;
        if (target > 0 && task->phase == TaskPhase::Running) {
            worst = std::max(
                worst, static_cast<double>(task->latencyOrUsage) / static_cast<double>(target));
        }
    }
    for (auto *task : worker.runs) {
        if (!task->spec().usesSpareCores || task->phase != TaskPhase::Running)
            continue;
        const auto speed = LatencyGuard::nextSpeed(task->ownSpeedPercent, worst);
        if (speed == task->ownSpeedPercent)
            continue;
        task->ownSpeedPercent = speed;
        m_actions.emplace_back(
            steward_action::SetRunSpeed{worker.report.name, task->id(), task->run, speed});
    }
}

/// A run that an earlier steward began, or one that nobody needs any more.
auto Steward::adopt(Worker &worker, const ActiveRun &run) -> void
{
    auto *task = findTask(run.task);
    const auto isWanted = task != nullptr && task->job->outcome == JobOutcome::Open
        && task->phase == TaskPhase::Waiting && run.run >= task->run && task->worker == nullptr;
    if (!isWanted) {
        m_actions.emplace_back(steward_action::StopRun{worker.report.name, run.task, run.run});
        return;
    }
    --task->job->waitingTasks;
    task->job->hasStarted = true;
    task->run = run.run;
    task->phase = TaskPhase::Running;
    task->since = m_now;
    task->answeredAt = m_now;
    task->checkpoint = run.checkpoint.empty() ? task->checkpoint : run.checkpoint;
    task->progressPercent = run.progressPercent;
    task->mayRunUnseen = false; // its newest run has been found
    attach(*task, worker);
    // Its lease is an earlier steward's: it may last as long as one given now.
    renewLease(worker);
}

auto Steward::applyEnd(Worker &worker, const EndedRun &end) -> void
{
    if (end.sequence <= worker.seenEnd)
        return;
    worker.seenEnd = end.sequence;
    auto *task = findTask(end.task);
    const auto changesBefore = m_changes;
    const auto isHere = task != nullptr && task->worker == &worker && task->run == end.run;
    // Ends of runs that an earlier steward began come in any order.
    const auto isUnseen = task != nullptr && !isHere && task->phase != TaskPhase::Done
        && task->job->outcome == JobOutcome::Open;
    if (isHere || isUnseen)
        takeEnd(*task, worker, end, isHere);
    const auto isChanged = m_changes != changesBefore && task != nullptr;
    worker.unkept.push_back({end.sequence, isChanged ? task->job->spec.id : std::string(),
                             isChanged ? task->job->change : 0});
}

auto Steward::takeEnd(Task &task, Worker &worker, const EndedRun &end, bool isHere) -> void
{
    const auto isNewest = isHere || (task.phase == TaskPhase::Waiting && end.run >= task.run);
    if (isNewest)
        task.run = end.run;
    task.job->hasStarted = true;
    if (isNewest && !end.checkpoint.empty() && end.end != RunEnd::Done) {
        task.checkpoint = end.checkpoint;
        markChanged(*task.job, false);
    }
    const auto host = HostName(worker.report.name.value());
    const auto runName = TaskId(end.task.job + '.' + std::to_string(end.task.step) + '.'
                                + std::to_string(end.task.index));
    const auto isDone = end.end == RunEnd::Done && !task.spec().isLongRunning;
    if (isDone && (isHere || task.phase == TaskPhase::Waiting)) {
        m_quarantine.runSucceeded(host, runName);
        finishTask(task);
        return;
    }
    if (isHere)
        release(task);
    if (end.end != RunEnd::Failed)
        return;
    task.failedOn = worker.report.name;
    m_quarantine.runFailed(host, runName, m_now);
    failTask(task, end.run);
}

/// A run that was confirmed before this look was sent, and is in neither list, is over.
auto Steward::applyMissing(Worker &worker, const steward_event::WorkerPolled &look) -> void
{
    const auto runs = worker.runs;
    for (auto *task : runs) {
        const auto isConfirmed = task->phase == TaskPhase::Running
            || (task->phase == TaskPhase::Stopping && task->isStopConfirmed);
        if (!isConfirmed || task->answeredAt >= look.sentAt)
            continue;
        const auto id = task->id();
        const auto isActive = std::ranges::any_of(look.active, [task, &id](const ActiveRun &it) {
            return it.run == task->run && it.task == id;
        });
        if (!isActive)
            release(*task);
    }
}

auto Steward::handle(const steward_event::PollFailed &event) -> void
{
    auto *worker = findWorker(event.worker);
    if (worker == nullptr)
        return;
    worker->isLooking = false;
    if (event.outcome == OrderOutcome::Superseded) {
        m_actions.emplace_back(steward_action::StepDown{event.worker});
        return;
    }
    if (event.outcome == OrderOutcome::StaleIncarnation)
        beginAgain(*worker);
    ++worker->failedLooks;
    const auto gap = std::min(m_settings.resendInterval * worker->failedLooks, m_settings.lookWait);
    worker->nextLook = m_now + gap;
}

auto Steward::handle(const steward_event::StartAnswered &event) -> void
{
    auto *worker = findWorker(event.worker);
    auto *task = findTask(event.task);
    if (worker == nullptr || task == nullptr || task->worker != worker || task->run != event.run)
        return;
    task->isOrderOpen = false;
    if (event.clockMilliseconds != 0) {
        worker->clockMilliseconds = event.clockMilliseconds;
        worker->clockAt = m_now;
        worker->hasClock = true;
        worker->lastAnswer = m_now;
    }
    const auto wasStarting = task->phase == TaskPhase::Starting;
    switch (event.outcome) {
    case OrderOutcome::Accepted:
        task->answeredAt = m_now;
        if (wasStarting) {
            task->phase = TaskPhase::Running;
            task->since = m_now;
        }
        lookIfDue(*worker);
        return;
    case OrderOutcome::Superseded:
        m_actions.emplace_back(steward_action::StepDown{event.worker});
        return;
    case OrderOutcome::Unanswered:
        return; // sent again, or stopped, by tickWorker()
    case OrderOutcome::StaleRun:
        if (wasStarting && task->wasSentAgain) {
            // An earlier order for this run was carried out, and the run has ended: the next look
            // tells how.
            task->phase = TaskPhase::Running;
            task->since = m_now;
            task->answeredAt = m_now;
            worker->nextLook = m_now;
            lookIfDue(*worker);
            return;
        }
        task->run += 1;
        break;
    case OrderOutcome::Unhealthy:
    case OrderOutcome::NotSent:
    case OrderOutcome::InsufficientResources:
    case OrderOutcome::LeaseExpired:
    case OrderOutcome::Invalid:
    case OrderOutcome::StaleIncarnation:
        break;
    }
    // Nothing was started by this order, but one sent before it may still be on its way.
    worker->restsUntil = m_now + m_settings.unhealthyRest;
    worker->nextLook = m_now;
    if (wasStarting && !task->wasSentAgain) {
        release(*task);
    } else if (wasStarting) {
        stopTask(*task);
    }
    lookIfDue(*worker);
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
    task->isOrderOpen = false;
    if (task->phase != TaskPhase::Stopping || event.outcome != OrderOutcome::Accepted)
        return;
    // Its end, or its absence, shows in the next look.
    task->isStopConfirmed = true;
    task->answeredAt = m_now;
    worker->nextLook = m_now;
    lookIfDue(*worker);
}

auto Steward::stopTask(Task &task) -> void
{
    if (task.worker == nullptr || task.phase == TaskPhase::Stopping)
        return;
    task.phase = TaskPhase::Stopping;
    task.since = m_now;
    task.isStopConfirmed = false;
    orderStop(task);
}

auto Steward::orderStop(Task &task) -> void
{
    task.orderedAt = m_now;
    task.isOrderOpen = true;
    m_actions.emplace_back(steward_action::StopRun{task.worker->report.name, task.id(), task.run});
}

auto Steward::orderStart(Task &task) -> void
{
    task.orderedAt = m_now;
    task.isOrderOpen = true;
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
    task.since = m_now;
    task.progressPercent = 0;
    task.ownSpeedPercent = FullSpeed;
    task.mayRunUnseen = false;
    task.wasSentAgain = false;
    attach(task, worker);
    orderStart(task);
}

/// The end of a new lease on the worker's clock. Keeps the latest moment at which it can end.
auto Steward::renewLease(Worker &worker) -> std::int64_t
{
    const auto elapsed = m_now - worker.clockAt;
    const auto lease = std::min(m_settings.runLease, m_settings.longestLease);
    const auto error = std::chrono::duration_cast<Duration>((elapsed + lease) * ClockError);
    worker.leaseEnds = std::max(worker.leaseEnds, m_now + lease + error + LeaseSlack);
    return worker.clockMilliseconds + toMilliseconds(elapsed) + lease.count();
}

auto Steward::acknowledgeable(Worker &worker) -> std::uint64_t
{
    while (!worker.unkept.empty()) {
        const auto &first = worker.unkept.front();
        const auto job = m_jobs.find(first.job);
        if (job != m_jobs.end() && job->second->keptChange < first.change)
            break;
        worker.keptEnd = first.sequence;
        worker.unkept.pop_front();
    }
    return worker.keptEnd;
}

/// A worker with runs is looked at all the time; an idle one only until its last ends are
/// acknowledged.
auto Steward::lookIfDue(Worker &worker) -> void
{
    if (worker.isLooking || m_now < worker.nextLook)
        return;
    const auto acknowledged = acknowledgeable(worker);
    const auto isNeeded = !worker.isHeld || !worker.runs.empty()
        || acknowledged > worker.acknowledged || worker.failedLooks > 0;
    if (!isNeeded || (!worker.isListed && worker.runs.empty()))
        return;
    worker.isLooking = true;
    const auto mayWait =
        worker.isHeld && !worker.runs.empty() && worker.failedLooks == 0 && worker.unkept.empty();
    // A silent worker gets no new lease: what it runs must have an end that is known.
    const auto needsLease =
        worker.hasClock && !worker.runs.empty() && worker.failedLooks < MostFailedLooks;
    worker.acknowledged = acknowledged;
    // Beside tasks that serve users, those on spare cores are paced by what each look tells.
    const auto isGuarded =
        std::ranges::any_of(worker.runs, [](const Task *it) { return it->spec().usesSpareCores; });
    const auto wait = isGuarded ? m_settings.guardedLookWait : m_settings.lookWait;
    m_actions.emplace_back(
        steward_action::PollWorker{worker.report.name, needsLease ? renewLease(worker) : 0,
                                   acknowledged, mayWait ? static_cast<int>(wait.count()) : 0});
}

auto Steward::tickWorker(Worker &worker) -> void
{
    // A worker that answers tells what became of its runs. One that this steward was too busy to
    // look at may have ended them well before the lease was over.
    const auto isSilent = worker.failedLooks > 0;
    if (!worker.runs.empty() && m_now >= worker.leaseEnds && isSilent)
        releaseAll(worker);
    const auto runs = worker.runs;
    for (auto *task : runs) {
        if (task->isOrderOpen || m_now < task->orderedAt + m_settings.resendInterval)
            continue;
        if (task->phase == TaskPhase::Stopping && !task->isStopConfirmed)
            orderStop(*task);
        if (task->phase != TaskPhase::Starting)
            continue;
        // The same order again: a run that is there already stays the only one.
        if (isUsable(worker) && !worker.isDraining && task->job->outcome == JobOutcome::Open) {
            task->wasSentAgain = true;
            orderStart(*task);
        } else
            stopTask(*task);
    }
    if (worker.isDraining)
        drain(worker);
    lookIfDue(worker);
}

auto Steward::isAtWork(const Task &task) const -> bool
{
    return task.phase == TaskPhase::Running && task.progressPercent >= FullSpeed
        && task.worker->failedLooks == 0
        && m_now < task.worker->lastAnswer + m_settings.lookWait * 2;
}

/// Whether the job bears that this lasting task is away for a while. One that wasn't seen at work
/// may be at work all the same.
auto Steward::mayEndLasting(const Task &task) const -> bool
{
    // A task that the steward before has ended may still be listed as at work.
    if (m_now < m_begunAt + m_settings.settling)
        return false;
    const auto &siblings = task.job->occurrences.at(task.occurrence).steps[task.step];
    const auto away = std::ranges::count_if(
        siblings, [this, &task](const Task &it) { return &it != &task && !isAtWork(it); });
    return away < std::max<std::int64_t>(task.spec().maxUnavailable, 1);
}

auto Steward::drain(Worker &worker) -> void
{
    if (!worker.isDraining && !worker.report.isLeaving)
        return;
    const auto runs = worker.runs;
    for (auto *task : runs) {
        if (task->phase != TaskPhase::Running)
            continue;
        // A leaving worker goes on with what may end in time.
        if (!worker.isDraining && !task->spec().isLongRunning && !task->spec().savesProgress)
            continue;
        const auto patience =
            task->spec().savesProgress ? m_settings.vacatePatience : m_settings.vacateLimit;
        const auto mayEnd = task->spec().isLongRunning ? mayEndLasting(*task)
                                                       : m_now >= worker.vacatedAt + patience;
        if (mayEnd)
            stopTask(*task);
    }
}

auto Steward::isUsable(const Worker &worker) const -> bool
{
    return worker.isListed && worker.isHeld && worker.hasClock && !worker.report.isLeaving
        && worker.failedLooks < MostFailedLooks && m_now >= worker.restsUntil
        && !m_closed.contains(worker.report.dataCentre)
        && (worker.runs.empty()
            || m_now < std::max(worker.lastAnswer, worker.busySince) + m_settings.silence);
}

auto Steward::expectWorkers(std::set<WorkerName> workers) -> void
{
    m_expected = std::move(workers);
    m_hasHostList = true;
    endRecoveryIfDone();
}

/// Until every worker that may run something has been asked, tasks of an earlier steward that
/// weren't seen may be running somewhere.
auto Steward::endRecoveryIfDone() -> void
{
    if (!m_isRecovering)
        return;
    const auto isAsked = [this](const WorkerName &name) {
        const auto it = m_workers.find(name);
        return it != m_workers.end() && it->second->isHeld;
    };
    // A registered worker that no host has any more is over.
    const auto isAllAsked = m_hasHostList && std::ranges::all_of(m_expected, isAsked);
    if (!isAllAsked && m_now < m_recoversUntil)
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
    load.hasUnkeptEnds = worker.acknowledged < worker.seenEnd;
    load.isAsked = worker.isHeld;
    load.isDraining = worker.isDraining;
    load.isUsable = isUsable(worker);
    for (const auto *task : worker.runs)
        ++(task->spec().isLongRunning ? load.lastingRuns : load.otherRuns);
    return load;
}

} // namespace shallotproxy
