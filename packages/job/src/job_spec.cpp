#include <algorithm>

#include <fmt/format.h>

#include "shallotproxy/job/job_spec.hpp"
#include "shallotproxy/process/base/record_codec.hpp"

namespace shallotproxy {

namespace {

// These limits bound the state of one job. Jobs of users have at most 10 steps.
constexpr std::size_t MaxSteps = 64;
constexpr std::uint32_t MaxTasksPerStep = 1'000;
constexpr std::uint32_t MaxOccurrences = 10'000;
// Tasks of all occurrences. A steward keeps each in memory, and all of a job are in one record.
constexpr std::uint64_t MaxTasks = 20'000;
// No task is larger or longer. The bounds keep sums over all tasks within 64 bits.
constexpr Resources MaxTaskResources{100'000'000, 100'000'000, 1'000'000};
constexpr std::int64_t MaxEstimatedMilliseconds = 100'000'000'000; // about three years

auto malformed(std::string detail) -> tl::unexpected<JobError>
{
    return tl::unexpected(JobError{JobError::Kind::Malformed, std::move(detail)});
}

} // namespace

auto StepSpec::reservedResources() const -> Resources
{
    auto reserved = resources;
    if (usesSpareCores)
        reserved.milliCores = 0;
    return reserved;
}

auto JobError::name() const -> std::string_view
{
    switch (kind) {
    case Kind::Malformed:
        return "malformed-job";
    case Kind::Unsupported:
        return "unsupported-job";
    case Kind::BadRecord:
        break;
    }
    return "unreadable-job-record";
}

auto JobError::message() const -> std::string
{
    return fmt::format("{}: {}", name(), detail);
}

auto checkJob(const JobSpec &spec) -> Expected<void, JobError>
{
    if (spec.steps.empty() || spec.steps.size() > MaxSteps)
        return malformed(fmt::format("{} steps, expected 1 to {}", spec.steps.size(), MaxSteps));
    if (spec.occurrences == 0 || spec.occurrences > MaxOccurrences)
        return malformed(fmt::format("{} occurrences are out of range", spec.occurrences));
    auto tasks = std::uint64_t{0};
    for (std::size_t n = 0; n < spec.steps.size(); ++n) {
        const auto &step = spec.steps[n];
        tasks += std::uint64_t{step.taskCount} * spec.occurrences;
        if (step.isGang) {
            return tl::unexpected(
                JobError{JobError::Kind::Unsupported,
                         fmt::format("step {} is a gang, which is unsupported", n)});
        }
        if (step.taskCount == 0 || step.taskCount > MaxTasksPerStep) {
            return malformed(
                fmt::format("step {} has {} tasks, which is out of range", n, step.taskCount));
        }
        if (!step.resources.covers({}) || !MaxTaskResources.covers(step.resources))
            return malformed(fmt::format("step {} requests resources that are out of range", n));
        if (step.estimatedMilliseconds < 0 || step.estimatedMilliseconds > MaxEstimatedMilliseconds)
            return malformed(fmt::format("step {} has an estimate that is out of range", n));
        if (std::ranges::any_of(step.after, [n](auto earlier) { return earlier >= n; }))
            return malformed(fmt::format("step {} depends on a step that does not precede it", n));
    }
    if (tasks > MaxTasks)
        return malformed(fmt::format("{} tasks in all, expected at most {}", tasks, MaxTasks));
    return {};
}

auto encodeJob(const JobSpec &spec) -> std::string
{
    return packRecord(spec);
}

auto decodeJob(std::string_view bytes) -> Expected<JobSpec, JobError>
{
    auto spec = unpackRecord<JobSpec>(bytes);
    if (!spec)
        return tl::unexpected(JobError{JobError::Kind::BadRecord, "not an encoded job"});
    if (const auto checked = checkJob(*spec); !checked)
        return tl::unexpected(checked.error());
    return std::move(*spec);
}

} // namespace shallotproxy
