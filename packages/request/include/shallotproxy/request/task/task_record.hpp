#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "shallotproxy/process/base/names.hpp"
#include "shallotproxy/process/store/store_types.hpp"

namespace shallotproxy {

/// Order of the runs of one task: the store revision of the record that placed it.
using TaskEpoch = std::uint64_t;

enum class TaskState : std::uint8_t { Waiting, Placed, Cancelling, Done, Failed, Cancelled };

auto taskStateName(TaskState state) -> std::string_view;

/// Whether the task has reached its end.
auto isEnded(TaskState state) -> bool;

/// Processors, memory and accelerators that a task takes or a worker has.
struct TaskDemand
{
    std::uint32_t cores = 0;
    std::uint64_t memoryBytes = 0;
    std::uint32_t accelerators = 0;
    auto operator==(const TaskDemand &other) const -> bool = default;
    MSGPACK_DEFINE(cores, memoryBytes, accelerators)
};

/// Whether `demand` fits into `room`.
auto fitsInto(const TaskDemand &demand, const TaskDemand &room) -> bool;

/// One task as it is kept in the platform's service.
struct TaskRecord
{
    TaskId id; // POOL.NUMBER
    PoolName pool;
    TeamName team;
    std::string kind; // tasks of one team and kind are taken to be alike in size
    TaskDemand declared;
    std::uint32_t expectedSeconds = 0;
    bool isUrgent = false;
    TaskState state = TaskState::Waiting;
    HostName host; // of the run, while it is placed or being cancelled
    TaskEpoch epoch = 0; // of the run being cancelled; a placed record's own revision else
    HostName failedOn; // worker of the last failed run
    double progress = 0; // part of the work that a checkpoint holds, 0 to 1
    std::uint32_t failures = 0;
    std::uint32_t checkpoints = 0;
    std::int64_t submittedMilliseconds = 0; // wall clock
    std::int64_t endedMilliseconds = 0;
    std::string writer; // tells whose write this is when its answer was lost
    MSGPACK_DEFINE(id, pool, team, kind, declared, expectedSeconds, isUrgent, state, host, epoch,
                   failedOn, progress, failures, checkpoints, submittedMilliseconds,
                   endedMilliseconds, writer)
};

/// A record with the revision at which it was read or written.
struct TaskVersion
{
    TaskRecord record;
    StoreRevision revision = 0;

    /// Epoch of the run that the record names.
    [[nodiscard]] auto runEpoch() const -> TaskEpoch;
};

/// Pool part of a task's id; empty if the id has none.
auto poolOfTask(const TaskId &id) -> PoolName;

/// Key of a task that has not ended, below the deployment's prefix.
auto taskKey(const TaskId &id) -> std::string;
/// Key of a task that has ended.
auto endedTaskKey(const TaskId &id) -> std::string;
/// Prefix of the keys of one pool's tasks that have not ended.
auto taskPrefix(const PoolName &pool) -> std::string;
auto endedTaskPrefix(const PoolName &pool) -> std::string;

auto packTask(const TaskRecord &record) -> std::string;
/// The record that these bytes hold; no value if they hold none.
auto unpackTask(const std::string &bytes) -> std::optional<TaskRecord>;

} // namespace shallotproxy

MSGPACK_ADD_ENUM(shallotproxy::TaskState)
