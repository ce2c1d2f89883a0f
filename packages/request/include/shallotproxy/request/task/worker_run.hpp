#pragma once

#include <cstdint>
#include <vector>

#include "task_record.hpp"

namespace shallotproxy {

/// What a worker says about one run of a task. `Unknown`: it never heard of it. `Lapsed`: the
/// lease ran out, so the worker stopped it.
enum class RunState : std::uint8_t {
    Unknown,
    Running,
    Done,
    Failed,
    Checkpointed,
    Stopped,
    Lapsed,
};

/// Names one run of a task.
struct RunId
{
    TaskId task;
    TaskEpoch epoch = 0;
    auto operator<=>(const RunId &other) const = default; // NOLINT(modernize-use-nullptr)
};

/// One line of a worker's report; usage lags behind.
struct RunReport
{
    RunId run;
    RunState state = RunState::Unknown;
    double progress = 0;
    double cores = 0;
    double memoryBytes = 0;
};

/// What may be asked of a run.
enum class RunOrder : std::uint8_t { Stop, Checkpoint, Throttle };

/// A worker as placement sees it.
struct WorkerCapacity
{
    HostName host;
    DataCentreName dataCentre;
    TaskDemand capacity;
    bool acceptsWork = true; // it and its data centre are in service
};

} // namespace shallotproxy
