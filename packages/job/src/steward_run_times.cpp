#include <algorithm>
#include <bit>

#include "steward_state.hpp"

namespace shallotproxy {

using std::chrono::milliseconds;

auto Steward::shapeOf(const Job &job, std::size_t step) const -> RunShape
{
    return {job.spec.queue, job.spec.team,
            milliseconds(job.spec.steps[step].estimatedMilliseconds)};
}

/// Returns how long the runs of a step are expected to take; no occurrence stands for a job that
/// has none open.
auto Steward::forecastRun(const Job &job, const Occurrence *occurrence, std::size_t step) const
    -> RunTimeForecast
{
    const auto finished = occurrence == nullptr ? StepWitness() : occurrence->finishedRuns[step];
    return m_runTimes.forecast(shapeOf(job, step), finished);
}

/// Updates what a job is expected to need, and so when it is late.
auto Steward::updateForecast(Job &job, const Occurrence *occurrence) -> void
{
    const auto path = [this, &job, occurrence](bool isRemaining) {
        return job.spec.criticalPath([&](std::size_t step) {
            const auto isDone = occurrence != nullptr && occurrence->remainingTasks[step] == 0;
            return isDone && isRemaining ? Duration() : forecastRun(job, occurrence, step).expected;
        });
    };
    const auto &rules = rulesOf(job);
    const auto whole = path(false);
    job.remainingWork = path(true);
    job.deadline = job.submittedAt + rules.deadlineOf(whole);
    job.usefulUntil = job.submittedAt + rules.usefulTimeOf(whole);
}

/// Learns from the end of the task's present run, by the worker's clock. Runs that go on from a
/// checkpoint or far from their data take another time than others, and so tell nothing.
auto Steward::observeRunTime(const Task &task, const Worker &worker, const EndedRun &end) -> void
{
    const auto &spec = task.spec();
    const auto &labels = worker.report.labels;
    const auto isNearData =
        spec.preferredRack.empty() || std::ranges::find(labels, spec.preferredRack) != labels.end();
    if (spec.isLongRunning || !task.activeAtMilliseconds || task.isPartialRun || !isNearData)
        return;
    const auto elapsed =
        Duration(milliseconds(worker.latestClockMilliseconds - *task.activeAtMilliseconds));
    auto &job = *task.job;
    auto &occurrence = job.occurrences.at(task.occurrence);
    auto &finished = occurrence.finishedRuns[task.step];
    const auto shape = shapeOf(job, task.step);
    if (end.end != RunEnd::Done) {
        m_runTimes.observeAtLeast(shape, finished, elapsed);
        return;
    }
    m_runTimes.observe(shape, finished, elapsed);
    ++m_observedRuns;
    finished.add(elapsed);
    // Each doubling of what is known of a step may change the order by much, other runs by little.
    if (std::has_single_bit(finished.count()) && job.outcome == JobOutcome::Open) {
        updateForecast(job, &occurrence);
        updateBacklog(job);
    }
}

} // namespace shallotproxy
