#pragma once

#include <span>
#include <vector>

#include "worker_run.hpp"

namespace shallotproxy {

/// What one running task was last reported to use, beside what was reserved for it.
struct RunUsage
{
    TaskId task;
    TaskDemand reserved;
    double cores = 0;
    double memoryBytes = 0;
    bool isUrgent = false;
    bool isThrottled = false;
};

struct Relief
{
    TaskId task;
    RunOrder order = RunOrder::Throttle;
};

/// What to do when a worker's tasks use more than it has: throttle the one furthest above its
/// reservation in processors; checkpoint the one furthest above it in memory. At most one order
/// per dimension, because reports lag. O(runs).
auto relieveWorker(const TaskDemand &capacity, std::span<const RunUsage> runs)
    -> std::vector<Relief>;

} // namespace shallotproxy
