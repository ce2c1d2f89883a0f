#include "shallotproxy/request/task/placement.hpp"

#include <algorithm>
#include <map>
#include <optional>

namespace shallotproxy {

namespace {

/// Room of one worker while a decision is made.
struct Room
{
    const WorkerCapacity *worker = nullptr;
    TaskDemand free;
    TaskDemand leaving; // comes free once checkpoints that were asked for are done
    std::vector<const PlacedTask *> placed;
};

auto takeFrom(TaskDemand &room, const TaskDemand &demand) -> void
{
    room.cores -= std::min(room.cores, demand.cores);
    room.memoryBytes -= std::min(room.memoryBytes, demand.memoryBytes);
    room.accelerators -= std::min(room.accelerators, demand.accelerators);
}

auto sum(const TaskDemand &left, const TaskDemand &right) -> TaskDemand
{
    return {left.cores + right.cores, left.memoryBytes + right.memoryBytes,
            left.accelerators + right.accelerators};
}

auto part(double value, double whole) -> double
{
    return whole == 0 ? 0 : value / whole;
}

/// What is left in the scarcest dimension; smaller is a tighter fit. A task without accelerators
/// is kept off workers that have them while others fit.
auto looseness(const Room &room, const TaskDemand &demand) -> double
{
    constexpr double AcceleratorPenalty = 2;
    const auto &whole = room.worker->capacity;
    const auto cores = part(room.free.cores - demand.cores, whole.cores);
    const auto memory = part(static_cast<double>(room.free.memoryBytes - demand.memoryBytes),
                             static_cast<double>(whole.memoryBytes));
    const auto penalty =
        demand.accelerators == 0 && room.free.accelerators > 0 ? AcceleratorPenalty : 0;
    return cores + memory + penalty;
}

class Packer
{
public:
    Packer(std::span<const WorkerCapacity> workers, std::span<const PlacedTask> placed)
    {
        for (const auto &it : workers)
            m_rooms.emplace(it.host, Room{&it, it.capacity, {}, {}});
        for (const auto &it : placed) {
            m_teamCores[it.team] += it.demand.cores;
            const auto room = m_rooms.find(it.host);
            if (room == m_rooms.end())
                continue;
            takeFrom(room->second.free, it.demand);
            room->second.placed.push_back(&it);
            if (it.isLeaving)
                room->second.leaving = sum(room->second.leaving, it.demand);
        }
    }

    [[nodiscard]] auto teamCores(const TeamName &team) const -> std::uint64_t
    {
        const auto it = m_teamCores.find(team);
        return it == m_teamCores.end() ? 0 : it->second;
    }

    auto place(const WaitingTask &task) -> bool
    {
        auto *best = bestRoom(task, true);
        if (best == nullptr)
            best = bestRoom(task, false);
        if (best == nullptr)
            return false;
        takeFrom(best->free, task.demand);
        m_teamCores[task.team] += task.demand.cores;
        m_decision.starts.push_back({task.id, best->worker->host});
        return true;
    }

    /// Makes room for an urgent task on the worker where that costs the fewest checkpoints.
    auto preempt(const WaitingTask &task) -> void
    {
        auto best = std::optional<std::pair<Room *, std::vector<const PlacedTask *>>>();
        for (auto &[name, room] : m_rooms) {
            if (!room.worker->acceptsWork || !fitsInto(task.demand, room.worker->capacity))
                continue;
            auto victims = victimsOf(room, task.demand);
            if (!victims)
                continue;
            if (!best || victims->size() < best->second.size())
                best = std::pair(&room, std::move(*victims));
        }
        if (!best)
            return;
        auto &[room, victims] = *best;
        for (const auto *it : victims) {
            m_decision.checkpoints.push_back(it->id);
            m_chosen.push_back(it);
            room->leaving = sum(room->leaving, it->demand);
        }
        reserve(*room, task.demand);
    }

    auto take() -> PlacementDecision { return std::move(m_decision); }

private:
    /// Speaks for what is free now and what comes free, so that no younger task takes it.
    static auto reserve(Room &room, const TaskDemand &demand) -> void
    {
        auto rest = demand;
        takeFrom(rest, room.free);
        takeFrom(room.free, demand);
        takeFrom(room.leaving, rest);
    }

    auto bestRoom(const WaitingTask &task, bool isAvoiding) -> Room *
    {
        Room *best = nullptr;
        auto bestLooseness = 0.0;
        for (auto &[name, room] : m_rooms) {
            if (!room.worker->acceptsWork || !fitsInto(task.demand, room.free))
                continue;
            if (isAvoiding && name == task.avoid)
                continue;
            const auto value = looseness(room, task.demand);
            if (best == nullptr || value < bestLooseness) {
                best = &room;
                bestLooseness = value;
            }
        }
        return best;
    }

    /// Tasks to checkpoint so that `demand` fits; no value if that can't be reached.
    auto victimsOf(const Room &room, const TaskDemand &demand)
        -> std::optional<std::vector<const PlacedTask *>>
    {
        auto victims = std::vector<const PlacedTask *>();
        auto free = sum(room.free, room.leaving);
        if (fitsInto(demand, free))
            return victims;
        auto candidates = std::vector<const PlacedTask *>();
        for (const auto *it : room.placed) {
            const auto isChosen = std::ranges::find(m_chosen, it) != m_chosen.end();
            if (!it->isUrgent && !it->isLeaving && !isChosen && it->checkpoints < MostCheckpoints)
                candidates.push_back(it);
        }
        // Those disturbed least so far first, then the largest, so that few are needed.
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

    std::map<HostName, Room> m_rooms;
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
    // An aged task that doesn't fit stops younger ones that aren't urgent from passing it for ever.
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
    return packer.take();
}

} // namespace shallotproxy
