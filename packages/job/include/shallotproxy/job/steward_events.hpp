#pragma once

#include <map>
#include <memory>
#include <set>
#include <variant>

#include "crash_history.hpp"
#include "job_progress.hpp"
#include "shallotproxy/process/base/boot_clock.hpp"

namespace shallotproxy {

/// Identifies a worker process. A worker that restarts mostly gets a new name; under the same name,
/// `WorkerReport::startedMilliseconds` tells its incarnations apart.
using WorkerName = Name<struct WorkerTag>;

/// The configured rules of a queue of jobs.
struct QueueRules : JobRules
{
    PoolName pool;
};

/// The configured share and limit of a team.
struct TeamRules
{
    double weight = 1;
    /// Jobs that the team submits beyond this rate come after those of teams within theirs; 0 is
    /// unlimited.
    double jobsPerSecond = 0;
    /// Maximum of the team's running tasks over all pools. A component of 0 is unlimited.
    Resources limit;
};

/// The configured kind of a pool.
struct PoolRules
{
    /// Hosts of a standby pool are switched off and cost nothing.
    bool isStandby = false;
};

/// The scheduling rules of one version of the configuration.
struct SchedulingRules
{
    std::map<QueueName, QueueRules> queues;
    std::map<TeamName, TeamRules> teams;
    std::map<PoolName, PoolRules> pools;
};

/// The registration of a worker.
struct WorkerReport
{
    WorkerName name;
    PoolName pool;
    std::string address;
    DataCentreName dataCentre;
    std::vector<std::string> labels;
    Resources capacity;
    /// The worker is about to leave and gets no new work.
    bool isLeaving = false;
    /// Unix time at which this incarnation started; 0 if it was not reported.
    std::int64_t startedMilliseconds = 0;

    auto operator==(const WorkerReport &) const -> bool = default;
};

/// A run that is active on a worker.
struct ActiveRun
{
    JobTaskId task;
    std::uint64_t run = 0;
    std::string checkpoint;
    /// Share of a finite task's work that is done. A long-running task reports 100 once it serves.
    int progressPercent = 0;
    /// Tail latency in milliseconds of a task with a latency target, else the used milli-cores.
    std::int64_t latencyOrUsage = 0;
};

/// How a run ended.
///
/// `LeaseExpired`: its lease expired. `GangBroken`: another task of its gang ended.
/// `GangIncomplete`: other tasks of its gang were missing.
enum class RunEnd { Done, Failed, Stopped, LeaseExpired, GangBroken, GangIncomplete };

/// The end of a run. The worker reports it in each poll until it is acknowledged.
struct EndedRun
{
    std::uint64_t sequence = 0;
    JobTaskId task;
    std::uint64_t run = 0;
    RunEnd end = RunEnd::Failed;
    std::string checkpoint;
};

/// The result of an order to a worker.
enum class OrderOutcome {
    Accepted,
    /// The worker has received an order with a higher fencing token.
    Superseded,
    /// The worker has already ended a run of this task with this number or a higher one.
    StaleRun,
    /// The end of the lease in the order had passed on the worker's clock.
    LeaseExpired,
    InsufficientResources,
    Invalid,
    /// The worker refused the order for now and did nothing.
    Unhealthy,
    /// The order was addressed to an earlier incarnation of the worker.
    StaleIncarnation,
    NotSent,
    /// No answer was received. The order may be carried out, also later.
    Unanswered,
};

/// What a call that failed shows of the worker.
///
/// `Unknown`: nothing, as the call wasn't tried. `Silent`: no connection or no answer came in time;
/// the worker may be cut off, or its host down. `Closed`: the connection was refused, or closed
/// without an answer; a process at the address has ended.
enum class ContactLoss : std::uint8_t { Unknown, Silent, Closed };

/// How the runs of a worker were lost.
///
/// `Planned`: the worker left, was drained, or its host was moved or maintained. `Ended`: it ended
/// for another reason. `Restarted`: another incarnation answered in its place. `LeaseExpired`: it
/// didn't answer until the leases of its runs had expired.
enum class RunLoss { Planned, Ended, Restarted, LeaseExpired };

/// What shows the end of a worker to the steward itself.
///
/// `Replaced`: another worker answers at its address. `NeverListed`: it doesn't answer, and no list
/// of the hosts has ever shown it.
enum class EndEvidence { Replaced, NeverListed };

/// Why a task has no running run.
enum class WaitReason {
    /// The steward counts its run as running, but no poll has listed the run lately.
    NotListed,
    /// An order to stop its last run has not been confirmed by the worker.
    StopUnconfirmed,
    /// The worker has confirmed the stop of its last run, but hasn't reported the end.
    EndUnreported,
    /// The start order has no answer, or only answers that tell nothing.
    StartUnanswered,
    /// The steward is recovering: a run of an earlier steward may be unknown.
    Recovering,
    /// It is suspected of crashing workers, and its last crash isn't persisted.
    CrashNotPersisted,
    /// It is suspected of crashing workers, and fits on no worker that accepts runs.
    NoRoomForSuspect,
    /// It is suspected of crashing workers, and each worker where it fits has runs that have just
    /// started or are under test, or another suspect that it is kept apart from for a while.
    NoQuietWorker,
    /// The steward has no scheduling rules.
    NoRules,
    /// No worker of its pool accepts runs.
    NoWorkers,
    /// All workers of its pool that accept runs are kept free for suspects.
    WorkersKeptForSuspects,
    TeamLimit,
    /// It fits on no worker, and runs are being preempted in its pool.
    PreemptionUnderWay,
    /// It fits on no worker that takes new work: by its resources, label or tasks per worker.
    NoRoom,
    /// Nothing prevents its placement.
    PlacementDue,
};

/// A run that was lost with its worker.
struct LostRun
{
    JobTaskId task;
    std::uint64_t run = 0;
};

/// A run that a crash is held against.
struct HeldCrash
{
    JobTaskId task;
    CrashedRun run;
    /// Crashes that are held against the task, with this one.
    std::size_t crashes = 0;
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
/// The registration of a worker was deleted or became unreadable.
struct WorkerRemoved
{
    WorkerName worker;
};
struct JobAccepted
{
    JobSpec spec;
    JobProgress progress;
    /// An earlier steward may have started tasks of the job.
    bool mayRunAlready = false;
};
struct JobCancelled
{
    std::string job;
};
/// The answer of a worker to a poll.
struct WorkerPolled
{
    WorkerName worker;
    /// When the poll was sent.
    BootTime sentAt;
    /// The worker's clock when it answered.
    std::int64_t clockMilliseconds = 0;
    std::int64_t startedMilliseconds = 0;
    std::vector<ActiveRun> active;
    std::vector<EndedRun> ended;
};
struct PollFailed
{
    WorkerName worker;
    BootTime sentAt;
    OrderOutcome outcome = OrderOutcome::Unanswered;
    ContactLoss contactLoss = ContactLoss::Unknown;
};
struct StartAnswered
{
    WorkerName worker;
    JobTaskId task;
    std::uint64_t run = 0;
    OrderOutcome outcome = OrderOutcome::Unanswered;
    /// The worker's clock when it answered; 0 if it was not reported.
    std::int64_t clockMilliseconds = 0;
    ContactLoss contactLoss = ContactLoss::Unknown;
};
struct StopAnswered
{
    WorkerName worker;
    JobTaskId task;
    std::uint64_t run = 0;
    OrderOutcome outcome = OrderOutcome::Unanswered;
};
/// The record of the job is persisted up to and including this change.
struct ProgressPersisted
{
    std::string job;
    std::uint64_t change = 0;
};
/// The host of a worker was moved, went into upkeep or is down: nothing runs there any more.
struct WorkerEnded
{
    WorkerName worker;
    /// The steward ordered it, or the host is being moved or maintained.
    bool isPlanned = false;
    /// When the call was sent that showed it. Proves nothing about a worker that has given a sign
    /// of life since: another incarnation may have started under the name.
    BootTime asOf = BootTime::max();
};
/// Starts or ends the drain of a worker. A draining worker gets no new work, and its runs are
/// stopped as far as their jobs allow.
struct WorkerDrainChanged
{
    WorkerName worker;
    bool isDraining = true;
};
/// Periodic event that drives timeouts. Carries the Unix time.
struct Ticked
{
    std::int64_t wallMilliseconds = 0;
};
/// Requests the placement of waiting tasks. Sent once after a group of events because placement is
/// the most expensive step.
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
    /// End of the lease on the worker's clock.
    std::int64_t leaseEndMilliseconds = 0;
    /// How long ago the worker last answered, and how many crashes are held against the task; for
    /// the log.
    std::chrono::milliseconds lastAnswerAge{};
    std::size_t crashes = 0;
};
struct StopRun
{
    WorkerName worker;
    JobTaskId task;
    std::uint64_t run = 0;
};
/// Reads the active and ended runs of a worker and renews the lease of its runs.
struct PollWorker
{
    WorkerName worker;
    /// End of the new lease on the worker's clock; 0 renews nothing.
    std::int64_t leaseEndMilliseconds = 0;
    /// Acknowledges the ends of runs up to this sequence number.
    std::uint64_t acknowledged = 0;
    /// How long the worker may hold the answer back until a run ends.
    int waitMilliseconds = 0;
};
/// Sets the processor speed of a run on spare cores.
struct SetRunSpeed
{
    WorkerName worker;
    JobTaskId task;
    std::uint64_t run = 0;
    int speedPercent = 100;
};
/// Requests that the record of the job is written; without delay if its outcome is new.
struct PersistProgress
{
    std::string job;
    WriteUrgency urgency = WriteUrgency::Relaxed;
};
/// Reports runs that were lost with their worker. Nothing has to be done.
struct ReportLostRuns
{
    WorkerName worker;
    RunLoss loss = RunLoss::Ended;
    std::vector<LostRun> runs;
};
/// Reports what the crash of a worker is held against. `runs` is bounded; `omitted` counts the
/// others. Nothing has to be done.
struct ReportCrash
{
    WorkerName worker;
    RunLoss loss = RunLoss::Ended;
    /// What the calls since its last answer showed of the worker.
    ContactLoss contactLoss = ContactLoss::Unknown;
    std::vector<HeldCrash> runs;
    std::size_t omitted = 0;
};
/// Reports a worker whose end the steward has found itself. Nothing has to be done.
struct ReportWorkerEnd
{
    WorkerName worker;
    EndEvidence evidence = EndEvidence::Replaced;
};
/// Reports a task that is given up because it crashes the workers that start it. Nothing has to be
/// done.
struct ReportCrashingTask
{
    JobTaskId task;
    std::size_t crashes = 0;
};
/// Reports a task that has had no running run for a while, as far as polls tell. Nothing has to be
/// done.
struct ReportWaitingTask
{
    JobTaskId task;
    /// Highest run number in use; 0 if the task had no run.
    std::uint64_t run = 0;
    /// Where the run is being started or stopped; empty if the task has no worker.
    WorkerName worker;
    WaitReason reason = WaitReason::NoRoom;
    /// Since this steward first knew the task to wait, or since a poll last listed its run.
    Duration time{};
};
/// Reports the number of waiting tasks that were due for a report and exceeded its limit. Nothing
/// has to be done.
struct ReportMoreWaitingTasks
{
    std::size_t count = 0;
};
/// A worker has accepted a steward with a higher fencing token; this steward must stop.
struct StepDown
{
    WorkerName worker;
};

} // namespace steward_action

using StewardAction =
    std::variant<steward_action::StartRun, steward_action::StopRun, steward_action::PollWorker,
                 steward_action::SetRunSpeed, steward_action::PersistProgress,
                 steward_action::ReportLostRuns, steward_action::ReportCrash,
                 steward_action::ReportWorkerEnd, steward_action::ReportCrashingTask,
                 steward_action::ReportWaitingTask, steward_action::ReportMoreWaitingTasks,
                 steward_action::StepDown>;

} // namespace shallotproxy
