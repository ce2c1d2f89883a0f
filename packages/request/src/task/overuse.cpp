#include "shallotproxy/request/task/overuse.hpp"

#include <algorithm>

namespace shallotproxy {

namespace {

/// Above this fraction of a worker's memory in use, a task is checkpointed.
constexpr double MaxMemoryFraction = 0.97;

/// Returns the run with the highest positive excess that isn't urgent, or null if there is none.
template <typename Excess>
auto mostExcessiveRun(std::span<const RunUsage> runs, Excess excess) -> const RunUsage *
{
    const RunUsage *highest = nullptr;
    for (const auto &it : runs) {
        if (it.isUrgent || excess(it) <= 0)
            continue;
        if (highest == nullptr || excess(it) > excess(*highest))
            highest = &it;
    }
    return highest;
}

} // namespace

auto limitOveruse(const TaskDemand &capacity, std::span<const RunUsage> runs)
    -> std::vector<OveruseOrder>
{
    auto cores = 0.0;
    auto memory = 0.0;
    for (const auto &it : runs) {
        cores += it.cores;
        memory += it.memoryBytes;
    }
    auto orders = std::vector<OveruseOrder>();
    if (memory > MaxMemoryFraction * static_cast<double>(capacity.memoryBytes)) {
        const auto *highest = mostExcessiveRun(runs, [](const RunUsage &it) {
            return it.memoryBytes - static_cast<double>(it.reserved.memoryBytes);
        });
        if (highest != nullptr)
            orders.push_back({highest->task, RunOrder::Checkpoint});
    }
    if (cores > capacity.cores) {
        const auto *highest = mostExcessiveRun(runs, [](const RunUsage &it) {
            return it.isThrottled ? 0.0 : it.cores - it.reserved.cores;
        });
        if (highest != nullptr && (orders.empty() || orders.front().task != highest->task))
            orders.push_back({highest->task, RunOrder::Throttle});
    }
    return orders;
}

} // namespace shallotproxy
