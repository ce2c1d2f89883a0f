#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "shallotproxy/job/crash_history.hpp"
#include "shallotproxy/process/base/names.hpp"
#include "shallotproxy/process/store/store_types.hpp"

namespace shallotproxy {

/// Orders the runs of one task: the store revision of the record that placed the run.
using TaskEpoch = std::uint64_t;

enum class TaskState : std::uint8_t { Waiting, Placed, Cancelling, Done, Failed, Cancelled };

/// Returns the name of the state as operators and submitters see it.
auto taskStateName(TaskState state) -> std::string_view;

/// Returns whether the state is final.
auto isEnded(TaskState state) -> bool;

/// Cores, memory and accelerators that a task needs or a worker has.
struct TaskDemand
{
    std::uint32_t cores = 0;
    std::uint64_t memoryBytes = 0;
    std::uint32_t accelerators = 0;
    auto operator==(const TaskDemand &other) const -> bool = default;
    MSGPACK_DEFINE(cores, memoryBytes, accelerators)
};

/// Returns whether `demand` fits into `available` in every dimension.
auto fitsInto(const TaskDemand &demand, const TaskDemand &available) -> bool;

/// One task as the store holds it.
struct TaskRecord
{
    TaskId id; // Of the form POOL.NUMBER.
    PoolName pool;
    TeamName team;
    std::string kind; // Tasks of one team and kind are assumed to be of similar size.
    TaskDemand declared;
    std::uint32_t expectedSeconds = 0;
    bool isUrgent = false;
    TaskState state = TaskState::Waiting;
    HostName host; // The worker of the run, while the task is placed or being cancelled.
    TaskEpoch epoch = 0; // The run being cancelled; 0 if the record's revision is the epoch.
    HostName failedOn; // The worker of the last failed run.
    double progress = 0; // Fraction of the work that a checkpoint holds, 0 to 1.
    std::uint32_t failures = 0;
    std::uint32_t checkpoints = 0;
    std::int64_t submittedMilliseconds = 0; // Wall clock.
    std::int64_t endedMilliseconds = 0;
    std::string writer; // Identifies the write, so that it is recognised if its answer was lost.
    std::vector<CrashedRun> crashedRuns; // See CrashHistory.
    MSGPACK_DEFINE(id, pool, team, kind, declared, expectedSeconds, isUrgent, state, host, epoch,
                   failedOn, progress, failures, checkpoints, submittedMilliseconds,
                   endedMilliseconds, writer, crashedRuns)
};

/// A record with the revision at which it was read or written.
struct TaskVersion
{
    TaskRecord record;
    StoreRevision revision = 0;

    /// Returns the epoch of the run that the record refers to.
    [[nodiscard]] auto runEpoch() const -> TaskEpoch;
};

/// Returns the pool in a task's id, or an empty name if the id has none.
auto poolOfTask(const TaskId &id) -> PoolName;

/// Returns the key of a task that has not ended, relative to the deployment's prefix.
auto taskKey(const TaskId &id) -> std::string;
/// Returns the key of a task that has ended.
auto endedTaskKey(const TaskId &id) -> std::string;
/// Returns the prefix of the keys of one pool's tasks that have not ended.
auto taskPrefix(const PoolName &pool) -> std::string;
/// Returns the prefix of the keys of one pool's tasks that have ended.
auto endedTaskPrefix(const PoolName &pool) -> std::string;

/// Returns the serialized record.
auto packTask(const TaskRecord &record) -> std::string;
/// Returns the record that the bytes hold, or no value if they hold none.
auto unpackTask(const std::string &bytes) -> std::optional<TaskRecord>;

} // namespace shallotproxy

MSGPACK_ADD_ENUM(shallotproxy::TaskState)
