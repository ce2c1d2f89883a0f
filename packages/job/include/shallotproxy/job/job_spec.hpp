#pragma once

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <msgpack.hpp>

#include "shallotproxy/demand.hpp"
#include "shallotproxy/process/base/boot_clock.hpp"
#include "shallotproxy/process/base/error.hpp"
#include "shallotproxy/process/base/names.hpp"

namespace shallotproxy {

/// One step of a job: a number of identical tasks.
struct StepSpec
{
    std::uint32_t taskCount = 1;
    /// Needed by each task.
    Resources resources;
    /// Estimated by the submitter, for each task.
    std::int64_t estimatedMilliseconds = 0;
    /// Indexes of earlier steps that must be done before this one starts.
    std::vector<std::uint32_t> after;
    /// Runs save checkpoints, from which the next run of the task continues.
    bool savesProgress = false;
    /// All tasks run at the same time, under one run number.
    bool isGang = false;
    /// Tasks are slower when they are spread over several racks.
    bool prefersSameRack = false;
    /// Several copies of a task may run at the same time.
    bool allowsDuplicates = false;
    /// Tasks run until the job is cancelled.
    bool isLongRunning = false;
    /// Tasks reserve memory only, and use cores that other tasks leave idle.
    bool usesSpareCores = false;
    /// Label that the worker must have; empty if any worker will do.
    std::string requiredLabel;
    /// Rack on which the tasks are fast; empty if there is none.
    std::string preferredRack;
    std::string image;
    /// Maximum number of tasks of the step on one worker; 0 is unlimited.
    std::uint32_t maxTasksPerWorker = 0;
    /// Target of the tail latency of tasks that serve users; 0 if they serve none.
    std::int64_t latencyTargetMilliseconds = 0;
    /// Number of long-running tasks that may be unavailable at the same time because of stop
    /// orders.
    std::uint32_t maxUnavailable = 0;

    /// Returns the resources that each task reserves on its worker.
    [[nodiscard]] auto reservedResources() const -> Resources;

    MSGPACK_DEFINE(taskCount, resources, estimatedMilliseconds, after, savesProgress, isGang,
                   prefersSameRack, allowsDuplicates, isLongRunning, usesSpareCores, requiredLabel,
                   preferredRack, image, maxTasksPerWorker, latencyTargetMilliseconds,
                   maxUnavailable)
};

/// What the configuration of a queue says of its jobs.
///
/// The deadline of a job is its submission plus `deadlineFactor` times its critical path plus
/// `deadlineSlackMilliseconds`.
struct JobRules
{
    /// A job fails when one of its tasks has this many failed runs; 0 if it is unknown.
    std::uint32_t attempts = 1;
    /// Lower values are placed first.
    std::uint32_t priority = 0;
    double deadlineFactor = 1;
    std::int64_t deadlineSlackMilliseconds = 0;
    /// A result that comes later than this many times the deadline is of no use to the caller.
    double usefulFactor = 3;

    /// Returns how long after its submission a job with this critical path should be done.
    [[nodiscard]] auto deadlineOf(Duration criticalPath) const -> Duration
    {
        const auto slack = std::chrono::milliseconds(deadlineSlackMilliseconds);
        return bounded(std::chrono::duration<double>(criticalPath) * deadlineFactor + slack);
    }
    /// Returns how long after its submission the result of such a job is of use.
    [[nodiscard]] auto usefulTimeOf(Duration criticalPath) const -> Duration
    {
        return bounded(std::chrono::duration<double>(deadlineOf(criticalPath)) * usefulFactor);
    }

    MSGPACK_DEFINE(attempts, priority, deadlineFactor, deadlineSlackMilliseconds, usefulFactor)

private:
    // Added to a time of this machine, the result stays within its range.
    static constexpr std::chrono::years MaxTime{50};

    static auto bounded(std::chrono::duration<double> time) -> Duration
    {
        return std::chrono::duration_cast<Duration>(
            std::min<std::chrono::duration<double>>(time, MaxTime));
    }
};

/// A submitted job. It is immutable.
struct JobSpec
{
    std::string id;
    QueueName queue;
    /// The pool of the queue when the job was submitted.
    PoolName pool;
    TeamName team;
    /// Passed to every task unchanged.
    std::string payload;
    std::vector<StepSpec> steps;
    /// How often the steps are executed.
    std::uint32_t occurrences = 1;
    /// Unix time of the first occurrence; 0 starts all occurrences at once.
    std::int64_t firstDueMilliseconds = 0;
    std::int64_t intervalMilliseconds = 0;
    /// Unix time of the submission.
    std::int64_t submittedMilliseconds = 0;
    /// The rules of the queue when the job was submitted; they hold on if the queue is removed.
    JobRules rules = {0};
    /// The limit of the team when the job was submitted; it holds on if the team is removed.
    Resources teamLimit;

    /// Longer steps count as this long in criticalPath(), so that a job of all steps has a time.
    static constexpr std::chrono::years MaxStepTime{3};

    [[nodiscard]] auto isScheduled() const -> bool { return firstDueMilliseconds > 0; }
    /// Returns the duration of the longest chain of dependent steps. `durationOf` returns the
    /// duration of a step, given by its index.
    template <std::invocable<std::size_t> DurationOf>
    [[nodiscard]] auto criticalPath(DurationOf durationOf) const -> Duration
    {
        auto ends = std::vector<Duration>();
        auto longest = Duration();
        for (std::size_t n = 0; n < steps.size(); ++n) {
            auto begin = Duration();
            for (const auto earlier : steps[n].after)
                begin = std::max(begin, ends.at(earlier));
            ends.push_back(begin + std::min<Duration>(durationOf(n), MaxStepTime));
            longest = std::max(longest, ends.back());
        }
        return longest;
    }

    MSGPACK_DEFINE(id, queue, pool, team, payload, steps, occurrences, firstDueMilliseconds,
                   intervalMilliseconds, submittedMilliseconds, rules, teamLimit)
};

/// The reason why a job is refused or a job record can't be read.
struct JobError
{
    enum class Kind { Malformed = 901, Unsupported = 902, BadRecord = 903 };

    Kind kind = Kind::Malformed;
    std::string detail;

    [[nodiscard]] auto number() const -> int { return static_cast<int>(kind); }
    [[nodiscard]] auto name() const -> std::string_view;
    [[nodiscard]] auto message() const -> std::string;
};

/// Checks that a job is within the limits and that each step depends on earlier steps only.
auto checkJob(const JobSpec &spec) -> Expected<void, JobError>;

/// Identifies a task of a job.
struct JobTaskId
{
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const JobTaskId &) const = default; // NOLINT(modernize-use-nullptr)
};

auto encodeJob(const JobSpec &spec) -> std::string;
auto decodeJob(std::string_view bytes) -> Expected<JobSpec, JobError>;

} // namespace shallotproxy
