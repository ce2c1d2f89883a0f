#pragma once

#include <map>
#include <memory>
#include <random>
#include <vector>

#include "shallotproxy/request.hpp"
#include "shallotproxy/version.hpp"

namespace shallotproxy::bench {

/// One task to come: what it declares and what it truly needs.
struct Arrival
{
    double second = 0;
    TaskRecord record;
    double cores = 0;
    double memoryBytes = 0;
    double workSeconds = 0;
};

/// Tasks of one pool for `seconds`, that together ask for `load` times what its workers hold.
/// Declared sizes and times are off by half to four times, alike within a team's kind.
auto drawArrivals(const Configuration &configuration, const PoolName &pool, double seconds,
                  double load, std::uint32_t seed) -> std::vector<Arrival>;

enum class PlacementRule : std::uint8_t {
    Board, // the product's
    FirstFit, // in arrival order on the first worker with room, by declared sizes
};

struct PlacementOutcome
{
    double useReached = 0; // core-seconds of work kept, over what the workers could do
    std::size_t stopped = 0; // runs ended because a worker had no memory left
    std::size_t checkpointed = 0; // runs that gave way and went on later
    std::size_t done = 0;
    std::vector<double> urgentWaits; // seconds to the start
    double blackHoleSeconds = 0; // from its first failure until it is first held
    std::size_t blackHoleRuns = 0;
};

/// Plays one pool with its workers in its own time.
class PlacementSimulation
{
public:
    PlacementSimulation(const Configuration &configuration, const PoolName &pool,
                        std::vector<Arrival> arrivals, PlacementRule rule, bool hasBlackHole);

    auto run(double seconds) -> PlacementOutcome;

private:
    struct Run
    {
        const Arrival *arrival = nullptr;
        HostName host;
        TaskEpoch epoch = 0;
        RunState state = RunState::Running;
        double started = 0;
        double progress = 0; // at the start
        double speed = 1; // below 1 when the worker's cores are short
        bool isThrottled = false;
    };

    auto arrive() -> void;
    auto advanceRuns() -> void;
    auto stopOveruse() -> void;
    auto stepBoard(const SchedulerEvent &event) -> void;
    auto perform(const SchedulerAction &action) -> void;
    auto start(const TaskRecord &record, const HostName &host, TaskEpoch epoch) -> RunReport;
    auto report(const RunId &id) -> RunReport;
    auto write(const WriteTasks &order) -> void;
    auto placeFirstFit() -> void;

    std::vector<WorkerCapacity> m_workers;
    std::map<TaskId, Arrival> m_arrivals;
    std::vector<TaskId> m_order;
    std::size_t m_next = 0;
    PlacementRule m_rule;
    HostName m_blackHole;
    std::unique_ptr<TaskScheduler> m_board;
    std::map<TaskId, TaskVersion> m_records;
    StoreRevision m_revision = 0;
    std::map<TaskId, Run> m_runs; // newest run of each task
    std::map<TaskId, double> m_progress;
    double m_now = 0;
    double m_firstFailure = -1;
    double m_heldAt = -1;
    std::map<TaskId, bool> m_hasStarted;
    PlacementOutcome m_outcome;
};

} // namespace shallotproxy::bench
