#include <algorithm>
#include <tuple>
#include <utility>

#include "steward_state.hpp"

namespace shallotproxy {

namespace {

using std::chrono::milliseconds;

// The answer to a start order has been read after this time, also by a busy steward.
constexpr milliseconds AnswerTime{1'000};
// A worker is reserved for a suspect for at most this long.
constexpr milliseconds SuspectReservation{1'000};
// At most one in this many workers of a pool is reserved for suspects or isolates one. Suspects
// with one crash are soon established and have no limit.
constexpr std::size_t WorkersPerSuspect = 4;
// A suspect waits for this long at most for a worker without another one, and for the longer time
// once more crashes are held against it. A sound long-running task is missed meanwhile.
constexpr milliseconds ShortSeparationTime{1'000};
constexpr milliseconds MaxSeparationTime{3'000};
constexpr std::size_t CrashesOfPatientSuspect = 3;

} // namespace

/// Whether the task is a suspect that may be started. Its crashes have to be persisted, so that the
/// next steward knows of them. If another crash would decide, the worker's answer has to be known.
auto Steward::mayPlaceSuspect(const Task &task) const -> bool
{
    if (!task.crashes.isSuspect() || task.crashes.isCause() || !isWaitingToStart(task))
        return false;
    const auto isPersisted = task.job->persistedChange >= task.crashChange;
    if (task.crashes.isNearVerdict())
        return isPersisted && m_now >= task.orderedAt + AnswerTime;
    return isPersisted || m_now >= task.phaseSince + MaxPersistTime;
}

/// Places waiting suspects, and keeps workers free for those that find none.
auto Steward::placeSuspects(const PoolName &pool, const Candidate &candidate, SuspectGroup &group)
    -> void
{
    for (auto &task : candidate.occurrence->steps[candidate.step]) {
        if (!mayPlaceSuspect(task))
            continue;
        if (!isWithinTeamLimit(task)) {
            noteLimitReached(task);
            continue;
        }
        forgetLimitReached(task);
        if (joinsGroup(task, group))
            continue;
        auto *worker = chooseWorkerForSuspect(pool, task);
        if (worker == nullptr)
            continue;
        const auto keepsWorker = needsIsolation(task);
        const auto isReserved = m_now < worker->suspectReservedUntil;
        const auto mayKeepWorker = isReserved || mayReserveForSuspect(pool, task);
        // A long-running task is missed while it waits, and rather starts without being isolated.
        if (keepsWorker && !mayKeepWorker && !task.spec().isLongRunning)
            continue;
        worker->suspectReservedUntil = m_now;
        startTask(task, *worker);
        task.isIsolated = keepsWorker && mayKeepWorker;
        const auto startsGroup = group.maxSize > 1 && task.crashes.mayBeGrouped();
        // The next steward learns of a crash also if this one dies before it does. Of a crowd of
        // suspects of one crash, most are innocent.
        if (!startsGroup && (task.crashes.needsIsolation() || !group.isCrowded))
            recordPossibleCrash(task, CrashEvidence::Sole, WriteUrgency::First);
        if (startsGroup) {
            group.worker = worker;
            group.first = &task;
            group.size = 1;
        }
    }
}

/// Starts the suspect on the worker of the group if it may be one of them.
auto Steward::joinsGroup(Task &task, SuspectGroup &group) -> bool
{
    if (group.worker == nullptr || group.size == group.maxSize || m_startBudget == 0
        || !task.crashes.mayBeGrouped() || !isAllowedOn(*group.worker, task)
        || !fits(*group.worker, task))
        return false;
    ++group.size;
    --m_startBudget;
    startTask(task, *group.worker);
    task.isGrouped = true;
    group.first->isGrouped = true;
    return true;
}

auto Steward::newSuspectGroup(const PoolName &pool, std::span<const Candidate> suspects) const
    -> SuspectGroup
{
    const auto it = m_suspectGroups.find(pool);
    const auto groups = it == m_suspectGroups.end() ? SuspectGroups() : it->second;
    auto waiting = std::size_t{0};
    auto groupable = std::size_t{0};
    for (const auto &candidate : suspects) {
        for (const auto &task : candidate.tasks()) {
            if (!mayPlaceSuspect(task))
                continue;
            ++waiting;
            if (task.crashes.mayBeGrouped())
                ++groupable;
        }
    }
    const auto workers = static_cast<std::size_t>(std::ranges::count_if(
        m_poolWorkers.at(pool), [this](const Worker *worker) { return acceptsRuns(*worker); }));
    auto group = SuspectGroup();
    group.maxSize = groups.size(groupable, workers, m_now);
    group.isCrowded = waiting > workers;
    return group;
}

/// Returns the worker on which the suspect may start now: all runs there are established, and none
/// is under test; it is known to be there if an earlier one wasn't. Prefers workers without other
/// suspects, which might crash them as well, then workers that have been up for long, then those
/// with few runs. If there is none, reserves a worker and returns null.
auto Steward::chooseWorkerForSuspect(const PoolName &pool, const Task &task) -> Worker *
{
    const auto isQuiet = [this](const Worker &worker) {
        return std::ranges::all_of(worker.runs,
                                   [this](const Task *it) { return isEstablished(*it); });
    };
    const auto rank = [this](const Worker &worker) {
        const auto suspects = std::ranges::count_if(
            worker.runs, [](const Task *it) { return it->crashes.isSuspect(); });
        return std::tuple(suspects, isNew(worker), worker.runs.size());
    };
    const auto isBetter = [&rank](const Worker *worker, const Worker *best) {
        return best == nullptr || rank(*worker) < rank(*best);
    };
    Worker *best = nullptr;
    Worker *next = nullptr;
    auto isAnyReserved = false;
    auto doubtful = std::vector<Worker *>();
    for (auto *worker : m_poolWorkers[pool]) {
        isAnyReserved = isAnyReserved || m_now < worker->suspectReservedUntil;
        if (hasRunUnderTest(*worker) || !acceptsRuns(*worker) || !isAllowedOn(*worker, task))
            continue;
        if (isQuiet(*worker) && fits(*worker, task)) {
            if (task.crashes.hasUnprovenRun() && !isInTouch(*worker)) {
                doubtful.push_back(worker);
            } else {
                best = isBetter(worker, best) ? worker : best;
            }
        } else if (worker->report.capacity.covers(task.spec().reservedResources())) {
            next = isBetter(worker, next) ? worker : next;
        }
    }
    if (best != nullptr && waitsForSeparation(task, *best))
        return nullptr;
    if (best == nullptr)
        std::ranges::for_each(doubtful, [this](Worker *it) { probe(*it); });
    if (best == nullptr && doubtful.empty() && next != nullptr && !isAnyReserved
        && mayReserveForSuspect(pool, task))
        next->suspectReservedUntil = m_now + SuspectReservation;
    return best;
}

/// Whether the suspect waits until it finds a worker without another suspect: a crash of both would
/// tell little of either.
auto Steward::waitsForSeparation(const Task &task, const Worker &worker) const -> bool
{
    const auto isNearVerdict = [](const Task *it) { return it->crashes.isNearVerdict(); };
    const auto patience = task.crashes.runs().size() >= CrashesOfPatientSuspect
        ? MaxSeparationTime
        : ShortSeparationTime;
    return task.crashes.isNearVerdict() && m_now < task.phaseSince + patience
        && std::ranges::any_of(worker.runs, isNearVerdict);
}

/// Whether the worker is kept from other tasks for a suspect of this kind. Finite suspects keep
/// theirs for long and must not keep long-running ones waiting.
auto Steward::countsForSuspectLimit(const Worker &worker, bool isLongRunning) const -> bool
{
    const auto isFiniteTest = [this](const Task *it) {
        return !it->spec().isLongRunning && isUnderTest(*it);
    };
    return isKeptForSuspects(worker)
        && !(isLongRunning && std::ranges::any_of(worker.runs, isFiniteTest));
}

/// Whether another worker of the pool may be kept from other tasks for the suspect.
auto Steward::mayReserveForSuspect(const PoolName &pool, const Task &task) const -> bool
{
    const auto &workers = m_poolWorkers.at(pool);
    const auto isKept = [this, &task](const Worker *it) {
        return countsForSuspectLimit(*it, task.spec().isLongRunning);
    };
    const auto kept = static_cast<std::size_t>(std::ranges::count_if(workers, isKept));
    return kept < std::max<std::size_t>(1, workers.size() / WorkersPerSuspect);
}

} // namespace shallotproxy
