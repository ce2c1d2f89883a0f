#include <algorithm>

#include "steward_state.hpp"

namespace shallotproxy {

auto Steward::backlogOf(const Job &job) -> Backlog &
{
    auto &backlog = m_backlogs[poolOf(job)];
    if (!backlog)
        backlog = std::make_unique<Backlog>();
    return *backlog;
}

/// Whether the step is ready and has tasks that wait. While runs of an earlier steward may still be
/// unknown, tasks that may have one don't count.
auto Steward::isWaitingStep(const Job &job, const Occurrence &occurrence, std::uint32_t step) const
    -> bool
{
    if (occurrence.waitingTasks[step] == 0 || !isReady(job, occurrence, step))
        return false;
    return !m_isRecovering || std::ranges::any_of(occurrence.steps[step], [this](const Task &it) {
        return isWaitingToStart(it);
    });
}

/// The task begins to wait.
auto Steward::addWaiting(Task &task) -> void
{
    auto &job = *task.job;
    auto &occurrence = job.occurrences.at(task.occurrence);
    auto &firstWaiting = occurrence.firstWaiting[task.step];
    firstWaiting = std::min(firstWaiting, task.index);
    if (++occurrence.waitingTasks[task.step] == 1 || m_isRecovering)
        updateBacklog(job, task.occurrence, task.step);
    if (task.crashes.isSuspect())
        noteSuspect(task);
}

/// The task waits no longer.
auto Steward::removeWaiting(Task &task) -> void
{
    auto &job = *task.job;
    auto &occurrence = job.occurrences.at(task.occurrence);
    if (--occurrence.waitingTasks[task.step] == 0)
        updateBacklog(job, task.occurrence, task.step);
}

/// Adds a step to the backlog of its pool, moves it to its place there, or removes it.
auto Steward::updateBacklog(Job &job, std::uint32_t number, std::uint32_t step) -> void
{
    auto &occurrence = job.occurrences.at(number);
    auto waiting = WaitingStep();
    waiting.id = {job.number, number, step};
    auto &steps = backlogOf(job).steps;
    if (job.outcome != JobOutcome::Open || !isWaitingStep(job, occurrence, step)) {
        steps.remove(waiting.id);
        return;
    }
    const auto &spec = job.spec.steps[step];
    waiting.priority = rulesOf(job).priority;
    waiting.isLongRunning = spec.isLongRunning;
    waiting.isSurplus = job.isSurplus;
    waiting.remainingWork = job.remainingWork;
    waiting.deadline = job.deadline;
    waiting.usefulUntil = job.usefulUntil;
    waiting.submittedAt = job.submittedAt;
    waiting.team = job.spec.team;
    waiting.requiredLabel = spec.requiredLabel;
    steps.add(waiting, Candidate{&job, &occurrence, step});
}

auto Steward::updateBacklog(Job &job) -> void
{
    for (const auto &[number, occurrence] : job.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step)
            updateBacklog(job, number, step);
    }
}

auto Steward::removeFromBacklog(Job &job) -> void
{
    auto &backlog = backlogOf(job);
    for (const auto &[number, occurrence] : job.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            backlog.steps.remove({job.number, number, step});
            backlog.suspects.erase({job.number, number, step});
        }
    }
}

/// Builds the backlogs anew, as pools and priorities of queues may have changed.
auto Steward::rebuildBacklogs() -> void
{
    m_backlogs.clear();
    for (const auto &[pool, jobs] : m_openJobs) {
        for (const auto &[number, job] : jobs) {
            updateBacklog(*job);
            for (const auto &[occurrenceNumber, occurrence] : job->occurrences) {
                for (const auto &tasks : occurrence.steps) {
                    const auto suspect = std::ranges::find_if(
                        tasks, [](const Task &it) { return it.crashes.isSuspect(); });
                    if (suspect != tasks.end())
                        noteSuspect(*suspect);
                }
            }
        }
    }
}

auto Steward::noteSuspect(const Task &task) -> void
{
    auto &job = *task.job;
    if (job.outcome != JobOutcome::Open)
        return;
    auto &occurrence = job.occurrences.at(task.occurrence);
    backlogOf(job).suspects.insert_or_assign({job.number, task.occurrence, task.step},
                                             Candidate{&job, &occurrence, task.step, true});
}

/// Returns the ready steps with suspects that may be placed.
auto Steward::waitingSuspects(const PoolName &pool) -> std::vector<Candidate>
{
    auto result = std::vector<Candidate>();
    const auto backlog = m_backlogs.find(pool);
    if (backlog == m_backlogs.end())
        return result;
    std::erase_if(backlog->second->suspects, [](const auto &it) {
        return std::ranges::none_of(it.second.tasks(),
                                    [](const Task &task) { return task.crashes.isSuspect(); });
    });
    for (const auto &[id, candidate] : backlog->second->suspects) {
        const auto mayBePlaced =
            std::ranges::any_of(candidate.tasks(),
                                [this](const Task &it) { return mayPlaceSuspect(it); })
            && isReady(*candidate.job, *candidate.occurrence, candidate.step);
        if (mayBePlaced)
            result.push_back(candidate);
    }
    return result;
}

} // namespace shallotproxy
