#include <algorithm>

#include "steward_state.hpp"

namespace shallotproxy {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds ReportInterval{1'000};
// A task that waits is reported after this time, and again each time it is over.
constexpr milliseconds TaskReportInterval{3'000};
constexpr std::size_t MaxTasksPerReport = 20;

} // namespace

auto Steward::Task::noteAvailability() -> void
{
    if (phase == TaskPhase::Running || phase == TaskPhase::Done) {
        unavailableSince.reset();
    } else if (spec().isLongRunning && !unavailableSince) {
        unavailableSince = phaseSince;
    }
}

/// Reports the tasks that have waited for long, those first that haven't been reported for longest.
auto Steward::reportWaitingTasks() -> void
{
    if (m_now < m_nextWaitReportAt)
        return;
    m_nextWaitReportAt = m_now + ReportInterval;
    auto tasks = findLongWaiting();
    const auto count = std::min(tasks.size(), MaxTasksPerReport);
    std::ranges::partial_sort(tasks, tasks.begin() + static_cast<std::ptrdiff_t>(count),
                              std::ranges::less(), &Task::waitReportedAt);
    for (auto *task : std::span(tasks).first(count)) {
        task->waitReportedAt = m_now;
        const auto *worker = task->worker;
        m_actions.emplace_back(steward_action::ReportWaitingTask{
            task->id(), task->run, worker == nullptr ? WorkerName() : worker->report.name,
            waitReason(*task), m_now - waitingSince(*task)});
    }
    if (tasks.size() > count)
        m_actions.emplace_back(steward_action::ReportMoreWaitingTasks{tasks.size() - count});
}

/// Returns the tasks that are due for a report.
auto Steward::findLongWaiting() -> std::vector<Task *>
{
    auto found = std::map<JobTaskId, Task *>();
    const auto examine = [this, &found](Task &task) {
        task.noteAvailability();
        if (hasWaitedLong(task) && m_now >= task.waitReportedAt + TaskReportInterval)
            found.emplace(task.id(), &task);
    };
    for (const auto &[number, job] : m_longRunningJobs) {
        for (auto &[occurrenceNumber, occurrence] : job->occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                if (occurrence.remainingTasks[step] > 0 && isReady(*job, occurrence, step))
                    std::ranges::for_each(occurrence.steps[step], examine);
            }
        }
    }
    for (const auto &[pool, backlog] : m_backlogs) {
        for (const auto &[id, candidate] : backlog->suspects) {
            if (isReady(*candidate.job, *candidate.occurrence, candidate.step))
                std::ranges::for_each(candidate.tasks(), examine);
        }
    }
    for (const auto &[name, worker] : m_workers) {
        for (auto *task : worker->runs) {
            if (task->job->outcome == JobOutcome::Open)
                examine(*task);
        }
    }
    auto tasks = std::vector<Task *>();
    for (const auto &[id, task] : found)
        tasks.push_back(task);
    return tasks;
}

/// Returns since when the task has had no run that is known to be running.
auto Steward::waitingSince(const Task &task) -> BootTime
{
    return task.phase == TaskPhase::Running ? std::max(task.listedAt, task.confirmedAt)
                                            : task.waitingSince();
}

/// Whether the task of a ready step has had no running run for long. Of the finite tasks without a
/// worker only suspects count: the other ones wait for room in the normal course. A task that was
/// given up has been reported as such.
auto Steward::hasWaitedLong(const Task &task) const -> bool
{
    const auto &crashes = task.crashes;
    const auto hasRun = task.phase == TaskPhase::Starting || task.phase == TaskPhase::Running
        || task.phase == TaskPhase::Stopping;
    const auto isReported = hasRun
        || (task.phase == TaskPhase::Waiting && !crashes.isCause()
            && (task.spec().isLongRunning || crashes.isSuspect()));
    return isReported && m_now >= waitingSince(task) + TaskReportInterval;
}

auto Steward::waitReason(const Task &task) const -> WaitReason
{
    if (task.phase == TaskPhase::Stopping)
        return task.isStopConfirmed ? WaitReason::EndUnreported : WaitReason::StopUnconfirmed;
    if (task.phase == TaskPhase::Starting)
        return WaitReason::StartUnanswered;
    if (task.phase == TaskPhase::Running)
        return WaitReason::NotListed;
    if (!isWaitingToStart(task))
        return WaitReason::Recovering;
    if (!m_rules)
        return WaitReason::NoRules;
    const auto workers = m_poolWorkers.find(poolOf(*task.job));
    const auto acceptsRunsNow = [this](const Worker *it) { return acceptsRuns(*it); };
    if (workers == m_poolWorkers.end() || std::ranges::none_of(workers->second, acceptsRunsNow))
        return WaitReason::NoWorkers;
    if (!isWithinTeamLimit(task))
        return WaitReason::TeamLimit;
    if (task.crashes.isSuspect())
        return suspectWaitReason(task);
    const auto takers = workersToPlaceOn(workers->first);
    if (takers.empty())
        return WaitReason::WorkersKeptForSuspects;
    if (std::ranges::any_of(takers, [this, &task](const Worker *it) { return fits(*it, task); }))
        return WaitReason::PlacementDue;
    // The reservation may lapse before the preempted runs have ended.
    const auto isPreempting = [this](const Worker *it) {
        const auto isPreempted = [it](const Task *run) {
            return run->phase == TaskPhase::Stopping && run->phaseSince < it->reservedUntil;
        };
        return m_now < it->reservedUntil || std::ranges::any_of(it->runs, isPreempted);
    };
    return std::ranges::any_of(workers->second, isPreempting) ? WaitReason::PreemptionUnderWay
                                                              : WaitReason::NoRoom;
}

/// Returns why a suspect isn't placed although some worker of its pool accepts runs.
auto Steward::suspectWaitReason(const Task &task) const -> WaitReason
{
    if (!mayPlaceSuspect(task))
        return WaitReason::CrashNotPersisted;
    const auto accepts = [this, &task](const Worker *it) {
        return acceptsRuns(*it) && fits(*it, task);
    };
    return std::ranges::any_of(m_poolWorkers.at(poolOf(*task.job)), accepts)
        ? WaitReason::NoQuietWorker
        : WaitReason::NoRoomForSuspect;
}

} // namespace shallotproxy
