#pragma once

#include "job_spec.hpp"

namespace shallotproxy {

enum class JobOutcome : std::uint8_t { Open = 0, Completed = 1, Failed = 2, Cancelled = 3 };

/// What must outlive the steward of one task; tasks without any of it have no entry.
struct TaskProgress
{
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    bool isDone = false;
    std::vector<std::uint64_t> failedRuns; // by number: one that is told again counts once
    std::string checkpoint;

    MSGPACK_DEFINE(occurrence, step, index, isDone, failedRuns, checkpoint)
};

/// The changing part of a job's record. It stays after the job has ended, so that a repeated
/// submission finds it.
struct JobProgress
{
    std::uint8_t outcome = 0; // JobOutcome
    QueueName queue;
    TeamName team;
    std::int64_t endedMilliseconds = 0; // Unix time; 0 while open
    std::vector<TaskProgress> tasks;

    [[nodiscard]] auto state() const -> JobOutcome { return static_cast<JobOutcome>(outcome); }

    MSGPACK_DEFINE(outcome, queue, team, endedMilliseconds, tasks)
};

auto encodeProgress(const JobProgress &progress) -> std::string;
auto decodeProgress(std::string_view bytes) -> Expected<JobProgress, JobError>;

} // namespace shallotproxy
