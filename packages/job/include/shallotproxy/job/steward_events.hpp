#pragma once

#include <map>
#include <memory>
#include <set>
#include <variant>

#include "job_progress.hpp"
#include "shallotproxy/process/base/boot_clock.hpp"

namespace shallotproxy {

/// One life of a worker process; a host that begins again has a new one.
using WorkerName = Name<struct WorkerTag>;

/// What the configuration says of a queue of jobs.
struct QueueRules
{
    PoolName pool;
    std::uint32_t attempts = 1; // failed runs of a task that fail its job
    std::uint32_t priority = 0; // 0 goes first
    double deadlineFactor = 1; // a job is on time within this many times its longest chain ...
    std::int64_t deadlineSlackMilliseconds = 0; // ... and this much more
};

struct TeamRules
{
    double weight = 1;
    Resources limit; // over all pools; 0: no limit
};

struct PoolRules
{
    bool isStandby = false; // its hosts are off and cost nothing
};

/// What the steward needs of one version of the configuration.
struct SchedulingRules
{
    std::map<QueueName, QueueRules> queues;
    std::map<TeamName, TeamRules> teams;
    std::map<PoolName, PoolRules> pools;
};

/// What a worker says of itself in its registration.
struct WorkerReport
{
    WorkerName name;
    PoolName pool;
    std::string address;
    DataCentreName dataCentre;
    std::vector<std::string> labels;
    Resources capacity;
    bool isLeaving = false;
    std::int64_t startedMilliseconds = 0; // Unix time of this life's start; 0: not told

    auto operator==(const WorkerReport &) const -> bool = default;
};

/// A run that a worker has at present.
struct ActiveRun
{
    JobTaskId task;
    std::uint64_t run = 0;
    std::string checkpoint;
    int progressPercent = 0; // of the work of a task that ends; 100: a lasting one is at work
    std::int64_t latencyOrUsage =
        0; // tail latency in ms of a serving task, used milli-cores of another
};

enum class RunEnd { Done, Failed, Stopped, Lapsed, GangBroken, GangIncomplete };

/// The end of a run, told again by the worker until it is acknowledged.
struct EndedRun
{
    std::uint64_t sequence = 0;
    JobTaskId task;
    std::uint64_t run = 0;
    RunEnd end = RunEnd::Failed;
    std::string checkpoint;
};

/// What became of an order to a worker.
enum class OrderOutcome {
    Accepted,
    Superseded, // a steward with a higher token has been there
    StaleRun,
    LeaseExpired, // the lease that it named had passed on the worker's clock
    InsufficientResources,
    Invalid,
    Unhealthy, // the worker did nothing
    StaleIncarnation, // the worker has begun again
    NotSent,
    Unanswered, // may be carried out, also later
};

namespace steward_event {

struct RulesChanged
{
    std::shared_ptr<const SchedulingRules> rules;
};
struct DataCentresClosed
{
    std::set<DataCentreName> closed;
};
struct WorkerReported
{
    WorkerReport report;
};
struct WorkerRemoved
{
    WorkerName worker;
};
struct JobAccepted
{
    JobSpec spec;
    JobProgress progress;
    bool mayRunAlready = false; // an earlier steward may have started its tasks
};
struct JobCancelled
{
    std::string job;
};
struct WorkerPolled
{
    WorkerName worker;
    BootTime sentAt;
    std::int64_t clockMilliseconds = 0; // of the worker
    std::int64_t startedMilliseconds = 0;
    std::vector<ActiveRun> active;
    std::vector<EndedRun> ended;
};
struct PollFailed
{
    WorkerName worker;
    BootTime sentAt;
    OrderOutcome outcome = OrderOutcome::Unanswered;
};
struct StartAnswered
{
    WorkerName worker;
    JobTaskId task;
    std::uint64_t run = 0;
    OrderOutcome outcome = OrderOutcome::Unanswered;
    std::int64_t clockMilliseconds = 0; // of the worker; 0: not told
};
struct StopAnswered
{
    WorkerName worker;
    JobTaskId task;
    std::uint64_t run = 0;
    OrderOutcome outcome = OrderOutcome::Unanswered;
};
/// The record of the job, as of this change of it, is in the store.
struct ProgressPersisted
{
    std::string job;
    std::uint64_t change = 0;
};
/// The host of a worker was moved, maintained, or is gone: nothing runs there any more.
struct WorkerEnded
{
    WorkerName worker;
};
/// A worker gets no new work; its runs are ended as far as their jobs allow.
struct WorkerDrainChanged
{
    WorkerName worker;
    bool isDraining = true; // false: it gets work again
};
struct Ticked
{
    std::int64_t wallMilliseconds = 0;
};
/// Waiting tasks are placed. Asked for once after a group of events, as placing costs the most.
struct PlacementDue
{ };

} // namespace steward_event

using StewardEvent = std::variant<
    steward_event::RulesChanged, steward_event::DataCentresClosed, steward_event::WorkerReported,
    steward_event::WorkerRemoved, steward_event::JobAccepted, steward_event::JobCancelled,
    steward_event::WorkerPolled, steward_event::PollFailed, steward_event::StartAnswered,
    steward_event::StopAnswered, steward_event::ProgressPersisted, steward_event::WorkerEnded,
    steward_event::WorkerDrainChanged, steward_event::Ticked, steward_event::PlacementDue>;

namespace steward_action {

struct StartRun
{
    WorkerName worker;
    JobTaskId task;
    std::uint64_t run = 0;
    std::string payload;
    std::string checkpoint;
    std::int64_t leaseEndMilliseconds = 0; // on the worker's clock
};
struct StopRun
{
    WorkerName worker;
    JobTaskId task;
    std::uint64_t run = 0;
};
/// Reads a worker's lists and renews the lease of what runs there.
struct PollWorker
{
    WorkerName worker;
    std::int64_t leaseEndMilliseconds = 0; // on the worker's clock; 0: renews nothing
    std::uint64_t acknowledged = 0; // ends up to this one are kept
    int waitMilliseconds = 0; // the answer waits this long for an end
};
struct SetRunSpeed
{
    WorkerName worker;
    JobTaskId task;
    std::uint64_t run = 0;
    int speedPercent = 100;
};
/// The job's record has to be written; at once if its outcome is new.
struct PersistProgress
{
    std::string job;
    bool isUrgent = false;
};
/// A successor holds the workers; this steward must end.
struct StepDown
{
    WorkerName worker;
};

} // namespace steward_action

using StewardAction = std::variant<steward_action::StartRun, steward_action::StopRun,
                                   steward_action::PollWorker, steward_action::SetRunSpeed,
                                   steward_action::PersistProgress, steward_action::StepDown>;

} // namespace shallotproxy
