#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <msgpack.hpp>

#include "shallotproxy/process/base/error.hpp"
#include "shallotproxy/process/base/names.hpp"

namespace shallotproxy {

/// What a task takes on its worker, or what a worker has.
struct Resources
{
    std::int64_t milliCores = 0;
    std::int64_t memoryMegabytes = 0;
    std::int64_t accelerators = 0;

    [[nodiscard]] auto holds(const Resources &other) const -> bool
    {
        return other.milliCores <= milliCores && other.memoryMegabytes <= memoryMegabytes
            && other.accelerators <= accelerators;
    }
    auto operator+=(const Resources &other) -> Resources &;
    auto operator-=(const Resources &other) -> Resources &;
    auto operator==(const Resources &) const -> bool = default;

    MSGPACK_DEFINE(milliCores, memoryMegabytes, accelerators)
};

auto operator+(Resources left, const Resources &right) -> Resources;
auto operator-(Resources left, const Resources &right) -> Resources;

/// One step of a job: a number of tasks that are alike.
struct StepSpec
{
    std::uint32_t taskCount = 1;
    Resources resources; // of each task
    std::int64_t estimatedMilliseconds = 0; // of each task; the submitter's guess
    std::vector<std::uint32_t> after; // earlier steps that must be done first
    bool savesProgress = false;
    bool isGang = false; // tasks run all together, under one run number
    bool prefersSameRack = false; // tasks are slower when spread over racks
    bool allowsDuplicates = false; // several copies of a task may run at a time
    bool isLongRunning = false; // tasks run until the job is cancelled
    bool usesSpareCores = false; // takes memory only, and cores that others leave
    std::string requiredLabel; // needed label of the worker; empty: any
    std::string preferredRack; // rack where tasks are fast; empty: any
    std::string image;
    std::uint32_t maxTasksPerWorker = 0; // 0: no bound
    std::int64_t latencyTargetMilliseconds = 0; // 0: serves no users of its own
    std::uint32_t maxUnavailable = 0; // lasting tasks that our own orders may have away at a time

    /// What a task counts for on its worker.
    [[nodiscard]] auto reservedRoom() const -> Resources;

    MSGPACK_DEFINE(taskCount, resources, estimatedMilliseconds, after, savesProgress, isGang,
                   prefersSameRack, allowsDuplicates, isLongRunning, usesSpareCores, requiredLabel,
                   preferredRack, image, maxTasksPerWorker, latencyTargetMilliseconds,
                   maxUnavailable)
};

/// A job as it was handed in. It never changes afterwards.
struct JobSpec
{
    std::string id;
    QueueName queue;
    PoolName pool; // that served the queue at submission
    TeamName team;
    std::string payload; // handed to every task as it is
    std::vector<StepSpec> steps;
    std::uint32_t occurrences = 1; // how often the steps run
    std::int64_t firstDueMilliseconds = 0; // Unix time; 0: at once
    std::int64_t intervalMilliseconds = 0;
    std::int64_t submittedMilliseconds = 0; // Unix time

    [[nodiscard]] auto isScheduled() const -> bool { return firstDueMilliseconds > 0; }
    /// The work of one occurrence's longest chain of steps, by the submitter's estimates.
    [[nodiscard]] auto criticalPathMilliseconds() const -> std::int64_t;

    MSGPACK_DEFINE(id, queue, pool, team, payload, steps, occurrences, firstDueMilliseconds,
                   intervalMilliseconds, submittedMilliseconds)
};

/// Why a job can't be taken or read.
struct JobError
{
    enum class Kind { Malformed = 901, Unsupported = 902, BadRecord = 903 };

    Kind kind = Kind::Malformed;
    std::string detail;

    [[nodiscard]] auto number() const -> int { return static_cast<int>(kind); }
    [[nodiscard]] auto name() const -> std::string_view;
    [[nodiscard]] auto message() const -> std::string;
};

/// Checks bounds and the order of steps.
auto checkJob(const JobSpec &spec) -> Expected<void, JobError>;

/// Which task of which job.
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
