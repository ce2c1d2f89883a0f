#pragma once

#include "shallotproxy/job/steward.hpp"
#include "shallotproxy/job/waiting_order.hpp"
#include "shallotproxy/job/worker_contact.hpp"

namespace shallotproxy {

/// Number of failed polls in a row after which a worker counts as unresponsive.
inline constexpr int MaxFailedPolls = 2;
/// A suspect isn't started again before its last crash is persisted, but waits for this long at
/// most while it may well be innocent. Starts wait for their records for as long.
inline constexpr std::chrono::milliseconds MaxPersistTime{500};
inline constexpr int FullSpeedPercent = 100;
inline constexpr double MaxRunsOfWorkerPace = 20;

enum class TaskPhase : std::uint8_t { Waiting, Starting, Running, Stopping, Done };

struct Steward::Task
{
    Job *job = nullptr;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    TaskPhase phase = TaskPhase::Waiting;
    /// Highest run number in use.
    std::uint64_t run = 0;
    /// Set while the task is Starting, Running or Stopping.
    Worker *worker = nullptr;
    /// Numbers of the failed runs. Workers may report them in any order, and repeatedly.
    std::vector<std::uint64_t> failedRuns;
    CrashHistory crashes;
    /// Restarts of workers that couldn't be reached; none is held against the task by itself.
    CrashHistory silentLosses;
    /// When this steward has seen runs of the task lost with their workers.
    std::vector<BootTime> lossTimes;
    /// Set while the worker of the last run may have crashed, while a suspect is tested alone, and
    /// in a pool with suspects from the start of a run until a poll lists it.
    std::optional<PossibleCrash> possibleCrash;
    /// The present run was started under test together with others.
    bool isGrouped = false;
    /// Nothing was to start beside the present run for a while.
    bool isIsolated = false;
    /// How long before the present run was ordered the worker had last answered.
    Duration contactAge{};
    /// The worker closed the connection of the start order, so that the order has reached it.
    bool wasStartClosed = false;
    /// A run that was lost before its only start order had an answer.
    std::optional<std::uint64_t> lostUnanswered;
    /// The change of the job that contains the last crash.
    std::uint64_t crashChange = 0;
    std::string checkpoint;
    /// The present run goes on from a checkpoint, was slowed, or it isn't known when it began: its
    /// time says nothing of others.
    bool isPartialRun = false;
    /// The worker of the last run that failed or whose start timed out; the next run prefers
    /// another one.
    WorkerName failedOn;
    BootTime phaseSince;
    /// Since when a long-running task has had no running run, within the time between two reports.
    /// No phase lasts if runs start and fail again and again.
    std::optional<BootTime> unavailableSince;
    /// When the task was last reported as waiting.
    BootTime waitReportedAt;
    /// When the task was attached to its worker.
    BootTime attachedAt;
    /// When the last start or stop order was sent.
    BootTime orderedAt;
    /// When the last start order was sent.
    BootTime startSentAt;
    /// When the worker last confirmed the run or its stop.
    BootTime confirmedAt;
    /// When the last poll was sent that has listed the run as active, or the run was started.
    BootTime listedAt;
    /// The start order was sent again because the first one had no answer.
    bool wasStartResent = false;
    /// A start order without an answer may have been carried out, and isn't sent again. The next
    /// poll shows whether the run is active.
    bool isStartInDoubt = false;
    /// The worker's clock when it first confirmed the run.
    std::optional<std::int64_t> activeAtMilliseconds;
    /// The incarnation of the worker that had the run has ended; the run is being stopped on the
    /// next one.
    bool isRunLost = false;
    /// A start or stop order has no answer yet.
    bool isOrderPending = false;
    bool isStopConfirmed = false;
    /// An earlier steward may have started the task on a worker that hasn't been polled yet.
    bool mayHaveUnknownRun = false;
    int progressPercent = 0;
    /// The speed that was last ordered.
    int speedPercent = 100;
    std::int64_t latencyOrUsage = 0;

    [[nodiscard]] auto id() const -> JobTaskId;
    [[nodiscard]] auto stepId() const -> WaitingStepId;
    [[nodiscard]] auto spec() const -> const StepSpec &;
    /// Updates `unavailableSince`.
    auto noteAvailability() -> void;
    /// Returns since when the task has had no running run, if it has none.
    [[nodiscard]] auto waitingSince() const -> BootTime
    {
        return unavailableSince.value_or(phaseSince);
    }
};

struct Steward::Occurrence
{
    std::uint32_t number = 0;
    std::vector<std::vector<Task>> steps;
    /// Number of tasks of each step that aren't done.
    std::vector<std::uint32_t> remainingTasks;
    std::uint32_t remainingSteps = 0;
    /// Number of waiting tasks of each step.
    std::vector<std::uint32_t> waitingTasks;
    /// Run times of the finished tasks of each step.
    std::vector<StepWitness> finishedRuns;
    /// No task of the step with a lower index waits.
    std::vector<std::uint32_t> firstWaiting;
};

struct Steward::Job
{
    JobSpec spec;
    /// Jobs are numbered in the order in which this steward has accepted them.
    std::uint64_t number = 0;
    JobOutcome outcome = JobOutcome::Open;
    /// Unix time of the end, for the record.
    std::int64_t endedMilliseconds = 0;
    /// When this steward saw the end.
    BootTime endedAt;
    /// The opened occurrences by number.
    std::map<std::uint32_t, Occurrence> occurrences;
    std::uint32_t completedOccurrences = 0;
    /// Number of the first occurrence that isn't open yet.
    std::uint32_t nextOccurrence = 0;
    bool hasStarted = false;
    /// An earlier steward may have started tasks of the job.
    bool mayRunAlready = false;
    /// Number of the last change, and of the last one that is persisted.
    std::uint64_t change = 0;
    std::uint64_t persistedChange = 0;
    JobOutcome persistedOutcome = JobOutcome::Open;
    /// Estimated work on the critical path of the steps that aren't done.
    Duration remainingWork{};
    BootTime submittedAt;
    BootTime deadline;
    /// After this time the result is of no use to the caller.
    BootTime usefulUntil;
    /// The team had used up its rate when the job was submitted.
    bool isSurplus = false;
};

/// A step with waiting tasks: its suspects, or its other tasks.
struct Steward::Candidate
{
    Job *job = nullptr;
    Occurrence *occurrence = nullptr;
    std::uint32_t step = 0;
    bool isOfSuspects = false;

    [[nodiscard]] auto spec() const -> const StepSpec & { return job->spec.steps[step]; }
    [[nodiscard]] auto tasks() const -> std::span<Task> { return occurrence->steps[step]; }
};

/// The suspects that start together on a worker in one placement.
struct Steward::SuspectGroup
{
    std::size_t maxSize = 1;
    /// More suspects wait than there are workers to test them on.
    bool isCrowded = false;
    std::size_t size = 0;
    Worker *worker = nullptr;
    Task *first = nullptr;
};

/// The ready steps of a pool with tasks that wait.
struct Steward::Backlog
{
    WaitingSteps<Candidate> steps;
    /// All steps with suspects that wait, and some that had such suspects.
    std::map<WaitingStepId, Candidate> suspects;
};

/// What the long-running tasks that wait for room in a pool claim in one placement.
struct Steward::RoomClaims
{
    std::set<const Worker *> workers;
    std::map<TeamName, Resources> resources;
};

struct Steward::Worker
{
    /// The end of a run, and the change of a job that has to be persisted before the end may be
    /// acknowledged.
    struct UnpersistedEnd
    {
        std::uint64_t sequence = 0;
        std::string job;
        std::uint64_t change = 0;
    };

    /// A listed run that no task is attached to: it was not needed any more when it was listed.
    struct DetachedRun
    {
        TeamName team;
        Resources reserved;
        Resources resources;
    };

    WorkerReport report;
    bool isRegistered = true;
    /// A list of the hosts or another worker at its address shows that it has ended, but a start
    /// order was sent later than the call that shows it.
    bool isEndSuspected = false;
    /// A list of the hosts has shown it, and the number of lists in a row that didn't although it
    /// was unresponsive.
    bool wasListed = false;
    int listsWithout = 0;
    /// When its registration was last written.
    BootTime reportedAt;
    /// When the registered incarnation became known, and the one before it.
    BootTime firstSeenAt;
    BootTime earlierFirstSeenAt;
    /// This steward has polled the worker successfully, so that the worker knows its token.
    bool isPolled = false;
    /// The last poll may not have returned all ends.
    bool hasUnreadEnds = false;
    /// A poll of this incarnation has returned all ends that there were.
    bool isRead = false;
    Resources used;
    std::vector<Task *> runs;
    /// Runs of the last poll that are being stopped; `used` includes them.
    std::vector<DetachedRun> detachedRuns;
    /// The same for runs of forgotten jobs, whose resources are unknown.
    std::size_t unknownRuns = 0;
    /// These runs have ended by this time unless the lease is renewed.
    BootTime detachedRunsEndAt;
    /// All attached runs of the worker have ended by this time unless the lease is renewed.
    BootTime leaseEndsAt;
    /// The worker's clock as of `clockReadAt`.
    std::int64_t clockMilliseconds = 0;
    BootTime clockReadAt;
    bool hasClock = false;
    /// The latest reading of the clock of this incarnation; answers may overtake each other.
    std::int64_t latestClockMilliseconds = 0;
    std::int64_t startedMilliseconds = 0;
    /// Its clock in the last poll, and when the runs that this poll shows as ended did so at the
    /// earliest.
    std::int64_t polledMilliseconds = 0;
    std::int64_t earliestEndMilliseconds = 0;
    /// How far its clock is ahead of the steward's, at least.
    std::int64_t clockAheadMilliseconds = 0;
    RunPace pace{MaxRunsOfWorkerPace};
    /// A poll is in flight.
    bool isPolling = false;
    /// A suspect waits to learn whether the worker is there.
    bool isProbeDue = false;
    BootTime nextPoll;
    BootTime lastAnswerAt;
    /// When the last poll with an answer was sent.
    BootTime answeredPollSentAt;
    /// When the worker got its first run after being idle.
    BootTime busySince;
    /// The worker gets no new work until then because it refused an order.
    BootTime backoffUntil;
    /// When a call to the worker was last found to have no answer; it may still be carried out.
    BootTime lastUnansweredAt;
    /// Number of polls in a row that failed.
    int failedPolls = 0;
    /// What the calls since the last answer show.
    WorkerContact contact;
    /// Highest sequence number of an end that was applied.
    std::uint64_t lastReceivedEnd = 0;
    /// Highest sequence number of an end that may be acknowledged.
    std::uint64_t lastPersistedEnd = 0;
    /// Highest sequence number that was sent as acknowledged.
    std::uint64_t acknowledged = 0;
    std::deque<UnpersistedEnd> unpersistedEnds;
    bool isDraining = false;
    BootTime drainingSince;
    /// Until then the worker takes long-running tasks only: runs were preempted for one.
    BootTime reservedUntil;
    /// Of the task that it is reserved for.
    Resources reservedResources;
    /// Until then the worker takes a suspect only; see CrashHistory.
    BootTime suspectReservedUntil;

    [[nodiscard]] auto freeResources() const -> Resources { return report.capacity - used; }
    [[nodiscard]] auto hasDetachedRuns() const -> bool
    {
        return !detachedRuns.empty() || unknownRuns > 0;
    }
    /// Whether the registration describes the incarnation that was polled. A worker that restarted
    /// under its name may have another capacity.
    [[nodiscard]] auto isReportCurrent() const -> bool
    {
        return startedMilliseconds == 0 || report.startedMilliseconds == 0
            || startedMilliseconds == report.startedMilliseconds;
    }
};

} // namespace shallotproxy
