#include "shallotproxy/request/task/overuse.hpp"

#include <algorithm>

namespace shallotproxy {

namespace {

constexpr double MemoryBound = 0.97; // of the worker's memory

template <typename Excess>
auto worstRun(std::span<const RunUsage> runs, Excess excess) -> const RunUsage *
{
    const RunUsage *worst = nullptr;
    for (const auto &it : runs) {
        if (it.isUrgent || excess(it) <= 0)
            continue;
        if (worst == nullptr || excess(it) > excess(*worst))
            worst = &it;
    }
    return worst;
}

} // namespace

auto relieveWorker(const TaskDemand &capacity, std::span<const RunUsage> runs)
    -> std::vector<Relief>
{
    auto cores = 0.0;
    auto memory = 0.0;
    for (const auto &it : runs) {
        cores += it.cores;
        memory += it.memoryBytes;
    }
    auto reliefs = std::vector<Relief>();
    if (memory > MemoryBound * static_cast<double>(capacity.memoryBytes)) {
        const auto *worst = worstRun(runs, [](const RunUsage &it) {
            return it.memoryBytes - static_cast<double>(it.reserved.memoryBytes);
        });
        if (worst != nullptr)
            reliefs.push_back({worst->task, RunOrder::Checkpoint});
    }
    if (cores > capacity.cores) {
        const auto *worst = worstRun(runs, [](const RunUsage &it) {
            return it.isThrottled ? 0.0 : it.cores - it.reserved.cores;
        });
        if (worst != nullptr && (reliefs.empty() || reliefs.front().task != worst->task))
            reliefs.push_back({worst->task, RunOrder::Throttle});
    }
    return reliefs;
}

} // namespace shallotproxy
