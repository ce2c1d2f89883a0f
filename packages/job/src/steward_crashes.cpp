#include <algorithm>

#include "steward_state.hpp"

namespace shallotproxy {

namespace {

using std::chrono::milliseconds;

// A run is established once its worker has answered this long after the start order.
constexpr milliseconds EstablishTime{100};
// After the second crash of its task, nothing is started beside a run for this long; after each
// further crash for this many times longer.
constexpr milliseconds MinIsolationTime{3'000};
constexpr int IsolationGrowth = 3;
// A run that has been active for this long clears its task: later crashes are more likely those of
// the host.
constexpr milliseconds ExonerationTime{30'000};
// Crashes of a data centre's workers within this time have one cause. Covers the time between two
// lists of the hosts.
constexpr milliseconds DataCentreLossWindow{2'000};
// With fewer crashes, the loss of a data centre can't be told from single ones.
constexpr std::ptrdiff_t MinCrashesOfLostDataCentre = 3;
// A worker is reserved for a suspect for at most this long.
constexpr milliseconds SuspectReservation{1'000};
// At most one in this many workers of a pool is reserved for suspects or has only a run under test.
constexpr std::size_t WorkersPerSuspect = 4;

auto isolationTime(const CrashHistory &crashes) -> milliseconds
{
    if (!crashes.needsIsolation())
        return {};
    auto time = MinIsolationTime;
    for (auto n = crashes.runs().size(); n > 2 && time < ExonerationTime; --n)
        time *= IsolationGrowth;
    return std::min(time, ExonerationTime);
}

} // namespace

/// Whether the worker has answered after the task's run had been active for a while.
auto Steward::isEstablished(const Task &task) const -> bool
{
    return task.confirmedAt >= task.attachedAt
        && task.worker->lastAnswerAt >= task.attachedAt + EstablishTime;
}

/// Whether nothing else may start beside the run of the task, so that a crash is evidence against
/// the task alone.
auto Steward::isUnderTest(const Task &task) const -> bool
{
    if (!task.crashes.isSuspect())
        return false;
    return !isEstablished(task) || m_now < task.attachedAt + isolationTime(task.crashes);
}

auto Steward::hasRunUnderTest(const Worker &worker) const -> bool
{
    return std::ranges::any_of(worker.runs, [this](const Task *it) { return isUnderTest(*it); });
}

/// Attributes the crash of a worker to the runs that were lost there.
auto Steward::recordCrash(const Worker &worker) -> void
{
    std::erase_if(m_recentCrashes,
                  [this](const RecentCrash &it) { return m_now >= it.at + DataCentreLossWindow; });
    auto tasks = std::vector<Task *>();
    std::ranges::copy_if(worker.runs, std::back_inserter(tasks), [](const Task *it) {
        return it->job->outcome == JobOutcome::Open && !it->isRunLost;
    });
    auto runs = std::vector<RunAtCrash>();
    auto crash = RecentCrash{m_now, worker.lastAnswerAt, worker.report.dataCentre, {}};
    for (const auto *task : tasks) {
        runs.push_back({task->crashes.isSuspect(), isEstablished(*task), isUnderTest(*task)});
        crash.runs.push_back({task->id(), task->run});
    }
    m_recentCrashes.push_back(std::move(crash));
    if (isLostWithDataCentre(worker))
        return;
    if (const auto lostAt = lossOfDataCentre(worker.report.dataCentre)) {
        m_lostDataCentres[worker.report.dataCentre] = *lostAt;
        withdrawCrashes(worker.report.dataCentre, *lostAt);
        if (isLostWithDataCentre(worker))
            return;
    }
    const auto evidence = attributeCrash(runs);
    for (std::size_t n = 0; n < tasks.size(); ++n) {
        auto &task = *tasks[n];
        if (!evidence[n] || !task.crashes.add(task.run, *evidence[n]))
            continue;
        markChanged(*task.job, true);
        task.crashChange = task.job->change;
        if (task.crashes.isCause())
            m_verdicts.push_back({m_now + DataCentreLossWindow, task.id()});
    }
}

/// Returns the time of the data centre's loss if all of its workers have stopped answering at about
/// the same time, before the first of these crashes was known.
auto Steward::lossOfDataCentre(const DataCentreName &dataCentre) const -> std::optional<BootTime>
{
    const auto isSurvivor = [&](const WorkerName &name, const Worker &worker, BootTime lostAt) {
        const auto isListed = !m_hasHostList || m_expectedWorkers.contains(name);
        // A worker that started meanwhile may be the successor of one that was lost.
        const auto isOld = worker.firstSeenAt <= lostAt - DataCentreLossWindow;
        const auto isAnswering = worker.runs.empty() || worker.lastAnswerAt > lostAt;
        return worker.report.dataCentre == dataCentre && worker.isRegistered && isListed && isOld
            && isAnswering;
    };
    for (const auto &first : m_recentCrashes) {
        const auto crashes = std::ranges::count_if(m_recentCrashes, [&](const RecentCrash &it) {
            return it.dataCentre == dataCentre && it.isOfLossAt(first.at);
        });
        const auto hasSurvivor = std::ranges::any_of(
            m_workers, [&](const auto &it) { return isSurvivor(it.first, *it.second, first.at); });
        if (first.dataCentre == dataCentre && crashes >= MinCrashesOfLostDataCentre && !hasSurvivor)
            return first.at;
    }
    return std::nullopt;
}

/// Whether the worker hasn't answered since its data centre was lost. The ends of some workers are
/// known only when the leases of their runs have expired.
auto Steward::isLostWithDataCentre(const Worker &worker) const -> bool
{
    const auto it = m_lostDataCentres.find(worker.report.dataCentre);
    return it != m_lostDataCentres.end() && worker.lastAnswerAt <= it->second
        && worker.firstSeenAt <= it->second;
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
                && task->crashes.remove(it.run))
                markChanged(*task->job, false);
        }
    }
}

/// Fails the jobs of tasks that crash their workers, unless the crashes turned out to be the loss
/// of a data centre.
auto Steward::applyVerdicts() -> void
{
    const auto due =
        std::ranges::partition(m_verdicts, [this](const Verdict &it) { return m_now < it.dueAt; });
    const auto verdicts = std::vector<Verdict>(due.begin(), due.end());
    m_verdicts.erase(due.begin(), due.end());
    for (const auto &it : verdicts) {
        const auto *task = findTask(it.task);
        if (task == nullptr || task->job->outcome != JobOutcome::Open || !task->crashes.isCause())
            continue;
        m_actions.emplace_back(
            steward_action::ReportCrashingTask{it.task, task->crashes.runs().size()});
        endJob(*task->job, JobOutcome::Failed);
    }
}

/// Clears a task whose run has been active for long.
auto Steward::exonerate(Task &task) -> void
{
    if (task.crashes.isEmpty() || m_now < task.attachedAt + ExonerationTime)
        return;
    task.crashes.clear();
    markChanged(*task.job, false);
}

/// Whether the task is a suspect that may be started. It isn't started again before its crashes are
/// persisted, so that the next steward knows of them; many tasks have a single one, which may be
/// forgotten.
auto Steward::mayPlaceSuspect(const Task &task) const -> bool
{
    return task.crashes.isSuspect() && !task.crashes.isCause() && isWaitingToStart(task)
        && (!task.crashes.needsIsolation() || task.job->persistedChange >= task.crashChange);
}

/// Places waiting suspects, and keeps workers free for those that find none.
auto Steward::placeSuspects(const PoolName &pool, const Candidate &candidate) -> void
{
    for (auto &task : candidate.occurrence->steps[candidate.step]) {
        if (!mayPlaceSuspect(task) || !isWithinTeamLimit(*task.job, task.spec().resources))
            continue;
        if (auto *worker = chooseWorkerForSuspect(pool, task)) {
            worker->suspectReservedUntil = m_now;
            startTask(task, *worker);
        }
    }
}

/// Returns the worker with the fewest runs on which the suspect may start now: all runs there are
/// established, and none is under test. If there is none, reserves a worker and returns null.
auto Steward::chooseWorkerForSuspect(const PoolName &pool, const Task &task) -> Worker *
{
    const auto isQuiet = [this, &task](const Worker &worker) {
        return std::ranges::all_of(worker.runs, [this, &task](const Task *it) {
            const auto isOtherSuspect = task.crashes.needsIsolation() && it->crashes.isSuspect();
            return isEstablished(*it) && !isOtherSuspect;
        });
    };
    const auto hasFewerRuns = [](const Worker *worker, const Worker *best) {
        return best == nullptr || worker->runs.size() < best->runs.size();
    };
    Worker *best = nullptr;
    Worker *next = nullptr;
    auto keptFree = std::size_t{0};
    auto isAnyReserved = false;
    const auto &workers = m_poolWorkers[pool];
    for (auto *worker : workers) {
        const auto isReserved = m_now < worker->suspectReservedUntil;
        const auto isTesting = hasRunUnderTest(*worker);
        isAnyReserved = isAnyReserved || isReserved;
        keptFree += isReserved || isTesting ? 1 : 0;
        if (isTesting || !acceptsRuns(*worker) || !isAllowedOn(*worker, task))
            continue;
        if (isQuiet(*worker) && fits(*worker, task)) {
            best = hasFewerRuns(worker, best) ? worker : best;
        } else if (worker->report.capacity.covers(task.spec().reservedResources())) {
            next = hasFewerRuns(worker, next) ? worker : next;
        }
    }
    const auto maxKeptFree = std::max<std::size_t>(1, workers.size() / WorkersPerSuspect);
    if (best == nullptr && next != nullptr && !isAnyReserved && keptFree < maxKeptFree)
        next->suspectReservedUntil = m_now + SuspectReservation;
    return best;
}

} // namespace shallotproxy
