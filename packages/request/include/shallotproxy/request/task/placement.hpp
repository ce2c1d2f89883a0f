#pragma once

#include <span>
#include <vector>

#include "worker_run.hpp"

namespace shallotproxy {

struct WaitingTask
{
    TaskId id;
    TeamName team;
    TaskDemand demand; // corrected
    bool isUrgent = false;
    double waitedSeconds = 0;
    HostName avoid; // worker of its last failed run
};

struct PlacedTask
{
    TaskId id;
    TeamName team;
    HostName host;
    TaskDemand demand; // corrected
    bool isUrgent = false;
    bool isLeaving = false; // a checkpoint was asked for
    std::uint32_t checkpoints = 0;
};

struct Placement
{
    TaskId task;
    HostName host;
};

/// What to start now, and which running tasks to checkpoint so that urgent ones fit.
struct PlacementDecision
{
    std::vector<Placement> starts;
    std::vector<TaskId> checkpoints;
};

/// Most checkpoints that urgent tasks may cost one task; after them it runs to its end.
inline constexpr std::uint32_t MostCheckpoints = 3;
/// A task that has waited this long goes ahead of younger ones that aren't urgent.
inline constexpr double AgedSeconds = 300;

/// Packs waiting tasks on workers: urgent first, then aged, then the team that has least placed,
/// each on the worker that it fits best. O(waiting * workers + placed).
auto choosePlacements(std::span<const WorkerCapacity> workers, std::span<const PlacedTask> placed,
                      std::span<const WaitingTask> waiting) -> PlacementDecision;

} // namespace shallotproxy
