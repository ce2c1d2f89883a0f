#pragma once

#include "crash_history.hpp"
#include "job_spec.hpp"

namespace shallotproxy {

enum class JobOutcome : std::uint8_t { Open = 0, Completed = 1, Failed = 2, Cancelled = 3 };

/// When a changed record is written.
///
/// `Relaxed`: soon, together with others. `Urgent`: at once. `First`: before
/// others that wait, which keep a part of each write.
enum class WriteUrgency : std::uint8_t { Relaxed, Urgent, First };

/// The persisted state of one task. Tasks without any such state have no entry.
struct TaskProgress
{
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    bool isDone = false;
    /// Numbers of the failed runs, so that a failure that is reported repeatedly counts once.
    std::vector<std::uint64_t> failedRuns;
    std::string checkpoint;
    /// See CrashHistory.
    std::vector<CrashedRun> crashedRuns;
    /// At most one.
    std::vector<PossibleCrash> possibleCrashes{};

    MSGPACK_DEFINE(occurrence, step, index, isDone, failedRuns, checkpoint, crashedRuns,
                   possibleCrashes)
};

/// The mutable part of a job's record. It is retained for a while after the job has ended, so that
/// a repeated submission finds it.
struct JobProgress
{
    /// A JobOutcome; see state().
    std::uint8_t outcome = 0;
    QueueName queue;
    TeamName team;
    /// Unix time at which the job ended; 0 while it is open.
    std::int64_t endedMilliseconds = 0;
    std::vector<TaskProgress> tasks;

    [[nodiscard]] auto state() const -> JobOutcome { return static_cast<JobOutcome>(outcome); }

    MSGPACK_DEFINE(outcome, queue, team, endedMilliseconds, tasks)
};

auto encodeProgress(const JobProgress &progress) -> std::string;
auto decodeProgress(std::string_view bytes) -> Expected<JobProgress, JobError>;

} // namespace shallotproxy
