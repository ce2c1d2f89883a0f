#include <algorithm>
#include <bit>

#include "steward_state.hpp"

namespace shallotproxy {

using std::chrono::milliseconds;

namespace {

// A poll that a worker has held back for at least this long by its clock was answered when a run
// ended.
constexpr std::int64_t MinHeldMilliseconds = 20;
// Between two readings of the ratios; further ones aren't kept.
constexpr std::size_t MaxRunTimeRatios = 1'000;

} // namespace

auto Steward::shapeOf(const Job &job, std::size_t step) const -> RunShape
{
    const auto &spec = job.spec.steps[step];
    return {job.spec.queue, job.spec.team, milliseconds(spec.estimatedMilliseconds),
            spec.taskCount};
}

/// Returns how long the runs of a step are expected to take; no occurrence stands for a job that
/// has none open.
auto Steward::forecastRun(const Job &job, const Occurrence *occurrence, std::size_t step) const
    -> RunTimeForecast
{
    const auto shape = shapeOf(job, step);
    if (!m_settings.runTimes.isOn)
        return {shape.stated, shape.stated};
    const auto finished = occurrence == nullptr ? StepWitness() : occurrence->finishedRuns[step];
    const auto forecast = m_runTimes.forecast(shape, finished);
    if (shape.stated <= Duration())
        return forecast;
    const auto ratio = std::max(m_settings.runTimes.maxRatio, 1.0);
    const auto bounded = [&](Duration time) {
        return std::clamp(time, std::chrono::duration_cast<Duration>(shape.stated / ratio),
                          std::chrono::duration_cast<Duration>(shape.stated * ratio));
    };
    return {bounded(forecast.expected), bounded(forecast.upper)};
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

/// Notes when the runs that a poll shows as ended did so at the earliest. A worker answers at once
/// if one has ended before the poll comes, and so since the last one; a busy steward polls late.
auto Steward::noteEarliestEnd(Worker &worker, const steward_event::WorkerPolled &event) -> void
{
    // By the answer that took the least time to be read.
    const auto toMilliseconds = [](BootTime at) {
        return std::chrono::duration_cast<milliseconds>(at.time_since_epoch()).count();
    };
    const auto ahead = event.clockMilliseconds - toMilliseconds(m_now);
    worker.clockAheadMilliseconds =
        worker.isPolled ? std::max(worker.clockAheadMilliseconds, ahead) : ahead;
    const auto sentMilliseconds = toMilliseconds(event.sentAt) + worker.clockAheadMilliseconds;
    const auto isHeld = event.clockMilliseconds - sentMilliseconds >= MinHeldMilliseconds;
    worker.earliestEndMilliseconds = isHeld ? event.clockMilliseconds : worker.polledMilliseconds;
    worker.polledMilliseconds = event.clockMilliseconds;
}

/// Returns how long the task's present run has taken, by the worker's clock; nothing if that isn't
/// known, or if it says nothing of runs elsewhere.
auto Steward::runTimeOf(const Task &task, const Worker &worker) const -> std::optional<Duration>
{
    const auto &spec = task.spec();
    const auto &labels = worker.report.labels;
    const auto isNearData =
        spec.preferredRack.empty() || std::ranges::find(labels, spec.preferredRack) != labels.end();
    if (spec.isLongRunning || !task.activeAtMilliseconds || task.isPartialRun || task.isRunLost
        || !isNearData)
        return std::nullopt;
    const auto latest = worker.latestClockMilliseconds;
    const auto earliest = std::clamp(worker.earliestEndMilliseconds, *task.activeAtMilliseconds,
                                     std::max(latest, *task.activeAtMilliseconds));
    const auto elapsed = (earliest + latest) / 2 - *task.activeAtMilliseconds;
    // The clock of an incarnation that followed starts anew.
    return elapsed > 0 ? std::optional<Duration>(milliseconds(elapsed)) : std::nullopt;
}

/// Learns from the end of the task's present run. The runs of a slow worker show the worker, and
/// not how long others take.
auto Steward::observeRunTime(const Task &task, Worker &worker, const EndedRun &end) -> void
{
    const auto elapsed = runTimeOf(task, worker);
    if (!m_settings.runTimes.isOn || !elapsed)
        return;
    auto &job = *task.job;
    auto &occurrence = job.occurrences.at(task.occurrence);
    auto &finished = occurrence.finishedRuns[task.step];
    const auto shape = shapeOf(job, task.step);
    if (end.end == RunEnd::Done) {
        const auto forecast = forecastRun(job, &occurrence, task.step).expected;
        worker.pace.add(*elapsed, forecast, m_now);
        m_fleetPace.add(*elapsed, forecast, m_now);
        if (forecast > Duration() && m_runTimeRatios.size() < MaxRunTimeRatios) {
            m_runTimeRatios.push_back(
                {shape.queue, std::chrono::duration<double>(*elapsed) / forecast});
        }
    }
    if (isSlow(worker))
        return;
    ++m_observedRuns;
    if (end.end != RunEnd::Done) {
        m_runTimes.observeAtLeast(shape, finished, *elapsed);
        return;
    }
    m_runTimes.observe(shape, finished, *elapsed);
    finished.add(*elapsed);
    // Each doubling of what is known of a step may change the order by much, other runs by little.
    if (std::has_single_bit(finished.count()) && job.outcome == JobOutcome::Open) {
        updateForecast(job, &occurrence);
        updateBacklog(job);
    }
}

/// Whether the worker's runs take longer than those of others.
auto Steward::isSlow(const Worker &worker) const -> bool
{
    return worker.pace.isSlowerThan(m_fleetPace, m_now);
}

auto Steward::takeRunTimeRatios() -> std::vector<RunTimeRatio>
{
    return std::exchange(m_runTimeRatios, {});
}

} // namespace shallotproxy
