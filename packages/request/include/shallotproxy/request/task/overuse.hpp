#pragma once

#include <span>
#include <vector>

#include "worker_run.hpp"

namespace shallotproxy {

/// The last reported usage of one running task and the resources reserved for it.
struct RunUsage
{
    TaskId task;
    TaskDemand reserved;
    double cores = 0;
    double memoryBytes = 0;
    bool isUrgent = false;
    bool isThrottled = false;
};

/// An order for one run that uses more than was reserved for it.
struct OveruseOrder
{
    TaskId task;
    RunOrder order = RunOrder::Throttle;
};

/// Returns the orders for a worker whose tasks use more than it has. If cores are short, the task
/// furthest above its reservation is throttled; if memory is short, the one furthest above it is
/// checkpointed. Urgent tasks are left alone. At most one order per dimension is returned, because
/// reports lag behind. O(runs).
auto limitOveruse(const TaskDemand &capacity, std::span<const RunUsage> runs)
    -> std::vector<OveruseOrder>;

} // namespace shallotproxy
