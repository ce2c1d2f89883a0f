#include "shallotproxy/request/task/task_record.hpp"
#include "shallotproxy/process/base/record_codec.hpp"

namespace shallotproxy {

auto taskStateName(TaskState state) -> std::string_view
{
    switch (state) {
    case TaskState::Waiting:
        return "waiting";
    case TaskState::Placed:
        return "running";
    case TaskState::Cancelling:
        return "cancelling";
    case TaskState::Done:
        return "done";
    case TaskState::Failed:
        return "failed";
    case TaskState::Cancelled:
        break;
    }
    return "cancelled";
}

auto isEnded(TaskState state) -> bool
{
    return state == TaskState::Done || state == TaskState::Failed || state == TaskState::Cancelled;
}

auto fitsInto(const TaskDemand &demand, const TaskDemand &available) -> bool
{
    return demand.cores <= available.cores && demand.memoryBytes <= available.memoryBytes
        && demand.accelerators <= available.accelerators;
}

auto TaskVersion::runEpoch() const -> TaskEpoch
{
    return record.epoch != 0 ? record.epoch : static_cast<TaskEpoch>(revision);
}

auto poolOfTask(const TaskId &id) -> PoolName
{
    const auto at = id.value().rfind('.');
    return at == std::string::npos ? PoolName() : PoolName(id.value().substr(0, at));
}

auto taskPrefix(const PoolName &pool) -> std::string
{
    return "tasks/" + pool.value() + "/";
}

auto endedTaskPrefix(const PoolName &pool) -> std::string
{
    return "ended-tasks/" + pool.value() + "/";
}

auto taskKey(const TaskId &id) -> std::string
{
    return taskPrefix(poolOfTask(id)) + id.value();
}

auto endedTaskKey(const TaskId &id) -> std::string
{
    return endedTaskPrefix(poolOfTask(id)) + id.value();
}

auto packTask(const TaskRecord &record) -> std::string
{
    return packRecord(record);
}

auto unpackTask(const std::string &bytes) -> std::optional<TaskRecord>
{
    return unpackRecord<TaskRecord>(bytes);
}

} // namespace shallotproxy
