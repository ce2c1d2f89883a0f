#include <algorithm>
#include <utility>

#include "shallotproxy/job/progress_writer.hpp"
#include "steward_state.hpp"

namespace shallotproxy {

namespace {

using std::chrono::milliseconds;

// A run is established once its worker has answered this long after it confirmed the run.
constexpr milliseconds EstablishTime{200};
// Crashes of a data centre's workers within this time have one cause. Covers the time between two
// lists of the hosts.
constexpr milliseconds DataCentreLossWindow{2'000};
// The loss of a data centre is known after this long at most.
constexpr milliseconds DataCentreLossDelay{1'000};
// With fewer crashes, the loss of a data centre can't be told from single ones.
constexpr std::ptrdiff_t MinCrashesOfLostDataCentre = 3;
// The ends of all workers of a lost data centre are known after this long: the leases of their runs
// have expired.
constexpr milliseconds DataCentreLossReportTime{15'000};
// A suspect prefers workers that have been up for this long, and a crash of another one proves
// less: it may fail by itself again.
constexpr milliseconds StableTime{10'000};
// A steward knows the workers that were there before it after this time.
constexpr milliseconds FirstListTime{500};
// A pool has crashing tasks for this long after the last crash under test.
constexpr milliseconds CrashingTasksTime{10'000};
// This many jobs of earlier terms may have starts that aren't written yet: those of two writes.
constexpr std::size_t MaxUnwrittenStarts = 2 * ProgressWriter::MaxJobsPerWrite;
constexpr std::size_t MaxRunsPerReport = 20;

} // namespace

/// Whether the worker may have started lately, so that it may fail again by itself. The age of a
/// worker that this steward found when it began is unknown. Until a poll has shown a restart, the
/// incarnation that has the runs is the one before the registered one.
auto Steward::isNew(const Worker &worker) const -> bool
{
    const auto seenAt = worker.isReportCurrent() ? worker.firstSeenAt : worker.earlierFirstSeenAt;
    return seenAt >= m_startedAt + FirstListTime && m_now < seenAt + StableTime;
}

/// Whether the worker has answered after the task's run had been active for a while. Goes by the
/// worker's clock: this steward may be late to learn of an answer from before a crash.
auto Steward::isEstablished(const Task &task) const -> bool
{
    return task.activeAtMilliseconds
        && task.worker->latestClockMilliseconds
        >= *task.activeAtMilliseconds + EstablishTime.count();
}

/// Whether nothing else may start beside the run of the task, so that a crash is evidence against
/// the task alone.
auto Steward::isUnderTest(const Task &task) const -> bool
{
    if (!task.crashes.isSuspect())
        return false;
    if (!isEstablished(task))
        return true;
    return (!task.spec().isLongRunning || task.isIsolated) && needsIsolation(task)
        && m_now < task.attachedAt + task.crashes.isolationTime();
}

/// Whether nothing is started beside the task for a while after its run is established.
auto Steward::needsIsolation(const Task &task) const -> bool
{
    return task.spec().isLongRunning ? task.crashes.needsIsolationIfLongRunning()
                                     : task.crashes.needsIsolation();
}

auto Steward::hasRunUnderTest(const Worker &worker) const -> bool
{
    return std::ranges::any_of(worker.runs, [this](const Task *it) { return isUnderTest(*it); });
}

auto Steward::hasCrashingTasks(const PoolName &pool) const -> bool
{
    const auto it = m_crashingTasksSeenAt.find(pool);
    return it != m_crashingTasksSeenAt.end() && m_now < it->second + CrashingTasksTime;
}

/// Returns what the crash of the task's worker proves, as the worker may have had another reason to
/// end.
auto Steward::weighEvidence(CrashEvidence evidence, const Task &task) const -> CrashEvidence
{
    const auto isSilent = task.worker->contact.isSilent();
    // A run on a worker that can't be reached isn't known to be established, however long.
    if (isSilent && evidence == CrashEvidence::Sole)
        evidence = CrashEvidence::Isolated;
    // A long-running task meets so many failures of hosts that only crashes right after its starts
    // tell anything by themselves.
    if (task.spec().isLongRunning && evidence == CrashEvidence::Isolated)
        evidence = CrashEvidence::Beside;
    // Where tasks crash their workers, most workers are new for that reason.
    const auto &worker = *task.worker;
    if (!isNew(worker) || hasCrashingTasks(worker.report.pool))
        return evidence;
    if (evidence == CrashEvidence::Sole)
        return CrashEvidence::SoleOnNewWorker;
    return evidence == CrashEvidence::Isolated ? CrashEvidence::IsolatedOnNewWorker : evidence;
}

/// Returns the tasks whose runs would be lost if the worker ended now.
auto Steward::openRuns(const Worker &worker) const -> std::vector<Task *>
{
    auto tasks = std::vector<Task *>();
    std::ranges::copy_if(worker.runs, std::back_inserter(tasks), [](const Task *it) {
        return it->job->outcome == JobOutcome::Open && !it->isRunLost;
    });
    return tasks;
}

/// Returns the evidence against each of the tasks if their worker has crashed.
auto Steward::evidenceIfCrashed(std::span<Task *const> tasks) const
    -> std::vector<std::optional<CrashEvidence>>
{
    auto runs = std::vector<RunAtCrash>();
    for (const auto *it : tasks) {
        runs.push_back(
            {it->crashes.isSuspect(), isEstablished(*it), isUnderTest(*it), it->isGrouped});
    }
    return attributeCrash(runs);
}

/// Attributes the crash of a worker to the runs that were lost there.
auto Steward::recordCrash(const Worker &worker, RunLoss loss) -> void
{
    const auto tasks = openRuns(worker);
    auto crash = RecentCrash();
    crash.at = m_now;
    crash.lastAnswerAt = worker.lastAnswerAt;
    crash.dataCentre = worker.report.dataCentre;
    crash.pool = worker.report.pool;
    crash.wasUnderTest = hasRunUnderTest(worker);
    crash.wasOnNewWorker = isNewByItself(worker);
    for (const auto *task : tasks)
        crash.runs.push_back({task->id(), task->run});
    m_recentCrashes.push_back(std::move(crash));
    if (isLostWithDataCentre(worker))
        return;
    m_crashRates[worker.report.pool].of(m_recentCrashes.back().wasOnNewWorker).addCrash();
    const auto evidence = evidenceIfCrashed(tasks);
    if (std::ranges::find(evidence, CrashEvidence::Grouped) != evidence.end())
        m_suspectGroups[worker.report.pool].crashed(m_now);
    // Before any of them becomes a suspect by this crash.
    auto contexts = std::vector<CrashContext>();
    for (const auto *task : tasks)
        contexts.push_back(crashContextOf(*task, tasks));
    for (auto *task : tasks)
        task->lossTimes.push_back(m_now);
    const auto isSilentRestart = loss == RunLoss::Restarted && worker.contact.isSilent();
    auto report =
        steward_action::ReportCrash{worker.report.name, loss, worker.contact.loss(), {}, 0};
    for (std::size_t n = 0; n < tasks.size(); ++n) {
        auto &task = *tasks[n];
        if (!evidence[n])
            continue;
        if (isSilentRestart && task.activeAtMilliseconds) {
            recordSilentLoss(task, contexts[n]);
        } else {
            holdCrashAgainst(task, *evidence[n], contexts[n], report);
        }
    }
    if (!report.runs.empty())
        m_actions.emplace_back(std::move(report));
}

auto Steward::holdCrashAgainst(Task &task, CrashEvidence evidence, const CrashContext &context,
                               steward_action::ReportCrash &report) -> void
{
    const auto strength = weighEvidence(evidence, task);
    const auto wasConfirmed = task.activeAtMilliseconds.has_value();
    if (task.crashes.add(task.run, strength, wasConfirmed, context)) {
        crashesChanged(task);
        const auto &runs = task.crashes.runs();
        if (report.runs.size() < MaxRunsPerReport) {
            report.runs.push_back({task.id(), runs.back(), runs.size()});
        } else {
            ++report.omitted;
        }
    }
    if (strength == CrashEvidence::Sole || task.crashes.isCause())
        m_crashingTasksSeenAt[task.worker->report.pool] = m_now;
}

/// Records which runs a crash would be held against while the worker refuses connections. The list
/// of the hosts shows a crash much later, and this steward may end before.
auto Steward::recordPossibleCrash(const Worker &worker) -> void
{
    if (worker.report.isLeaving || isLostWithDataCentre(worker))
        return;
    const auto tasks = openRuns(worker);
    const auto evidence = evidenceIfCrashed(tasks);
    for (std::size_t n = 0; n < tasks.size(); ++n) {
        auto &task = *tasks[n];
        if (task.possibleCrash) {
            refinePossibleCrash(task);
            continue;
        }
        const auto strength =
            evidence[n] ? weighEvidence(*evidence[n], task) : CrashEvidence::Beside;
        if (strength == CrashEvidence::Beside)
            continue;
        recordPossibleCrash(task, strength, WriteUrgency::First);
    }
}

/// Records what the crash of the task's worker would prove.
auto Steward::recordPossibleCrash(Task &task, CrashEvidence evidence, WriteUrgency urgency) -> void
{
    const auto &worker = *task.worker;
    task.possibleCrash = {task.run,
                          static_cast<std::uint8_t>(evidence),
                          task.activeAtMilliseconds.has_value(),
                          worker.report.name.value(),
                          worker.startedMilliseconds,
                          worker.report.dataCentre.value(),
                          isDeliveryInDoubt(task),
                          std::chrono::duration_cast<milliseconds>(task.contactAge).count(),
                          worker.contact.isSilent()};
    markChanged(*task.job, urgency);
}

/// Adds to the record of a start what has become known of it: its worker has confirmed the run, has
/// ended with the order, or is silent.
auto Steward::refinePossibleCrash(Task &task) -> void
{
    if (!task.possibleCrash || task.possibleCrash->run != task.run)
        return;
    auto &crash = *task.possibleCrash;
    const auto wasConfirmed = task.activeAtMilliseconds.has_value();
    const auto isInDoubt = isDeliveryInDoubt(task);
    const auto isSilent = task.worker->contact.isSilent();
    if (crash.wasConfirmed == wasConfirmed && crash.isDeliveryInDoubt == isInDoubt
        && crash.wasWorkerSilent == isSilent)
        return;
    crash.wasConfirmed = wasConfirmed;
    crash.isDeliveryInDoubt = isInDoubt;
    crash.wasWorkerSilent = isSilent;
    markChanged(*task.job, WriteUrgency::Urgent);
}

/// Records the start of a task that an earlier steward may have started as well. It may have
/// crashed its worker, and that steward have ended before it knew.
auto Steward::recordInheritedStart(Task &task) -> void
{
    recordPossibleCrash(task, CrashEvidence::Likely, WriteUrgency::Urgent);
    m_unwrittenStarts[task.job->spec.id] = {task.job->change, m_now};
}

/// Whether a task of an earlier term may start. Where hundreds wait, few starts at a time are ahead
/// of their record; none waits for long for a store that doesn't answer.
auto Steward::mayStartInherited(const Job &job) const -> bool
{
    return m_unwrittenStarts.size() < MaxUnwrittenStarts || m_unwrittenStarts.contains(job.spec.id);
}

auto Steward::forgetWrittenStarts() -> void
{
    std::erase_if(m_unwrittenStarts, [this](const auto &entry) {
        const auto job = m_jobs.find(entry.first);
        return job == m_jobs.end() || job->second->persistedChange >= entry.second.change
            || m_now >= entry.second.since + MaxPersistTime;
    });
}

/// Whether tasks of the pool are suspected of crashing their workers, so that others may as well.
auto Steward::hasSuspects(const PoolName &pool) const -> bool
{
    const auto backlog = m_backlogs.find(pool);
    return hasCrashingTasks(pool)
        || (backlog != m_backlogs.end() && !backlog->second->suspects.empty());
}

auto Steward::clearPossibleCrash(Task &task) -> void
{
    if (!task.possibleCrash)
        return;
    task.possibleCrash.reset();
    if (task.job->outcome == JobOutcome::Open)
        markChanged(*task.job, WriteUrgency::Relaxed);
}

/// Forgets the possible crash of a worker that ended for a known reason.
auto Steward::forgetPossibleCrash(const WorkerName &worker) -> void
{
    for (const auto &id : m_inheritedCrashes) {
        auto *task = findTask(id);
        if (task != nullptr && task->possibleCrash && task->possibleCrash->worker == worker.value())
            clearPossibleCrash(*task);
    }
}

/// Whether the incarnation of the worker is known to have ended, and its data centre to be up.
auto Steward::hasEnded(const PossibleCrash &crash) const -> bool
{
    const auto isSurvivor = [&crash](const auto &entry) {
        return entry.second->isPolled
            && entry.second->report.dataCentre.value() == crash.dataCentre;
    };
    if (std::ranges::none_of(m_workers, isSurvivor))
        return false;
    const auto name = WorkerName(crash.worker);
    const auto it = m_workers.find(name);
    if (it != m_workers.end() && it->second->isPolled) {
        const auto started = it->second->startedMilliseconds;
        return started != 0 && crash.startedMilliseconds != 0
            && started != crash.startedMilliseconds;
    }
    return m_hasHostList && !m_expectedWorkers.contains(name);
}

/// Whether the worker of a confirmed run couldn't be reached, and another incarnation answers under
/// its name now. Such a restart isn't held against a task; see recordSilentLoss().
auto Steward::hasRestartedInSilence(const PossibleCrash &crash) const -> bool
{
    const auto worker = m_workers.find(WorkerName(crash.worker));
    return crash.wasWorkerSilent && crash.wasConfirmed && worker != m_workers.end()
        && worker->second->isPolled;
}

/// Settles the possible crashes that an earlier steward has recorded, once all workers have told
/// of their runs: a run that none of them knew was lost if its worker has ended.
auto Steward::settlePossibleCrashes() -> void
{
    if (m_isRecovering)
        return;
    for (const auto &id : std::exchange(m_inheritedCrashes, {})) {
        auto *task = findTask(id);
        if (task == nullptr || !task->possibleCrash || task->worker != nullptr)
            continue;
        const auto crash = *task->possibleCrash;
        clearPossibleCrash(*task);
        const auto evidence = weakenEvidence(static_cast<CrashEvidence>(crash.evidence));
        if (task->job->outcome == JobOutcome::Open && task->phase == TaskPhase::Waiting
            && hasEnded(crash) && !hasRestartedInSilence(crash)
            && task->crashes.add(crash.run, evidence, crash.wasConfirmed,
                                 crashContextOf(*task, crash))) {
            crashesChanged(*task);
        }
    }
}

/// Notes the restart of a worker that couldn't be reached before. It was cut off and has restarted
/// for any reason, or the task takes its hosts down for a time that no list of the hosts shows:
/// that it does so again and again is held against it.
auto Steward::recordSilentLoss(Task &task, const CrashContext &context) -> void
{
    task.silentLosses.add(task.run, CrashEvidence::Beside, true, context);
    if (!task.silentLosses.isCause())
        return;
    task.crashes = std::exchange(task.silentLosses, {});
    crashesChanged(task);
}

/// Forgets the crash of a worker that the order of a run was never sent to. A busy steward may read
/// that after it has learned of the crash.
auto Steward::removeUnsentCrash(Task &task, std::uint64_t run) -> void
{
    if (task.lostUnanswered != run || !task.crashes.removeUnsent(run))
        return;
    task.lostUnanswered.reset();
    if (task.job->outcome == JobOutcome::Open)
        markChanged(*task.job, WriteUrgency::Relaxed);
}

/// Notes that a worker had confirmed a run before it crashed. A busy steward may read the answer
/// after it has learned of the crash.
auto Steward::confirmCrash(Task &task, std::uint64_t run) -> void
{
    if (task.job->outcome == JobOutcome::Open && task.crashes.confirm(run))
        crashesChanged(task);
}

auto Steward::crashesChanged(Task &task) -> void
{
    if (task.crashes.isSuspect())
        noteSuspect(task);
    // A steward that dies before the record is written may cost another worker.
    markChanged(*task.job, task.crashes.isSuspect() ? WriteUrgency::First : WriteUrgency::Relaxed);
    task.crashChange = task.job->change;
    const auto pending = std::ranges::find(m_verdicts, task.id(), &Verdict::task);
    if (task.crashes.isCause() && pending == m_verdicts.end())
        m_verdicts.push_back({m_now + DataCentreLossWindow, task.id()});
}

/// Withdraws the crashes that turn out to be the loss of a data centre, once its other workers have
/// had the time to answer.
auto Steward::settleRecentCrashes() -> void
{
    while (!m_recentCrashes.empty() && m_now >= m_recentCrashes.front().at + DataCentreLossWindow) {
        const auto &first = m_recentCrashes.front();
        if (isLossOfDataCentre(first)) {
            m_lostDataCentres[first.dataCentre] = first.at;
            withdrawCrashes(first.dataCentre, first.at);
        }
        addCoincidences(first);
        m_recentCrashes.pop_front();
    }
}

/// Whether all workers of the data centre have stopped answering before the first of their crashes
/// was known.
auto Steward::isLossOfDataCentre(const RecentCrash &first) const -> bool
{
    const auto crashes = std::ranges::count_if(m_recentCrashes, [&first](const RecentCrash &it) {
        return it.dataCentre == first.dataCentre && it.isOfLossAt(first.at);
    });
    const auto isSurvivor = [this, &first](const auto &entry) {
        const auto &[name, worker] = entry;
        const auto isListed = !m_hasHostList || m_expectedWorkers.contains(name);
        // A worker that started meanwhile may be the successor of one that was lost.
        const auto isOld = worker->firstSeenAt <= first.at - DataCentreLossDelay;
        const auto isAnswering = worker->runs.empty() || worker->lastAnswerAt > first.at;
        return worker->report.dataCentre == first.dataCentre && worker->isRegistered && isListed
            && isOld && isAnswering;
    };
    return crashes >= MinCrashesOfLostDataCentre && std::ranges::none_of(m_workers, isSurvivor);
}

/// Whether the worker hasn't answered since its data centre was lost. The ends of some workers are
/// known only when the leases of their runs have expired.
auto Steward::isLostWithDataCentre(const Worker &worker) const -> bool
{
    const auto it = m_lostDataCentres.find(worker.report.dataCentre);
    return it != m_lostDataCentres.end() && m_now < it->second + DataCentreLossReportTime
        && worker.lastAnswerAt <= it->second && worker.firstSeenAt <= it->second;
}

/// Withdraws the crashes of workers that were lost with their data centre.
auto Steward::withdrawCrashes(const DataCentreName &dataCentre, BootTime lostAt) -> void
{
    for (const auto &crash : m_recentCrashes) {
        if (crash.dataCentre != dataCentre || !crash.isOfLossAt(lostAt))
            continue;
        for (const auto &it : crash.runs) {
            auto *task = findTask(it.task);
            if (task != nullptr && task->job->outcome == JobOutcome::Open
                && task->crashes.withdraw(it.run))
                markChanged(*task->job, WriteUrgency::Relaxed);
        }
    }
}

/// Gives tasks up that crash their workers, unless the crashes turned out to be the loss of a data
/// centre. A job fails that can't be completed any more; the other tasks of a step that is
/// long-running go on, as their users need them.
auto Steward::applyVerdicts() -> void
{
    const auto isDue = [this](const Verdict &it) { return m_now >= it.dueAt; };
    auto verdicts = std::vector<Verdict>();
    std::ranges::copy_if(m_verdicts, std::back_inserter(verdicts), isDue);
    std::erase_if(m_verdicts, isDue);
    for (const auto &it : verdicts) {
        const auto *task = findTask(it.task);
        if (task == nullptr || task->job->outcome != JobOutcome::Open || !task->crashes.isCause())
            continue;
        m_actions.emplace_back(
            steward_action::ReportCrashingTask{it.task, task->crashes.runs().size()});
        m_crashRates[poolOf(*task->job)].removeCrashes(task->crashes.runs());
        const auto &step = task->job->occurrences.at(task->occurrence).steps[task->step];
        const auto isGivenUp = [](const Task &other) { return other.crashes.isCause(); };
        if (!task->spec().isLongRunning || std::ranges::all_of(step, isGivenUp))
            endJob(*task->job, JobOutcome::Failed);
    }
}

/// Clears a task whose run has been active for long.
auto Steward::exonerate(Task &task) -> void
{
    if (m_now >= task.attachedAt + task.silentLosses.exonerationTime())
        task.silentLosses.clear();
    if (task.crashes.isEmpty() || m_now < task.attachedAt + task.crashes.exonerationTime())
        return;
    task.crashes.clear();
    task.lossTimes.clear();
    markChanged(*task.job, WriteUrgency::Relaxed);
}

} // namespace shallotproxy
