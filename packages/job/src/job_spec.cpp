#include <algorithm>

#include <fmt/format.h>

#include "shallotproxy/job/job_spec.hpp"
#include "shallotproxy/process/base/record_codec.hpp"

namespace shallotproxy {

namespace {

constexpr std::size_t MostSteps = 64; // bounds the state of one job; no user's job has over 10
constexpr std::uint32_t MostTasksPerStep = 1'000; // bounds the state of one job
constexpr std::uint32_t MostOccurrences = 10'000; // bounds the state of one job

auto malformed(std::string detail) -> tl::unexpected<JobError>
{
    return tl::unexpected(JobError{JobError::Kind::Malformed, std::move(detail)});
}

} // namespace

auto Resources::operator+=(const Resources &other) -> Resources &
{
    milliCores += other.milliCores;
    memoryMegabytes += other.memoryMegabytes;
    accelerators += other.accelerators;
    return *this;
}

auto Resources::operator-=(const Resources &other) -> Resources &
{
    milliCores -= other.milliCores;
    memoryMegabytes -= other.memoryMegabytes;
    accelerators -= other.accelerators;
    return *this;
}

auto operator+(Resources left, const Resources &right) -> Resources
{
    return left += right;
}

auto operator-(Resources left, const Resources &right) -> Resources
{
    return left -= right;
}

auto StepSpec::reservedRoom() const -> Resources
{
    auto reserved = resources;
    if (usesSpareCores)
        reserved.milliCores = 0;
    return reserved;
}

auto JobSpec::criticalPathMilliseconds() const -> std::int64_t
{
    auto ends = std::vector<std::int64_t>();
    for (const auto &step : steps) {
        auto begin = std::int64_t{0};
        for (const auto earlier : step.after)
            begin = std::max(begin, ends.at(earlier));
        ends.push_back(begin + step.estimatedMilliseconds);
    }
    return ends.empty() ? 0 : *std::ranges::max_element(ends);
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
    if (spec.steps.empty() || spec.steps.size() > MostSteps)
        return malformed(fmt::format("{} steps, 1 to {} are taken", spec.steps.size(), MostSteps));
    if (spec.occurrences == 0 || spec.occurrences > MostOccurrences)
        return malformed(fmt::format("{} occurrences", spec.occurrences));
    for (std::size_t n = 0; n < spec.steps.size(); ++n) {
        const auto &step = spec.steps[n];
        if (step.isGang) {
            return tl::unexpected(
                JobError{JobError::Kind::Unsupported, fmt::format("step {} is a gang", n)});
        }
        if (step.taskCount == 0 || step.taskCount > MostTasksPerStep)
            return malformed(fmt::format("step {} has {} tasks", n, step.taskCount));
        if (step.resources.milliCores < 0 || step.resources.memoryMegabytes < 0
            || step.resources.accelerators < 0)
            return malformed(fmt::format("step {} needs less than nothing", n));
        if (std::ranges::any_of(step.after, [n](auto earlier) { return earlier >= n; }))
            return malformed(fmt::format("step {} waits for a step that isn't before it", n));
    }
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
        return tl::unexpected(JobError{JobError::Kind::BadRecord, "no job"});
    if (const auto checked = checkJob(*spec); !checked)
        return tl::unexpected(checked.error());
    return std::move(*spec);
}

} // namespace shallotproxy
