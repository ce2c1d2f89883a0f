#pragma once

#include "deployment.hpp"

namespace review {

/// RULES, LOST: nothing of an accepted job runs for this long although a task's turn has come and
/// there is room.
inline constexpr auto LostTime = Milliseconds(3'000);

struct JobWatch
{
    bool isCompleted = false;
    /// The longest time without a run of any job while this one was not completed.
    Milliseconds longestIdle{};
};

/// Asks for the state of the job until it is completed or the time is over, and notes what is seen.
auto watchJob(Deployment &deployment, const std::string &job, Milliseconds time) -> JobWatch;

/// Whether two runs of one task were at work at the same time, on executors that were up. Notes
/// each such pair.
auto hasOverlappingRuns(Deployment &deployment) -> bool;

/// Notes whether the rule was broken and returns the exit code of a scenario.
auto conclude(Deployment &deployment, const std::string &rule, bool isBroken) -> int;

/// Returns a job with one step of `tasks` tasks.
auto simpleJob(int tasks) -> Json;

/// Returns an identifier of a job.
auto jobId(int number) -> std::string;

} // namespace review
