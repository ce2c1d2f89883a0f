#pragma once

#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "shallotproxy/job/quarantine.hpp"

#include "placement.hpp"
#include "shallotproxy/process/base/boot_clock.hpp"
#include "size_estimator.hpp"
#include "worker_run.hpp"

namespace shallotproxy {

/// Lease of a run on its worker; past it the worker stops the run. Longer than a dead steward's
/// member record lasts, so that the next steward finds its runs alive.
inline constexpr Duration RunLease = std::chrono::seconds(20);
/// After this long without an answer a worker's leases are renewed no more.
inline constexpr Duration WorkerSilence = std::chrono::seconds(6);
/// Added to the lease before a silent worker's runs are taken to have ended: covers an order that
/// was under way and clocks that differ.
inline constexpr Duration LeaseMargin = std::chrono::seconds(5);

/// All records of the pool's tasks; `begun` is when the read was sent.
struct TasksRead
{
    std::vector<TaskVersion> tasks;
    BootTime begun;
};

struct WorkersChanged
{
    std::vector<WorkerCapacity> workers;
};

struct WorkerReported
{
    HostName host;
    std::vector<RunReport> runs;
};

/// Most tasks of each team that this board may have placed; a team that isn't named has no bound.
struct TaskUnitsChanged
{
    std::map<TeamName, std::uint32_t> units;
};

/// Answer to one WriteTasks: the new revision, or nothing if it is not known to be written.
struct TasksWritten
{
    std::vector<TaskId> tasks;
    std::optional<StoreRevision> revision;
};

struct SchedulerTick
{ };

using SchedulerEvent = std::variant<TasksRead, WorkersChanged, WorkerReported, TaskUnitsChanged,
                                    TasksWritten, SchedulerTick>;

/// One change of a record, conditional on the revision that it was made from.
struct TaskWrite
{
    TaskRecord record;
    StoreRevision revision = 0;
};

/// All of these or none, in one transaction.
struct WriteTasks
{
    std::vector<TaskWrite> writes;
};

/// Starts a run. Repeating it is harmless: the worker knows the epoch.
struct StartRun
{
    HostName host;
    TaskRecord record;
    TaskEpoch epoch = 0;
};

struct OrderRun
{
    HostName host;
    RunId run;
    RunOrder order = RunOrder::Stop;
};

/// Renews these leases and asks for a report; with no runs it only asks.
struct RenewRuns
{
    HostName host;
    std::vector<RunId> runs;
};

/// A record may have changed: read the pool's records soon.
struct ReadTasks
{ };

using SchedulerAction = std::variant<WriteTasks, StartRun, OrderRun, RenewRuns, ReadTasks>;

/// Runs the tasks of one pool, on the pool's steward. What lasts is in the records; a new steward
/// begins with an empty board and takes everything else from records and workers' reports.
class TaskScheduler
{
public:
    explicit TaskScheduler(BootTime now);

    auto step(const SchedulerEvent &event, BootTime now) -> std::vector<SchedulerAction>;

    /// Workers in quarantine.
    [[nodiscard]] auto quarantinedWorkers(BootTime now) const -> std::size_t;
    [[nodiscard]] auto taskCount() const -> std::size_t { return m_tasks.size(); }

private:
    struct Task
    {
        TaskVersion version;
        bool isWriting = false;
        bool isUncertain = false; // a write's outcome is not known; wait for a newer read
        BootTime uncertainSince;
        BootTime seen; // first time on this board
        BootTime ordered; // last start, stop or checkpoint
        RunOrder lastOrder = RunOrder::Throttle;
        bool isThrottled = false;
        double cores = 0;
        double memoryBytes = 0;
        double peakCores = 0;
        double peakMemoryBytes = 0;
        bool isObserved = false; // its size was learnt from
    };

    struct Worker
    {
        WorkerCapacity capacity;
        BootTime heard; // last answer
        BootTime renewed; // last order that may have extended a lease
        BootTime nextRenewal;
        bool hasAnswered = false;
    };

    auto handle(const TasksRead &event) -> void;
    auto handle(const WorkersChanged &event) -> void;
    auto handle(const WorkerReported &event) -> void;
    auto handle(const TaskUnitsChanged &event) -> void;
    auto handle(const TasksWritten &event) -> void;
    auto handle(const SchedulerTick &event) -> void;

    auto learnSize(Task &task, const RunReport &report) -> void;
    [[nodiscard]] auto demandOf(const Task &task, const TaskDemand &largest) const -> TaskDemand;
    auto applyReport(Task &task, const RunReport &report) -> void;
    auto runEnded(Task &task, const RunReport &report) -> void;
    auto runFailed(Task &task) -> void;
    auto backToWaiting(Task &task) -> void;
    auto change(Task &task, TaskRecord record) -> void;
    auto startRun(Task &task) -> void;
    auto orderRun(Task &task, RunOrder order) -> void;
    auto renewLeases() -> void;
    auto moveOffWorkers() -> void;
    auto takeLapsedRuns() -> void;
    auto relieveWorkers() -> void;
    auto placeWaiting() -> void;
    auto flushWrites() -> void;
    [[nodiscard]] auto isReachable(const Worker &worker) const -> bool;
    [[nodiscard]] auto largestWorker() const -> TaskDemand;
    [[nodiscard]] auto usableWorkers() const -> std::vector<WorkerCapacity>;
    [[nodiscard]] auto placedTasks() const -> std::vector<PlacedTask>;
    [[nodiscard]] auto waitingTasks() const -> std::vector<WaitingTask>;

    BootTime m_now;
    BootTime m_begun;
    std::map<TaskId, Task> m_tasks;
    std::map<HostName, Worker> m_workers;
    std::map<TeamName, std::uint32_t> m_units;
    SizeEstimator m_sizes;
    Quarantine m_quarantine;
    std::vector<TaskWrite> m_writes;
    std::vector<TaskWrite> m_inFlight;
    std::size_t m_batchSize = 1;
    std::vector<SchedulerAction> m_actions;
};

} // namespace shallotproxy
