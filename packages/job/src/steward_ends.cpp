#include <algorithm>

#include "steward_state.hpp"

namespace shallotproxy {

namespace {

using std::chrono::milliseconds;

// A worker may register before lists show it: the first list that counts is requested this long
// after its registration, and two in a row have to miss it.
constexpr milliseconds ListDelay{1'000};
constexpr int ListsBeforeEnd = 2;

} // namespace

auto Steward::handle(const steward_event::WorkerEnded &event) -> void
{
    if (event.isPlanned)
        forgetPossibleCrash(event.worker);
    if (auto *worker = findWorker(event.worker))
        endWorker(*worker, event.isPlanned ? RunLoss::Planned : RunLoss::Ended, event.asOf);
}

/// Ends an incarnation that a call shows as gone, and frees its runs. `asOf` is when the call was
/// sent. Does nothing if the worker has given a sign of life since; suspects the end if the next
/// incarnation may carry out an order that was sent later. Returns whether the worker has ended.
auto Steward::endWorker(Worker &worker, RunLoss loss, BootTime asOf) -> bool
{
    if (asOf < std::max(worker.lastAnswerAt, worker.reportedAt))
        return false;
    const auto isOrderedLater = [asOf](const Task *it) {
        return it->startSentAt > asOf && it->phase != TaskPhase::Running;
    };
    if (std::ranges::any_of(worker.runs, isOrderedLater)) {
        worker.isEndSuspected = true;
        return false;
    }
    const auto name = worker.report.name;
    m_expectedWorkers.erase(name);
    handleLostRuns(worker, loss);
    requeueAll(worker);
    if (worker.isRegistered)
        m_endedWorkers[name] = {worker.report, m_now};
    std::erase(m_poolWorkers[worker.report.pool], &worker);
    quarantineOf(worker).workerRemoved(HostName(name.value()));
    m_workers.erase(name);
    endRecoveryIfDone();
    return true;
}

/// Reports the runs that were lost with the worker, and attributes the crash if it was one.
auto Steward::handleLostRuns(const Worker &worker, RunLoss loss) -> void
{
    // A drain by itself ends no worker: the order that does so is sent to idle hosts, and reported.
    const auto cause = worker.report.isLeaving ? RunLoss::Planned : loss;
    auto lost = std::vector<LostRun>();
    for (auto *task : worker.runs) {
        if (!task->isRunLost)
            lost.push_back({task->id(), task->run});
    }
    if (!lost.empty()) {
        m_actions.emplace_back(
            steward_action::ReportLostRuns{worker.report.name, cause, std::move(lost)});
    }
    // A worker whose leases expired may go on. A list of the hosts, or another worker at the
    // address, tells of an end for certain.
    const auto hasCrashed = cause == RunLoss::Ended || cause == RunLoss::Restarted
        || (cause == RunLoss::LeaseExpired && !worker.contact.isSilent() && m_hasHostList
            && !m_expectedWorkers.contains(worker.report.name));
    if (hasCrashed)
        recordCrash(worker, cause);
    for (auto *task : worker.runs) {
        const auto isFirstOrderOpen =
            task->phase == TaskPhase::Starting && task->isOrderPending && !task->wasStartResent;
        if (!task->isRunLost && isFirstOrderOpen)
            task->lostUnanswered = task->run;
        task->isRunLost = true;
    }
}

/// Handles the restart of a worker under the same name.
///
/// An earlier start order may still reach the new incarnation, whose clock may still accept the old
/// lease. Runs with such orders are therefore stopped there before they are placed elsewhere. The
/// same holds for runs that were confirmed after `sentAt`, when the call that showed the restart
/// was sent: the new incarnation may have confirmed them.
auto Steward::handleRestart(Worker &worker, BootTime sentAt) -> void
{
    handleLostRuns(worker, RunLoss::Restarted);
    worker.firstSeenAt = m_now;
    worker.leaseEndsAt = std::max(worker.leaseEndsAt, latestLeaseEndAfterRestart(worker));
    const auto runs = worker.runs;
    for (auto *task : runs) {
        if (task->phase == TaskPhase::Running && task->confirmedAt < sentAt) {
            requeue(*task);
            continue;
        }
        if (task->phase != TaskPhase::Stopping)
            task->phaseSince = m_now;
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
    worker.hasUnreadEnds = false;
    worker.isRead = false;
    worker.hasClock = false;
    worker.latestClockMilliseconds = 0;
    worker.pace = RunPace(MaxRunsOfWorkerPace);
}

auto Steward::expectWorkers(std::set<WorkerName> workers, std::vector<Resources> hostCapacities,
                            BootTime asOf) -> void
{
    m_expectedWorkers = std::move(workers);
    m_hostCapacities = std::move(hostCapacities);
    m_hasHostList = true;
    m_hostsListedAt = asOf;
    for (const auto &[name, worker] : m_workers) {
        worker->wasListed = worker->wasListed || m_expectedWorkers.contains(name);
        const auto isOutdated =
            asOf < std::max<BootTime>(worker->lastAnswerAt, worker->reportedAt + ListDelay);
        const auto isMissing = !worker->wasListed && worker->failedPolls > 0 && !isOutdated;
        worker->listsWithout = isMissing ? worker->listsWithout + 1 : 0;
    }
    restoreListedWorkers(asOf);
    endRecoveryIfDone();
}

/// Ends unresponsive workers that no list has ever shown: they lived between two lists. A worker
/// that was listed before is ended by what the list says of its host.
auto Steward::endUnlistedWorkers() -> void
{
    auto missing = std::vector<Worker *>();
    for (const auto &[name, worker] : m_workers) {
        if (worker->listsWithout >= ListsBeforeEnd)
            missing.push_back(worker.get());
    }
    for (auto *worker : missing) {
        const auto name = worker->report.name;
        if (endWorker(*worker, RunLoss::Ended, m_hostsListedAt)) {
            m_actions.emplace_back(steward_action::ReportWorkerEnd{name, EndEvidence::NeverListed});
        }
    }
}

/// Restores workers that have been taken for ended and that a later list shows as up. The next tick
/// polls them.
auto Steward::restoreListedWorkers(BootTime asOf) -> void
{
    const auto isUp = [this, asOf](const auto &entry) {
        return m_expectedWorkers.contains(entry.first) && asOf > entry.second.endKnownAt;
    };
    auto reports = std::vector<WorkerReport>();
    for (const auto &entry : m_endedWorkers) {
        if (isUp(entry))
            reports.push_back(entry.second.report);
    }
    std::erase_if(m_endedWorkers, isUp);
    for (const auto &it : reports)
        registerWorker(it);
}

/// Ends the recovery once all ends of every expected worker have been read, or the timeout is over.
/// Until then, tasks that an earlier steward started may be running on a worker that hasn't been
/// polled, or have ended there.
auto Steward::endRecoveryIfDone() -> void
{
    if (!m_isRecovering)
        return;
    const auto isRead = [this](const WorkerName &name) {
        const auto it = m_workers.find(name);
        return it != m_workers.end() && it->second->isRead;
    };
    // A registered worker that belongs to no host any more has ended.
    const auto isAllRead = m_hasHostList && std::ranges::all_of(m_expectedWorkers, isRead);
    if (!isAllRead && m_now < m_recoveryDeadline)
        return;
    m_isRecovering = false;
    for (const auto &[pool, jobs] : m_openJobs) {
        for (const auto &[number, job] : jobs) {
            if (job->mayRunAlready)
                updateBacklog(*job);
        }
        markDirty(pool);
    }
}

} // namespace shallotproxy
