#include <algorithm>
#include <array>

#include "steward_state.hpp"

namespace shallotproxy {

namespace {

using std::chrono::milliseconds;

// The clock of the member that recorded the end of a job may differ from this one by as much.
constexpr milliseconds MaxClockDifference{30'000};

/// Returns the larger value of each resource.
auto largestOf(std::span<const Resources> all) -> Resources
{
    auto largest = Resources();
    for (const auto &it : all) {
        largest.milliCores = std::max(largest.milliCores, it.milliCores);
        largest.memoryMegabytes = std::max(largest.memoryMegabytes, it.memoryMegabytes);
        largest.accelerators = std::max(largest.accelerators, it.accelerators);
    }
    return largest;
}

} // namespace

/// Takes over the steps of a job that had ended before this steward loaded it: some runs may go on
/// for a while, and count for the team.
auto Steward::learnSteps(Job &job, const steward_event::JobAccepted &event) -> void
{
    const auto mayHaveRuns =
        job.outcome == JobOutcome::Cancelled || job.outcome == JobOutcome::Failed;
    const auto endOfRuns = milliseconds(job.endedMilliseconds) + m_settings.recoveryTimeout;
    const auto isRecent = milliseconds(m_wallMilliseconds) < endOfRuns + MaxClockDifference;
    if (!m_isRecovering || !event.mayRunAlready || !mayHaveRuns || !isRecent
        || !job.spec.steps.empty()) {
        return;
    }
    job.spec.steps = event.spec.steps;
    for (const auto &step : job.spec.steps)
        m_unknownRuns.add(job.spec.team, step, step.taskCount);
}

/// The run of the task that an earlier steward may have started is known now, or there is none.
auto Steward::settleUnknownRun(Task &task) -> void
{
    if (std::exchange(task.mayHaveUnknownRun, false))
        m_unknownRuns.remove(task.job->spec.team, task.spec());
}

/// Returns the capacity of the workers that may run tasks of an earlier steward and haven't been
/// asked; no value if it isn't known.
auto Steward::roomOfUnaskedWorkers() const -> std::optional<Resources>
{
    if (!m_isRecovering)
        return Resources();
    if (!m_hasHostList)
        return std::nullopt;
    const auto largestHost = largestOf(m_hostCapacities);
    auto room = Resources();
    for (const auto &name : m_expectedWorkers) {
        const auto worker = m_workers.find(name);
        if (worker == m_workers.end()) {
            if (m_hostCapacities.empty())
                return std::nullopt;
            room += largestHost;
        } else if (!worker->second->isPolled) {
            // Its capacity may have shrunk below what it runs.
            const auto capacities = std::array{worker->second->report.capacity, largestHost};
            room += largestOf(capacities);
        }
    }
    return room;
}

} // namespace shallotproxy
