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

/// Lease of a run on its worker, which stops the run when the lease expires. It is longer than the
/// member record of a failed steward lasts, so that the next steward finds the runs still alive.
inline constexpr Duration RunLease = std::chrono::seconds(20);
/// Leases of a worker that has not answered for this long are no longer renewed.
inline constexpr Duration UnresponsiveWorkerTimeout = std::chrono::seconds(6);
/// Added to the lease before the runs of an unresponsive worker count as ended. It covers an order
/// that was in flight and differences between clocks.
inline constexpr Duration LeaseMargin = std::chrono::seconds(5);

/// All records of the pool's tasks have been read. `requestedAt` is when the read was sent.
struct TasksRead
{
    std::vector<TaskVersion> tasks;
    BootTime requestedAt;
};

/// The workers of the pool, or their capacities, have changed.
struct WorkersChanged
{
    std::vector<WorkerCapacity> workers;
};

/// A worker has answered an order with the state of its runs.
struct WorkerReported
{
    HostName host;
    std::vector<RunReport> runs;
};

/// Upper limit per team of the tasks that this scheduler may have placed. Teams that are not named
/// have no limit.
struct TaskUnitsChanged
{
    std::map<TeamName, std::uint32_t> units;
};

/// The answer to one WriteTasks: the new revision, or no value if the write is not known to have
/// taken effect.
struct TasksWritten
{
    std::vector<TaskId> tasks;
    std::optional<StoreRevision> revision;
};

/// Renews leases, expires runs and places waiting tasks.
struct SchedulerTick
{ };

using SchedulerEvent = std::variant<TasksRead, WorkersChanged, WorkerReported, TaskUnitsChanged,
                                    TasksWritten, SchedulerTick>;

/// A changed record, to be written only if the stored one still has `revision`.
struct TaskWrite
{
    TaskRecord record;
    StoreRevision revision = 0;
};

/// Writes all of these records or none of them, in one transaction.
struct WriteTasks
{
    std::vector<TaskWrite> writes;
};

/// Starts a run. It is idempotent, since the worker recognises the epoch.
struct StartRun
{
    HostName host;
    TaskRecord record;
    TaskEpoch epoch = 0;
};

/// Stops, checkpoints or throttles a run.
struct OrderRun
{
    HostName host;
    RunId run;
    RunOrder order = RunOrder::Stop;
};

/// Renews the leases of these runs and requests a report. Without runs it only polls the worker.
struct RenewRuns
{
    HostName host;
    std::vector<RunId> runs;
};

/// Requests that the pool's records be read soon, since one of them may have changed.
struct ReadTasks
{ };

using SchedulerAction = std::variant<WriteTasks, StartRun, OrderRun, RenewRuns, ReadTasks>;

/// Schedules the tasks of one pool on its workers; runs on the pool's steward. All durable state is
/// in the task records. A new steward starts with an empty scheduler and reconstructs the rest from
/// the records and the workers' reports.
class TaskScheduler
{
public:
    explicit TaskScheduler(BootTime now);

    /// Applies one event and returns the actions that follow from it.
    auto step(const SchedulerEvent &event, BootTime now) -> std::vector<SchedulerAction>;

    /// Returns the number of workers in quarantine.
    [[nodiscard]] auto quarantinedWorkers(BootTime now) const -> std::size_t;
    [[nodiscard]] auto taskCount() const -> std::size_t { return m_tasks.size(); }

private:
    struct Task
    {
        TaskVersion version;
        bool isWriting = false;
        bool isUnconfirmed = false; // The outcome of a write is unknown until a newer read.
        BootTime unconfirmedSince;
        BootTime firstSeen;
        BootTime lastOrderAt; // When the last start, stop, checkpoint or throttle was sent.
        RunOrder lastOrder = RunOrder::Throttle;
        bool isThrottled = false;
        double cores = 0;
        double memoryBytes = 0;
        double peakCores = 0;
        double peakMemoryBytes = 0;
        bool isSizeSampled = false; // The size estimator has observed this run.
        std::uint32_t startOrders = 0; // Sent for the current run.
        BootTime activeSince; // When the worker first reported the run as running; unset before.
    };

    struct Worker
    {
        WorkerCapacity capacity;
        BootTime lastReplyAt;
        BootTime lastRenewedAt; // When the last order was sent that may have extended a lease.
        BootTime nextRenewalAt;
        bool hasAnswered = false;
    };

    auto handle(const TasksRead &event) -> void;
    auto handle(const WorkersChanged &event) -> void;
    auto handle(const WorkerReported &event) -> void;
    auto handle(const TaskUnitsChanged &event) -> void;
    auto handle(const TasksWritten &event) -> void;
    auto handle(const SchedulerTick &event) -> void;

    auto updateSizeEstimate(Task &task, const RunReport &report) -> void;
    [[nodiscard]] auto demandOf(const Task &task, const TaskDemand &maxCapacity) const
        -> TaskDemand;
    auto applyReport(Task &task, const RunReport &report) -> void;
    auto applyRunEnd(Task &task, const RunReport &report) -> void;
    auto applyRunFailure(Task &task) -> void;
    auto applyLostRuns(const WorkerReported &event, const Worker &worker) -> void;
    auto placeSuspects() -> void;
    auto placeSuspect(Task &task) -> void;
    auto placeOn(Task &task, const HostName &host) -> void;
    [[nodiscard]] auto isLost(const Task &task, const RunReport &report) const -> bool;
    [[nodiscard]] static auto isOnWorker(const Task &task) -> bool;
    [[nodiscard]] auto isUnderTest(const Task &task) const -> bool;
    [[nodiscard]] auto isCurrentRun(const Task &task, const HostName &host, const RunId &run) const
        -> bool;
    auto requeue(Task &task) -> void;
    auto enqueueWrite(Task &task, TaskRecord record) -> void;
    auto startRun(Task &task) -> void;
    auto orderRun(Task &task, RunOrder order) -> void;
    auto renewLeases() -> void;
    auto orderRunsOff() -> void;
    auto endExpiredRuns() -> void;
    auto limitWorkerOveruse() -> void;
    auto placeWaiting() -> void;
    auto flushWrites() -> void;
    [[nodiscard]] auto isReachable(const Worker &worker) const -> bool;
    [[nodiscard]] auto maxWorkerCapacity() const -> TaskDemand;
    [[nodiscard]] auto usableWorkers() const -> std::vector<WorkerCapacity>;
    [[nodiscard]] auto recordsBeingPlaced() const -> std::vector<const TaskRecord *>;
    [[nodiscard]] auto placedTasks() const -> std::vector<PlacedTask>;
    [[nodiscard]] auto waitingTasks() const -> std::vector<WaitingTask>;

    BootTime m_now;
    BootTime m_createdAt;
    std::map<TaskId, Task> m_tasks;
    std::map<HostName, Worker> m_workers;
    std::map<TeamName, std::uint32_t> m_units;
    SizeEstimator m_sizes;
    Quarantine m_quarantine;
    HostName m_reservedWorker; // Gets no other tasks until a suspect has started there.
    BootTime m_reservedUntil;
    std::vector<TaskWrite> m_writes;
    std::vector<TaskWrite> m_inFlight;
    std::size_t m_batchSize = 1;
    std::vector<SchedulerAction> m_actions;
};

} // namespace shallotproxy
