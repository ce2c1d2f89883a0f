#pragma once

#include <span>
#include <vector>

#include "worker_run.hpp"

namespace shallotproxy {

/// A task that waits to be placed.
struct WaitingTask
{
    TaskId id;
    TeamName team;
    TaskDemand demand; // As estimated, not as declared.
    bool isUrgent = false;
    double waitedSeconds = 0;
    HostName avoidedHost; // The worker of its last failed run.
};

/// A task that occupies resources of a worker.
struct PlacedTask
{
    TaskId id;
    TeamName team;
    HostName host;
    TaskDemand demand; // As estimated, not as declared.
    bool isUrgent = false;
    bool isStopping = false; // It is being cancelled, or a checkpoint was ordered recently.
    std::uint32_t checkpoints = 0;
};

/// The worker on which to start a task.
struct Placement
{
    TaskId task;
    HostName host;
};

/// The tasks to start now, and the running tasks to checkpoint so that urgent ones fit.
struct PlacementDecision
{
    std::vector<Placement> starts;
    std::vector<TaskId> checkpoints;
};

/// Maximum number of checkpoints of one task for the sake of urgent ones. After that it runs to its
/// end.
inline constexpr std::uint32_t MaxCheckpoints = 3;
/// A task that has waited this long is placed before younger tasks that aren't urgent.
inline constexpr double AgedSeconds = 300;

/// Assigns waiting tasks to workers: urgent tasks first, then aged ones, then those of the team
/// with the fewest cores placed, each on the worker that it fits best. O(waiting * workers +
/// placed).
auto choosePlacements(std::span<const WorkerCapacity> workers, std::span<const PlacedTask> placed,
                      std::span<const WaitingTask> waiting) -> PlacementDecision;

} // namespace shallotproxy
