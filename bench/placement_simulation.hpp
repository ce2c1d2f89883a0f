#pragma once

#include <map>
#include <memory>
#include <random>
#include <vector>

#include "shallotproxy/request.hpp"
#include "shallotproxy/version.hpp"

namespace shallotproxy::bench {

/// A task that arrives during the simulation, with its declared and its actual needs.
struct Arrival
{
    double arrivalSeconds = 0; // since the start of the simulation
    TaskRecord record; // holds the declared needs
    double cores = 0; // actual use
    double memoryBytes = 0; // actual use
    double workSeconds = 0; // actual run time at full speed
};

/// Draws the tasks of one pool for `seconds`. Together they need `load` times the core-seconds of
/// its workers. The actual needs are the declared ones times a factor of 0.5 to 4 (half of that for
/// run times); sizes of one kind of task of a team share a factor.
auto drawArrivals(const Configuration &configuration, const PoolName &pool, double seconds,
                  double load, std::uint32_t seed) -> std::vector<Arrival>;

enum class PlacementRule : std::uint8_t {
    Scheduler, // the task scheduler of this project
    FirstFit, // in arrival order on the first worker with enough free declared resources
};

struct PlacementOutcome
{
    // Core-seconds of work that was not lost, relative to the capacity of the workers.
    double utilization = 0;
    std::size_t stopped = 0; // runs stopped because their worker was out of memory
    std::size_t checkpointed = 0; // runs stopped at a checkpoint, which resume later
    std::size_t done = 0;
    std::vector<double> urgentWaits; // seconds from arrival to the first start
    double blackHoleSeconds = 0; // from the first failed run to the first quarantine
    std::size_t blackHoleRuns = 0; // runs that failed on the black hole
};

/// Simulates one pool with its workers in simulated time. With `hasBlackHole`, one worker fails
/// every run at once.
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
        double progress = 0; // fraction of the task that is done
        double speed = 1; // below 1 if the runs of the worker need more cores than it has
        bool isThrottled = false;
    };

    auto addArrivals() -> void;
    auto advanceRuns() -> void;
    auto stopRunsOutOfMemory() -> void;
    auto stepScheduler(const SchedulerEvent &event) -> void;
    auto perform(const SchedulerAction &action) -> void;
    auto start(const TaskRecord &record, const HostName &host, TaskEpoch epoch) -> RunReport;
    auto report(const RunId &id) -> RunReport;
    auto write(const WriteTasks &order) -> void;
    auto placeFirstFit() -> void;

    std::vector<WorkerCapacity> m_workers;
    std::map<TaskId, Arrival> m_arrivals;
    std::vector<TaskId> m_arrivalOrder;
    std::size_t m_nextArrival = 0;
    PlacementRule m_rule;
    HostName m_blackHole;
    std::unique_ptr<TaskScheduler> m_scheduler;
    std::map<TaskId, TaskVersion> m_records;
    StoreRevision m_revision = 0;
    std::map<TaskId, Run> m_runs; // latest run of each task
    std::map<TaskId, double> m_progress;
    double m_now = 0;
    double m_firstFailureAt = -1;
    double m_quarantinedAt = -1;
    std::map<TaskId, bool> m_hasStarted;
    PlacementOutcome m_outcome;
};

} // namespace shallotproxy::bench
