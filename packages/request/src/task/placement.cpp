#include "shallotproxy/request/task/placement.hpp"

#include <algorithm>
#include <map>
#include <optional>

namespace shallotproxy {

namespace {

/// Resources and tasks of one worker while a decision is made.
struct WorkerState
{
    const WorkerCapacity *info = nullptr;
    TaskDemand free;
    TaskDemand releasing; // Becomes free once the stopping tasks have ended.
    std::vector<const PlacedTask *> placed;
};

/// Subtracts `demand` from `available`, down to zero in each dimension.
auto subtract(TaskDemand &available, const TaskDemand &demand) -> void
{
    available.cores -= std::min(available.cores, demand.cores);
    available.memoryBytes -= std::min(available.memoryBytes, demand.memoryBytes);
    available.accelerators -= std::min(available.accelerators, demand.accelerators);
}

auto sum(const TaskDemand &left, const TaskDemand &right) -> TaskDemand
{
    return {left.cores + right.cores, left.memoryBytes + right.memoryBytes,
            left.accelerators + right.accelerators};
}

auto fraction(double value, double whole) -> double
{
    return whole == 0 ? 0 : value / whole;
}

/// Returns the fractions of cores and memory that would remain free, summed; smaller is a tighter
/// fit. A task without accelerators is kept off workers with free accelerators while others fit.
auto unusedShare(const WorkerState &worker, const TaskDemand &demand) -> double
{
    constexpr double AcceleratorPenalty = 2;
    const auto &whole = worker.info->capacity;
    const auto cores = fraction(worker.free.cores - demand.cores, whole.cores);
    const auto memory = fraction(static_cast<double>(worker.free.memoryBytes - demand.memoryBytes),
                                 static_cast<double>(whole.memoryBytes));
    const auto penalty =
        demand.accelerators == 0 && worker.free.accelerators > 0 ? AcceleratorPenalty : 0;
    return cores + memory + penalty;
}

/// Collects the placements and checkpoints of one decision.
class Packer
{
public:
    Packer(std::span<const WorkerCapacity> workers, std::span<const PlacedTask> placed)
    {
        for (const auto &it : workers)
            m_workers.emplace(it.host, WorkerState{&it, it.capacity, {}, {}});
        for (const auto &it : placed) {
            m_teamCores[it.team] += it.demand.cores;
            const auto worker = m_workers.find(it.host);
            if (worker == m_workers.end())
                continue;
            subtract(worker->second.free, it.demand);
            worker->second.placed.push_back(&it);
            if (it.isStopping)
                worker->second.releasing = sum(worker->second.releasing, it.demand);
        }
    }

    [[nodiscard]] auto teamCores(const TeamName &team) const -> std::uint64_t
    {
        const auto it = m_teamCores.find(team);
        return it == m_teamCores.end() ? 0 : it->second;
    }

    auto place(const WaitingTask &task) -> bool
    {
        auto *best = bestWorker(task, true);
        if (best == nullptr)
            best = bestWorker(task, false);
        if (best == nullptr)
            return false;
        subtract(best->free, task.demand);
        m_teamCores[task.team] += task.demand.cores;
        m_decision.starts.push_back({task.id, best->info->host});
        return true;
    }

    /// Makes resources available for an urgent task on the worker where this takes the fewest
    /// checkpoints.
    auto preempt(const WaitingTask &task) -> void
    {
        auto best = std::optional<std::pair<WorkerState *, std::vector<const PlacedTask *>>>();
        for (auto &[name, worker] : m_workers) {
            if (!worker.info->acceptsWork || !fitsInto(task.demand, worker.info->capacity))
                continue;
            auto victims = victimsOf(worker, task.demand);
            if (!victims)
                continue;
            if (!best || victims->size() < best->second.size())
                best = std::pair(&worker, std::move(*victims));
        }
        if (!best)
            return;
        auto &[worker, victims] = *best;
        for (const auto *it : victims) {
            m_decision.checkpoints.push_back(it->id);
            m_chosen.push_back(it);
            worker->releasing = sum(worker->releasing, it->demand);
        }
        reserve(*worker, task.demand);
    }

    auto takeDecision() -> PlacementDecision { return std::move(m_decision); }

private:
    /// Reserves free resources, and the rest from those being released, so that no younger task is
    /// placed on them.
    static auto reserve(WorkerState &worker, const TaskDemand &demand) -> void
    {
        auto rest = demand;
        subtract(rest, worker.free);
        subtract(worker.free, demand);
        subtract(worker.releasing, rest);
    }

    /// Returns the worker with the tightest fit, or null if the task fits on none.
    auto bestWorker(const WaitingTask &task, bool skipsAvoidedHost) -> WorkerState *
    {
        WorkerState *best = nullptr;
        auto bestUnusedShare = 0.0;
        for (auto &[name, worker] : m_workers) {
            if (!worker.info->acceptsWork || !fitsInto(task.demand, worker.free))
                continue;
            if (skipsAvoidedHost && name == task.avoidedHost)
                continue;
            const auto value = unusedShare(worker, task.demand);
            if (best == nullptr || value < bestUnusedShare) {
                best = &worker;
                bestUnusedShare = value;
            }
        }
        return best;
    }

    /// Returns the tasks to checkpoint so that `demand` fits, or no value if it can't be made to
    /// fit.
    auto victimsOf(const WorkerState &worker, const TaskDemand &demand)
        -> std::optional<std::vector<const PlacedTask *>>
    {
        auto victims = std::vector<const PlacedTask *>();
        auto free = sum(worker.free, worker.releasing);
        if (fitsInto(demand, free))
            return victims;
        auto candidates = std::vector<const PlacedTask *>();
        for (const auto *it : worker.placed) {
            const auto isChosen = std::ranges::find(m_chosen, it) != m_chosen.end();
            if (!it->isUrgent && !it->isStopping && !isChosen && it->checkpoints < MaxCheckpoints)
                candidates.push_back(it);
        }
        // Tasks with the fewest checkpoints come first, then the largest, so that few are needed.
        std::ranges::sort(candidates, [](const auto *left, const auto *right) {
            if (left->checkpoints != right->checkpoints)
                return left->checkpoints < right->checkpoints;
            return left->demand.cores > right->demand.cores;
        });
        for (const auto *it : candidates) {
            victims.push_back(it);
            free = sum(free, it->demand);
            if (fitsInto(demand, free))
                return victims;
        }
        return std::nullopt;
    }

    std::map<HostName, WorkerState> m_workers;
    std::map<TeamName, std::uint64_t> m_teamCores;
    std::vector<const PlacedTask *> m_chosen;
    PlacementDecision m_decision;
};

} // namespace

auto choosePlacements(std::span<const WorkerCapacity> workers, std::span<const PlacedTask> placed,
                      std::span<const WaitingTask> waiting) -> PlacementDecision
{
    auto packer = Packer(workers, placed);
    auto order = std::vector<const WaitingTask *>();
    for (const auto &it : waiting)
        order.push_back(&it);
    const auto rank = [](const WaitingTask &task) {
        return task.isUrgent ? 0 : task.waitedSeconds >= AgedSeconds ? 1 : 2;
    };
    std::ranges::stable_sort(order, [&](const auto *left, const auto *right) {
        if (rank(*left) != rank(*right))
            return rank(*left) < rank(*right);
        if (rank(*left) == 2 && left->team != right->team) {
            const auto leftCores = packer.teamCores(left->team);
            const auto rightCores = packer.teamCores(right->team);
            if (leftCores != rightCores)
                return leftCores < rightCores;
            return left->team < right->team;
        }
        return left->waitedSeconds > right->waitedSeconds;
    });
    // An aged task that doesn't fit blocks younger tasks that aren't urgent, so that it doesn't
    // starve.
    auto isBlocked = false;
    for (const auto *it : order) {
        if (isBlocked && rank(*it) == 2)
            break;
        if (packer.place(*it))
            continue;
        if (it->isUrgent)
            packer.preempt(*it);
        isBlocked = isBlocked || rank(*it) == 1;
    }
    return packer.takeDecision();
}

} // namespace shallotproxy
