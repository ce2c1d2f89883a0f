#pragma once

#include <cstdint>
#include <vector>

#include "task_record.hpp"

namespace shallotproxy {

/// State of a run of a task as its worker reports it. `Unknown`: the worker does not know the run.
/// `LeaseExpired`: the worker stopped the run because its lease expired.
enum class RunState : std::uint8_t {
    Unknown,
    Running,
    Done,
    Failed,
    Checkpointed,
    Stopped,
    LeaseExpired,
};

/// Identifies one run of a task.
struct RunId
{
    TaskId task;
    TaskEpoch epoch = 0;
    auto operator<=>(const RunId &other) const = default; // NOLINT(modernize-use-nullptr)
};

/// One entry of a worker's report. The usage figures lag behind.
struct RunReport
{
    RunId run;
    RunState state = RunState::Unknown;
    double progress = 0;
    double cores = 0;
    double memoryBytes = 0;
};

/// An order that the steward sends for a run.
enum class RunOrder : std::uint8_t { Stop, Checkpoint, Throttle };

/// A worker as the placement sees it.
struct WorkerCapacity
{
    HostName host;
    DataCentreName dataCentre;
    TaskDemand capacity;
    bool acceptsWork = true; // The worker and its data centre are in service.
};

} // namespace shallotproxy
