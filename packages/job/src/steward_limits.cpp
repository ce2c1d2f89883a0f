#include <algorithm>

#include "steward_state.hpp"

namespace shallotproxy {

namespace {

using std::chrono::milliseconds;

// Smaller tasks of a team may start for this long while its limit keeps a larger one from starting.
constexpr milliseconds MaxPassedByTime{5'000};

} // namespace

/// Returns the limit of the job's team. Jobs of a team that is no longer declared keep the limit
/// that it had when they were submitted.
auto Steward::limitOf(const Job &job) const -> Resources
{
    const auto team = m_rules->teams.find(job.spec.team);
    return team == m_rules->teams.end() ? job.spec.teamLimit : team->second.limit;
}

/// Returns the most that the team uses. Runs that may be unknown count as finite: they are found,
/// or known to have ended, when the recovery is over.
auto Steward::loadOf(const TeamName &team) const -> TeamLoad
{
    const auto known = m_teamLoads.find(team);
    auto usage = known == m_teamLoads.end() ? TeamLoad() : known->second;
    if (m_isRecovering)
        usage.total += m_unknownRuns.upperBound(team, m_unaskedRoom);
    return usage;
}

/// Whether the team's limit lets a task of the step start now, also beside what other tasks of the
/// team are about to use. Decides what is placed, preempted, reported and counted as waiting for
/// room.
auto Steward::isWithinTeamLimit(const Job &job, const WaitingStepId &step,
                                const Resources &claimed) const -> bool
{
    if (!m_rules || isHeldBack(job.spec.team, step))
        return false;
    auto usage = loadOf(job.spec.team);
    usage.total += claimed;
    const auto &spec = job.spec.steps[step.step];
    return isWithinLimit(usage, spec.resources, spec.isLongRunning, limitOf(job));
}

auto Steward::isWithinTeamLimit(const Task &task) const -> bool
{
    return isWithinTeamLimit(*task.job, task.stepId());
}

/// Whether another step of the team has been passed by for so long that nothing else of the team
/// starts before it.
auto Steward::isHeldBack(const TeamName &team, const WaitingStepId &step) const -> bool
{
    const auto wait = m_limitWaits.find(team);
    return wait != m_limitWaits.end() && wait->second.step != step
        && m_now >= wait->second.since + MaxPassedByTime;
}

/// Whether the limit lets a task of the step start once the team's finite runs have ended.
auto Steward::mayStartAfterFiniteRuns(const Job &job, const StepSpec &step) const -> bool
{
    return isWithinLimit(loadOf(job.spec.team).afterFiniteRuns(), step.resources,
                         step.isLongRunning, limitOf(job));
}

/// Notes that the limit keeps the task from starting in its turn. One step of each team is noted,
/// and only if it can start once the team's finite runs have ended. Finite steps count from when
/// they are overdue: until then, the order of the waiting steps decides.
auto Steward::noteLimitReached(const Task &task) -> void
{
    const auto &job = *task.job;
    const auto &spec = task.spec();
    const auto isInTurn = spec.isLongRunning || m_now >= job.submittedAt + OverdueAge;
    if (!isInTurn || !m_rules || m_limitWaits.contains(job.spec.team))
        return;
    const auto mayHold = [this, &task](const Worker *it) {
        return it->report.capacity.covers(task.spec().reservedResources())
            && isAllowedOn(*it, task);
    };
    if (mayStartAfterFiniteRuns(job, spec)
        && std::ranges::any_of(m_poolWorkers[poolOf(job)], mayHold))
        m_limitWaits[job.spec.team] = {task.stepId(), &job, m_now};
}

/// The limit doesn't keep the task from starting any more.
auto Steward::forgetLimitReached(const Task &task) -> void
{
    const auto wait = m_limitWaits.find(task.job->spec.team);
    if (wait != m_limitWaits.end() && wait->second.step == task.stepId())
        m_limitWaits.erase(wait);
}

/// Forgets the steps that don't wait any more, or that the end of other runs doesn't help any more.
auto Steward::forgetSettledLimitWaits() -> void
{
    if (!m_rules)
        return;
    std::erase_if(m_limitWaits, [this](const auto &entry) {
        const auto &wait = entry.second;
        const auto isWaiting = std::ranges::any_of(m_backlogs, [&wait](const auto &backlog) {
            return backlog.second->steps.contains(wait.step);
        });
        // A job that waits is open, and therefore still there.
        return !isWaiting
            || !mayStartAfterFiniteRuns(*wait.job, wait.job->spec.steps[wait.step.step]);
    });
}

} // namespace shallotproxy
