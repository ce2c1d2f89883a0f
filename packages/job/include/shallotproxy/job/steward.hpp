#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>

#include "crash_rate.hpp"
#include "quarantine.hpp"
#include "shallotproxy/demand.hpp"
#include "steward_events.hpp"
#include "suspect_groups.hpp"
#include "team_limit.hpp"
#include "unknown_runs.hpp"
#include "waiting_order.hpp"

namespace shallotproxy {

/// State of a job as reported to callers.
enum class JobState { Unknown, Queued, Running, Completed, Failed, Cancelled };

/// Returns the state to report for a job with this outcome; `whileOpen` if the job is still open.
auto stateOf(JobOutcome outcome, JobState whileOpen) -> JobState;

/// The reported state of a job and the team that owns it.
struct JobView
{
    JobState state = JobState::Unknown;
    TeamName team;
};

/// A job record to be written, and the number of the last change of the job that it contains.
struct JobRecord
{
    JobProgress progress;
    std::uint64_t change = 0;
};

/// Load of one pool; decides the size of the pool and the admission of jobs.
struct PoolLoad
{
    /// Reserved by runs.
    Resources used;
    /// Requested by waiting tasks whose earlier steps are done.
    Resources waiting;
    /// The parts of them that belong to jobs that can't be in time any more.
    Resources lateUsed;
    Resources lateWaiting;
    /// The part of `used` and `waiting` that belongs to long-running tasks.
    Resources longRunning;
    /// Jobs with finite tasks that this steward has accepted.
    std::uint64_t acceptedJobs = 0;
    /// Resources times estimated milliseconds of the finite tasks of these jobs.
    Resources acceptedWork;
    /// Sum of the squares of the work of each of these jobs, as workSize(); 0 if it isn't known.
    double acceptedSquares = 0;
    /// Number of workers that long-running tasks need because of their limit per worker.
    std::size_t minWorkers = 0;
    /// A task of the pool has crashed its worker lately, so that others probably will.
    bool hasCrashingTasks = false;
};

/// Returns a measure of the size of a job's work, to compare jobs of a pool.
inline auto workSize(const Resources &work) -> double
{
    return static_cast<double>(work.milliCores) + static_cast<double>(work.memoryMegabytes);
}

/// Load of one worker, for decisions about its host.
struct WorkerLoad
{
    std::size_t longRunningRuns = 0;
    std::size_t otherRuns = 0;
    /// Some ends of runs aren't persisted yet, so that only the worker itself can report them.
    bool hasUnpersistedEnds = false;
    /// This steward has polled the worker successfully.
    bool isPolled = false;
    bool isDraining = false;
    bool isUsable = false;
};

/// Timeouts and limits of a steward.
struct StewardSettings
{
    using Milliseconds = std::chrono::milliseconds;

    /// Lease of runs. Long enough to survive a change of stewards (1.6 s lease of the steward key
    /// plus 0.3 s to load the records) and a poll that fails twice. Short, because the tasks of an
    /// unresponsive worker run elsewhere only after it has expired.
    Milliseconds runLease{5'000};
    /// Upper bound of leases that workers grant; set by the platform.
    Milliseconds maxRunLease{10'000};
    /// A call that had no answer may be carried out this long after it was sent.
    Milliseconds lateCallTime{12'000};
    /// How long a worker may hold its answer to a poll back until a run ends.
    Milliseconds pollWait{900};
    /// The same for workers with tasks on spare cores: half of the window over which the reported
    /// latency is measured, so that their speed follows it.
    Milliseconds throttledPollWait{400};
    /// The same for workers with a run under test; see CrashHistory.
    Milliseconds testedPollWait{200};
    /// Shortest time between two polls of a worker; groups runs that end at nearly the same time.
    Milliseconds minPollInterval{15};
    /// Lengthens that time with the number of workers, which bounds the polls per second.
    std::chrono::microseconds pollIntervalPerWorker{400};
    /// Time between two Ticked events. If they come later, the steward has too little processor
    /// time and polls less often, so that each poll tells of more ends.
    Milliseconds tickInterval{100};
    /// The longest time by which that delays a poll; well below `responseTimeout`.
    Milliseconds maxPollInterval{600};
    /// A worker with runs that hasn't answered for this long gets no new work.
    Milliseconds responseTimeout{2'200};
    /// Shortest time between two start orders or two stop orders for one run.
    Milliseconds resendInterval{350};
    /// A worker with an order that has had no answer for this long gets no new work. Workers answer
    /// within milliseconds.
    Milliseconds orderResponseTime{250};
    /// Number of start orders of finite tasks that may be without an answer at the same time;
    /// orders older than `orderResponseTime` don't count. A steward with too little processor time
    /// reads the answers late, and so orders less, and goes on renewing leases and reading
    /// cancellations. Workers answer within milliseconds, so that this many allow tens of
    /// thousands of starts a second.
    std::size_t maxStartsInFlight = 128;
    /// A run whose start has had no answer for this long is stopped, so that the task starts on
    /// another worker.
    Milliseconds startTimeout{5'000};
    /// Length of a worker's first quarantine.
    Milliseconds quarantine{6'000};
    /// A long-running task that has waited for this long starts on a worker in quarantine if it
    /// fits on no other one. Preemption takes less.
    Milliseconds quarantineOverrideDelay{2'500};
    /// A worker that refused an order, or left one unanswered, gets no new work for this long.
    Milliseconds unhealthyBackoff{1'000};
    /// A long-running task that has waited for this long may preempt other runs.
    Milliseconds preemptionDelay{800};
    /// On a draining worker, runs that save progress are stopped if they don't end within this
    /// time.
    Milliseconds checkpointGracePeriod{2'500};
    /// The same for runs that don't save progress.
    Milliseconds drainGracePeriod{5'500};
    /// Shortest time between two polls of a worker that never answered and that is on no listed
    /// host. Most of them ended when their hosts moved, but one may still have runs.
    Milliseconds unlistedRetryInterval{2'000};
    /// Longest time that a worker takes to stop a run; set by the platform.
    Milliseconds stopTimeout{900};
    /// Time from the end of the longest stop until a poll has shown it.
    Milliseconds stopReportTime{600};
    /// Runs that an earlier steward started on workers that can't be polled have ended after this
    /// time.
    Milliseconds recoveryTimeout{14'000};
    RunTimeLearning runTimes;
};

/// How many times the forecast run time a run of the queue took.
struct RunTimeRatio
{
    QueueName queue;
    double ratio = 1;
};

/// Decides which task runs on which worker, for all pools. Each instance has its own fencing token.
///
/// Expected conditions: queues that in turn request five times their mean, workers that become
/// unresponsive, orders that are carried out seconds late, and stewards that overlap in time.
class Steward
{
public:
    using Actions = std::vector<StewardAction>;

    Steward(std::uint64_t token, StewardSettings settings, BootTime now);
    ~Steward();
    Steward(const Steward &) = delete;
    auto operator=(const Steward &) -> Steward & = delete;

    /// Applies an event and returns the actions to be performed, in this order.
    auto step(const StewardEvent &event, BootTime now) -> Actions;

    /// Whether a PlacementDue event would have an effect.
    [[nodiscard]] auto isPlacementDue() const -> bool { return !m_dirtyPools.empty(); }
    [[nodiscard]] auto token() const -> std::uint64_t { return m_token; }
    [[nodiscard]] auto view(const std::string &job) const -> JobView;
    /// Returns the number of open jobs of the queue none of whose tasks has started, without
    /// scheduled jobs.
    [[nodiscard]] auto pendingJobs(const QueueName &queue) const -> std::size_t;
    [[nodiscard]] auto record(const std::string &job) const -> std::optional<JobRecord>;
    /// Returns the loads of all pools; no value during recovery, as tasks of an earlier steward
    /// count as waiting until their workers have been polled.
    [[nodiscard]] auto poolLoads() const -> std::optional<std::map<PoolName, PoolLoad>>;
    /// Returns how long new work waits in the pools that are short of room; nothing during
    /// recovery. `arriving` is the capacity of hosts on their way to a pool.
    [[nodiscard]] auto admissionOutlook(const std::map<PoolName, Resources> &arriving)
        -> AdmissionOutlook;
    /// Returns the load of a worker; no value if the worker is unknown.
    [[nodiscard]] auto workerLoad(const WorkerName &name) const -> std::optional<WorkerLoad>;
    /// Returns what has been learned of run times, and how many runs this steward has learned from.
    [[nodiscard]] auto runTimes() const -> const RunTimes & { return m_runTimes; }
    [[nodiscard]] auto observedRuns() const -> std::uint64_t { return m_observedRuns; }
    /// Returns the ratios of the runs that ended since the last call.
    auto takeRunTimeRatios() -> std::vector<RunTimeRatio>;
    /// Sets what earlier stewards have learned; to be called before jobs are accepted.
    auto restoreRunTimes(RunTimes runTimes) -> void { m_runTimes = std::move(runTimes); }
    /// Whether runs of an earlier steward may still be unknown.
    [[nodiscard]] auto isRecovering() const -> bool { return m_isRecovering; }
    /// Evicts up to `maxCount` jobs that ended before `endedBefore`, whose end is persisted and
    /// that have no runs left. Jobs that had ended when this steward loaded them count from then.
    /// Returns their ids.
    auto evictEnded(BootTime endedBefore, std::size_t maxCount) -> std::vector<std::string>;
    /// Sets the workers of all hosts that are up, and the capacities of all hosts of the fleet; no
    /// capacities if they aren't known. Recovery lasts until each of the workers has been polled.
    /// `asOf` is when the list of the hosts was requested.
    auto expectWorkers(std::set<WorkerName> workers, std::vector<Resources> hostCapacities = {},
                       BootTime asOf = {}) -> void;
    /// Returns the registration of a worker that is registered or has runs, otherwise null.
    [[nodiscard]] auto findReport(const WorkerName &name) const -> const WorkerReport *;
    /// Whether this is the present registration of its worker.
    [[nodiscard]] auto isRegistered(const WorkerReport &report) const -> bool;
    /// Returns the names of all workers whose registrations haven't been removed.
    [[nodiscard]] auto registeredWorkers() const -> std::set<WorkerName>;

private:
    static constexpr double MaxRunsOfFleetPace = 300;

    struct Job;
    struct Occurrence;
    struct Task;
    struct Worker;
    struct Candidate;
    struct Backlog;
    struct RoomClaims;

    /// The recent crash of a worker and the runs that were lost there.
    struct RecentCrash
    {
        /// When this steward learned of it.
        BootTime at;
        BootTime lastAnswerAt;
        DataCentreName dataCentre;
        PoolName pool;
        std::vector<LostRun> runs;
        /// A suspect was under test, and is the likeliest cause.
        bool wasUnderTest = false;
        /// See isNewByItself().
        bool wasOnNewWorker = false;

        [[nodiscard]] auto isOfLossAt(BootTime lostAt) const -> bool
        {
            return at >= lostAt && lastAnswerAt <= lostAt;
        }
    };
    /// An incarnation that has ended while it was registered.
    struct EndedWorker
    {
        WorkerReport report;
        BootTime endKnownAt;
    };
    /// A task whose job fails at `dueAt` unless its crashes have been withdrawn by then.
    struct Verdict
    {
        BootTime dueAt;
        JobTaskId task;
    };

    /// A step that the limit of its team keeps from starting although smaller tasks still start.
    struct LimitWait
    {
        WaitingStepId step;
        const Job *job = nullptr;
        BootTime since;
    };

    /// The record of a start that isn't written yet.
    struct UnwrittenStart
    {
        /// The change of the job that contains it.
        std::uint64_t change = 0;
        BootTime since;
    };

    /// See PoolLoad.
    struct AcceptedWork
    {
        std::uint64_t jobs = 0;
        Resources work;
        double squares = 0;
    };

    auto handle(const steward_event::RulesChanged &event) -> void;
    auto handle(const steward_event::DataCentresClosed &event) -> void;
    auto handle(const steward_event::WorkerReported &event) -> void;
    auto handle(const steward_event::WorkerRemoved &event) -> void;
    auto handle(const steward_event::JobAccepted &event) -> void;
    auto handle(const steward_event::JobCancelled &event) -> void;
    auto handle(const steward_event::WorkerPolled &event) -> void;
    auto handle(const steward_event::PollFailed &event) -> void;
    auto handle(const steward_event::StartAnswered &event) -> void;
    auto handle(const steward_event::StopAnswered &event) -> void;
    auto handle(const steward_event::ProgressPersisted &event) -> void;
    auto handle(const steward_event::WorkerEnded &event) -> void;
    auto handle(const steward_event::WorkerDrainChanged &event) -> void;
    auto handle(const steward_event::Ticked &event) -> void;
    auto handle(const steward_event::PlacementDue &event) -> void;

    // Waiting steps: steward_backlog.cpp
    auto backlogOf(const Job &job) -> Backlog &;
    auto addWaiting(Task &task) -> void;
    auto removeWaiting(Task &task) -> void;
    auto updateBacklog(Job &job) -> void;
    auto updateBacklog(Job &job, std::uint32_t occurrence, std::uint32_t step) -> void;
    auto removeFromBacklog(Job &job) -> void;
    auto rebuildBacklogs() -> void;
    auto noteSuspect(const Task &task) -> void;
    auto waitingSuspects(const PoolName &pool) -> std::vector<Candidate>;
    [[nodiscard]] auto isWaitingStep(const Job &job, const Occurrence &occurrence,
                                     std::uint32_t step) const -> bool;

    // Jobs: steward_jobs.cpp
    [[nodiscard]] auto forecastRun(const Job &job, const Occurrence *occurrence,
                                   std::size_t step) const -> RunTimeForecast;
    auto updateForecast(Job &job, const Occurrence *occurrence) -> void;
    auto noteEarliestEnd(Worker &worker, const steward_event::WorkerPolled &event) -> void;
    [[nodiscard]] auto runTimeOf(const Task &task, const Worker &worker) const
        -> std::optional<Duration>;
    auto observeRunTime(const Task &task, Worker &worker, const EndedRun &end) -> void;
    [[nodiscard]] auto isSlow(const Worker &worker) const -> bool;
    auto countAcceptedWork(const Job &job) -> void;
    auto isWithinTeamRate(const Job &job) -> bool;
    auto openOccurrence(Job &job, std::uint32_t number) -> Occurrence &;
    auto restore(Job &job, const JobProgress &progress) -> void;
    auto openOccurrencesBefore(Job &job, std::uint32_t end) -> void;
    auto openDueOccurrences(Job &job) -> void;
    auto finishTask(Task &task) -> void;
    auto failTask(Task &task, std::uint64_t run) -> void;
    auto endJob(Job &job, JobOutcome outcome) -> void;
    auto markChanged(Job &job, WriteUrgency urgency) -> void;
    auto findTask(const JobTaskId &id) -> Task *;
    auto findReportedTask(const JobTaskId &id) -> Task *;
    [[nodiscard]] auto declaredRules(const Job &job) const -> const QueueRules *;
    [[nodiscard]] auto rulesOf(const Job &job) const -> const JobRules &;
    [[nodiscard]] auto poolOf(const Job &job) const -> const PoolName &;
    [[nodiscard]] auto mayFitAnyHost(const StepSpec &step) const -> bool;
    [[nodiscard]] auto isReady(const Job &job, const Occurrence &occurrence,
                               std::uint32_t step) const -> bool;

    // What polls report: steward_polls.cpp
    auto applyActiveRuns(Worker &worker, const steward_event::WorkerPolled &event) -> void;
    auto adjustRunSpeeds(Worker &worker) -> void;
    auto adopt(Worker &worker, const ActiveRun &run) -> void;
    auto addDetachedRun(Worker &worker, const JobTaskId &task) -> void;
    auto clearDetachedRuns(Worker &worker) -> void;
    auto applyEndedRun(Worker &worker, const EndedRun &end) -> void;
    auto applyRunEnd(Task &task, Worker &worker, const EndedRun &end, bool isAssigned) -> void;
    auto requeueMissingRuns(Worker &worker, const steward_event::WorkerPolled &event) -> void;
    auto highestAcknowledgeable(Worker &worker) -> std::uint64_t;
    auto pollIfDue(Worker &worker) -> void;
    auto adjustPollInterval() -> void;
    [[nodiscard]] auto pollInterval() const -> Duration;
    [[nodiscard]] auto isUnlisted(const Worker &worker) const -> bool;

    // Runs of earlier stewards: steward_recovery.cpp
    auto learnSteps(Job &job, const steward_event::JobAccepted &event) -> void;
    auto settleUnknownRun(Task &task) -> void;
    [[nodiscard]] auto roomOfUnaskedWorkers() const -> std::optional<Resources>;

    // Runs and workers: steward_workers.cpp
    auto attach(Task &task, Worker &worker) -> void;
    auto detach(Task &task) -> void;
    auto requeue(Task &task) -> void;
    auto requeueAll(Worker &worker) -> void;
    auto stopTask(Task &task) -> void;
    auto sendStop(Task &task) -> void;
    auto sendStart(Task &task) -> void;
    auto renewLease(Worker &worker) -> std::int64_t;
    [[nodiscard]] static auto clockAt(const Worker &worker, BootTime at) -> std::int64_t;
    [[nodiscard]] auto latestLeaseEnd(Duration lease, Duration clockAge) const -> BootTime;
    [[nodiscard]] auto latestLeaseEndAfterRestart(const Worker &worker) const -> BootTime;
    auto tickWorker(Worker &worker) -> void;
    auto drain(Worker &worker) -> void;
    [[nodiscard]] auto isUsable(const Worker &worker) const -> bool;
    [[nodiscard]] auto isReachable(const Worker &worker) const -> bool;
    auto stopRunInDoubt(Task &task) -> void;
    [[nodiscard]] auto mayStopLongRunning(const Task &task) const -> bool;
    [[nodiscard]] auto isAvailable(const Task &task) const -> bool;
    auto findWorker(const WorkerName &name) -> Worker *;
    auto registerWorker(const WorkerReport &report) -> Worker &;

    // Ends of workers: steward_ends.cpp
    auto handleLostRuns(const Worker &worker, RunLoss loss) -> void;
    auto handleRestart(Worker &worker, BootTime sentAt) -> void;
    auto endWorker(Worker &worker, RunLoss loss, BootTime asOf) -> bool;
    auto endRecoveryIfDone() -> void;
    auto restoreListedWorkers(BootTime asOf) -> void;
    auto endUnlistedWorkers() -> void;

    // Crashes of workers: steward_crashes.cpp
    auto recordCrash(const Worker &worker, RunLoss loss) -> void;
    auto holdCrashAgainst(Task &task, CrashEvidence evidence, const CrashContext &context,
                          steward_action::ReportCrash &report) -> void;
    auto recordPossibleCrash(const Worker &worker) -> void;
    auto recordPossibleCrash(Task &task, CrashEvidence evidence, WriteUrgency urgency) -> void;
    auto refinePossibleCrash(Task &task) -> void;
    auto recordInheritedStart(Task &task) -> void;
    auto forgetWrittenStarts() -> void;
    [[nodiscard]] auto mayStartInherited(const Job &job) const -> bool;
    [[nodiscard]] auto hasSuspects(const PoolName &pool) const -> bool;
    auto clearPossibleCrash(Task &task) -> void;
    auto forgetPossibleCrash(const WorkerName &worker) -> void;
    auto settlePossibleCrashes() -> void;
    auto confirmCrash(Task &task, std::uint64_t run) -> void;
    auto recordSilentLoss(Task &task, const CrashContext &context) -> void;
    auto removeUnsentCrash(Task &task, std::uint64_t run) -> void;
    auto crashesChanged(Task &task) -> void;
    auto settleRecentCrashes() -> void;
    [[nodiscard]] auto needsIsolation(const Task &task) const -> bool;
    auto withdrawCrashes(const DataCentreName &dataCentre, BootTime lostAt) -> void;
    auto applyVerdicts() -> void;
    auto exonerate(Task &task) -> void;
    [[nodiscard]] auto weighEvidence(CrashEvidence evidence, const Task &task) const
        -> CrashEvidence;
    [[nodiscard]] auto openRuns(const Worker &worker) const -> std::vector<Task *>;
    [[nodiscard]] auto evidenceIfCrashed(std::span<Task *const> tasks) const
        -> std::vector<std::optional<CrashEvidence>>;
    [[nodiscard]] auto hasEnded(const PossibleCrash &crash) const -> bool;
    [[nodiscard]] auto hasRestartedInSilence(const PossibleCrash &crash) const -> bool;
    [[nodiscard]] auto isNew(const Worker &worker) const -> bool;
    [[nodiscard]] auto isEstablished(const Task &task) const -> bool;
    [[nodiscard]] auto isUnderTest(const Task &task) const -> bool;
    [[nodiscard]] auto hasRunUnderTest(const Worker &worker) const -> bool;
    [[nodiscard]] auto hasCrashingTasks(const PoolName &pool) const -> bool;
    [[nodiscard]] auto isLossOfDataCentre(const RecentCrash &first) const -> bool;
    [[nodiscard]] auto isLostWithDataCentre(const Worker &worker) const -> bool;

    // Placement of suspects: steward_suspects.cpp
    struct SuspectGroup;
    auto placeSuspects(const PoolName &pool, const Candidate &candidate, SuspectGroup &group)
        -> void;
    auto joinsGroup(Task &task, SuspectGroup &group) -> bool;
    [[nodiscard]] auto newSuspectGroup(const PoolName &pool,
                                       std::span<const Candidate> suspects) const -> SuspectGroup;
    auto chooseWorkerForSuspect(const PoolName &pool, const Task &task) -> Worker *;
    [[nodiscard]] auto mayPlaceSuspect(const Task &task) const -> bool;
    [[nodiscard]] auto waitsForSeparation(const Task &task, const Worker &worker) const -> bool;
    [[nodiscard]] auto mayReserveForSuspect(const PoolName &pool, const Task &task) const -> bool;
    [[nodiscard]] auto countsForSuspectLimit(const Worker &worker, bool isLongRunning) const
        -> bool;

    // What crashes are compared with: steward_crash_context.cpp
    [[nodiscard]] auto isInTouch(const Worker &worker) const -> bool;
    [[nodiscard]] auto isNewByItself(const Worker &worker) const -> bool;
    [[nodiscard]] auto doNewWorkersStandOut(const PoolName &pool) const -> bool;
    [[nodiscard]] auto isDeliveryInDoubt(const Task &task) const -> bool;
    auto probe(Worker &worker) -> void;
    auto crashContextOf(const Task &task, std::span<Task *const> tasks) -> CrashContext;
    auto crashContextOf(const Task &task, const PossibleCrash &crash) -> CrashContext;
    auto observeCrashRates() -> void;
    auto coincidingShare(const RecentCrash &crash, const Task &task) -> double;
    auto addCoincidences(const RecentCrash &crash) -> void;

    // Placement: steward_placing.cpp
    auto placeDirtyPools() -> void;
    auto place(const PoolName &pool) -> void;
    enum class PlaceResult : std::uint8_t { Placed, NoRoom, TeamLimit, WindowFull };
    auto placeStep(std::span<Worker *const> workers, const Candidate &candidate) -> PlaceResult;
    [[nodiscard]] auto workersToPlaceOn(const PoolName &pool) const -> std::vector<Worker *>;
    [[nodiscard]] auto chooseWorker(std::span<Worker *const> workers, const Task &task) const
        -> Worker *;
    auto makeRoom(const PoolName &pool, const Candidate &candidate, RoomClaims &claims) -> void;
    auto findReservedWorker(const PoolName &pool, const Task &task, const RoomClaims &claims)
        -> Worker *;
    auto preemptFor(const PoolName &pool, const Task &task, const RoomClaims &claims) -> Worker *;
    [[nodiscard]] auto mayPreemptOn(const Worker &worker, const Task &task,
                                    const RoomClaims &claims) const -> bool;
    [[nodiscard]] auto isReservedFor(const Worker &worker, const Task &task) const -> bool;
    auto startTask(Task &task, Worker &worker) -> void;
    [[nodiscard]] auto fits(const Worker &worker, const Task &task) const -> bool;
    [[nodiscard]] auto startsInFlight() const -> std::size_t;
    auto placeOnQuarantined(const PoolName &pool, const Candidate &candidate) -> void;
    auto quarantineOf(const Worker &worker) -> Quarantine &;
    [[nodiscard]] auto isQuarantined(const Worker &worker) const -> bool;
    [[nodiscard]] auto acceptsRuns(const Worker &worker) const -> bool;
    [[nodiscard]] auto isOpen(const Worker &worker) const -> bool;
    [[nodiscard]] auto isKeptForSuspects(const Worker &worker) const -> bool;
    [[nodiscard]] auto takesNewWork(const Worker &worker) const -> bool;
    [[nodiscard]] auto isWaitingToStart(const Task &task) const -> bool;
    [[nodiscard]] auto isAllowedOn(const Worker &worker, const Task &task) const -> bool;
    [[nodiscard]] auto mayPlace(const Task &task) const -> bool;
    [[nodiscard]] auto teamShare(const TeamName &team) const -> double;
    [[nodiscard]] auto meanTeamShare() const -> double;

    // Limits of teams: steward_limits.cpp
    [[nodiscard]] auto limitOf(const Job &job) const -> Resources;
    [[nodiscard]] auto loadOf(const TeamName &team) const -> TeamLoad;
    [[nodiscard]] auto isWithinTeamLimit(const Job &job, const WaitingStepId &step,
                                         const Resources &claimed = {}) const -> bool;
    [[nodiscard]] auto isWithinTeamLimit(const Task &task) const -> bool;
    [[nodiscard]] auto isHeldBack(const TeamName &team, const WaitingStepId &step) const -> bool;
    [[nodiscard]] auto mayStartAfterFiniteRuns(const Job &job, const StepSpec &step) const -> bool;
    auto noteLimitReached(const Task &task) -> void;
    auto forgetLimitReached(const Task &task) -> void;
    auto forgetSettledLimitWaits() -> void;

    // Reports of waiting tasks: steward_waiting.cpp
    auto reportWaitingTasks() -> void;
    auto findLongWaiting() -> std::vector<Task *>;
    [[nodiscard]] auto hasWaitedLong(const Task &task) const -> bool;
    [[nodiscard]] static auto waitingSince(const Task &task) -> BootTime;
    [[nodiscard]] auto waitReason(const Task &task) const -> WaitReason;
    [[nodiscard]] auto suspectWaitReason(const Task &task) const -> WaitReason;

    // Admission: steward_admission.cpp
    [[nodiscard]] auto roomForFiniteTasks(const PoolName &pool) const -> Resources;
    [[nodiscard]] auto shapeOf(const Job &job, std::size_t step) const -> RunShape;
    auto addToBacklog(PoolBacklog &sum, const WaitingStep &step, const Candidate &candidate,
                      Timeliness timeliness, std::size_t steps) const -> void;

    auto markDirty(const PoolName &pool) -> void { m_dirtyPools.insert(pool); }

    std::uint64_t m_token;
    StewardSettings m_settings;
    BootTime m_now;
    std::int64_t m_wallMilliseconds = 0;
    Actions m_actions;
    std::shared_ptr<const SchedulingRules> m_rules;
    std::set<DataCentreName> m_closedDataCentres;
    std::unordered_map<std::string, std::unique_ptr<Job>> m_jobs;
    /// By number.
    std::map<PoolName, std::map<std::uint64_t, Job *>> m_openJobs;
    /// The open jobs with long-running steps, and those with occurrences that aren't due yet.
    std::map<std::uint64_t, Job *> m_longRunningJobs;
    std::map<std::uint64_t, Job *> m_scheduledJobs;
    std::map<PoolName, std::unique_ptr<Backlog>> m_backlogs;
    std::uint64_t m_lastJobNumber = 0;
    /// Jobs that ended, in the order in which this steward saw their ends.
    std::deque<const Job *> m_endedJobs;
    std::map<WorkerName, std::unique_ptr<Worker>> m_workers;
    std::map<PoolName, std::vector<Worker *>> m_poolWorkers;
    /// Registrations of incarnations that have ended; the platform removes them some seconds later.
    std::map<WorkerName, EndedWorker> m_endedWorkers;
    std::map<TeamName, TeamLoad> m_teamLoads;
    std::map<TeamName, LimitWait> m_limitWaits;
    UnknownRuns m_unknownRuns;
    /// As of the last placement.
    std::optional<Resources> m_unaskedRoom;
    TeamEntitlement m_entitlement;
    RunTimes m_runTimes;
    std::uint64_t m_observedRuns = 0;
    RunPace m_fleetPace{MaxRunsOfFleetPace};
    std::vector<RunTimeRatio> m_runTimeRatios;
    /// When runs of a pool may be preempted next.
    std::map<PoolName, BootTime> m_nextPreemptions;
    std::map<PoolName, AcceptedWork> m_acceptedWork;
    std::set<PoolName> m_dirtyPools;
    /// Pools with tasks that wait until start orders have been answered, in the order in which they
    /// go on.
    std::vector<PoolName> m_pacedPools;
    /// Number of start orders of finite tasks that may still be sent in this placement.
    std::size_t m_startBudget = 0;
    std::set<WorkerName> m_expectedWorkers;
    std::map<PoolName, Quarantine> m_quarantines;
    std::deque<RecentCrash> m_recentCrashes;
    std::map<DataCentreName, BootTime> m_lostDataCentres;
    /// When a task was last found to crash its workers.
    std::map<PoolName, BootTime> m_crashingTasksSeenAt;
    std::map<PoolName, SuspectGroups> m_suspectGroups;
    std::map<PoolName, PoolCrashRates> m_crashRates;
    std::vector<Verdict> m_verdicts;
    /// Tasks with a possible crash that an earlier steward has recorded.
    std::vector<JobTaskId> m_inheritedCrashes;
    /// The last start of each job that is recorded ahead of a crash, until it is written.
    std::map<std::string, UnwrittenStart> m_unwrittenStarts;
    std::uint64_t m_lastChange = 0;
    BootTime m_lastTickAt;
    /// By which polls are delayed because ticks are late.
    int m_pollIntervalFactor = 1;
    BootTime m_nextWaitReportAt;
    BootTime m_startedAt;
    BootTime m_recoveryDeadline;
    bool m_isRecovering = true;
    bool m_hasHostList = false;
    /// When the last list of the hosts was requested.
    BootTime m_hostsListedAt;
    std::vector<Resources> m_hostCapacities;
};

} // namespace shallotproxy
