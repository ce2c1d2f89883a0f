#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>

#include "quarantine.hpp"
#include "steward_events.hpp"

namespace shallotproxy {

/// What callers are told of a job.
enum class JobState { Unknown, Queued, Running, Completed, Failed, Cancelled };

/// What is told of a job with this outcome; `whileOpen` if it has none yet.
auto stateOf(JobOutcome outcome, JobState whileOpen) -> JobState;

/// What a caller may see of a job, and the team it belongs to.
struct JobView
{
    JobState state = JobState::Unknown;
    TeamName team;
};

/// The record of a job to be written, and the change of the job that it holds.
struct JobRecord
{
    JobProgress progress;
    std::uint64_t change = 0;
};

/// Load of one pool, for the sizes of pools and for admission.
struct PoolLoad
{
    Resources used; // by runs
    Resources wanted; // by tasks whose turn has come
    std::size_t leastWorkers = 0; // that lasting tasks need, as they keep apart
};

/// What runs on one worker, for plans over hosts.
struct WorkerLoad
{
    std::size_t lastingRuns = 0;
    std::size_t otherRuns = 0;
    bool hasUnkeptEnds = false; // ends that only the worker itself still tells
    bool isAsked = false; // its lists have been read by this steward
    bool isDraining = false;
    bool isUsable = false;
};

/// Times and bounds of a steward.
struct StewardSettings
{
    using Milliseconds = std::chrono::milliseconds;

    /// Lease of runs. Above a change of stewards (lease of the key 1.6 s, reading 0.3 s) and a look
    /// that fails twice; short, since what runs on a silent worker waits for its end.
    Milliseconds runLease{5'000};
    Milliseconds longestLease{10'000}; // what workers grant at most; from the platform's settings
    Milliseconds lookWait{900}; // a look waits for an end this long
    Milliseconds guardedLookWait{
        400}; // where tasks on spare cores run; half of their figure's span
    Milliseconds busyLookGap{15}; // between two looks: groups ends that come together ...
    /// ... and the larger the fleet, the longer: bounds the looks a second of a busy steward.
    std::chrono::microseconds lookGapPerWorker{400};
    Milliseconds silence{2'200}; // a worker without an answer for this long gets no new work
    Milliseconds resendInterval{350}; // between two orders of one kind for one run
    Milliseconds quarantine{6'000}; // a worker that fails everything rests this long at first
    Milliseconds unhealthyRest{1'000}; // a worker that refused orders rests this long
    Milliseconds lastingPatience{800}; // lasting tasks then displace others
    Milliseconds vacatePatience{2'500}; // tasks that save progress may end by themselves so long
    Milliseconds vacateLimit{5'500}; // others so long
    Milliseconds settling{1'500}; // stops of the steward before take effect: 0.9 s and a look
    /// What an earlier steward may have left on workers that can't be asked has ended after this.
    Milliseconds recovery{14'000};
};

/// Decides which task runs where, for all pools. One life of it belongs to one fencing token.
///
/// Load: queues that ask for five times their mean in turn, workers that fall silent, orders that
/// are carried out seconds late, stewards that overlap.
class Steward
{
public:
    using Actions = std::vector<StewardAction>;

    Steward(std::uint64_t token, StewardSettings settings, BootTime now);
    ~Steward();
    Steward(const Steward &) = delete;
    auto operator=(const Steward &) -> Steward & = delete;

    auto step(const StewardEvent &event, BootTime now) -> Actions;

    /// Whether PlacementDue has something to do.
    [[nodiscard]] auto isPlacementDue() const -> bool { return !m_dirtyPools.empty(); }
    [[nodiscard]] auto token() const -> std::uint64_t { return m_token; }
    [[nodiscard]] auto view(const std::string &job) const -> JobView;
    /// Accepted jobs of the queue of which no task has started; scheduled ones are left out.
    [[nodiscard]] auto pendingJobs(const QueueName &queue) const -> std::size_t;
    [[nodiscard]] auto record(const std::string &job) const -> std::optional<JobRecord>;
    [[nodiscard]] auto poolLoads() const -> std::map<PoolName, PoolLoad>;
    /// No value if the worker isn't known.
    [[nodiscard]] auto workerLoad(const WorkerName &name) const -> std::optional<WorkerLoad>;
    [[nodiscard]] auto isRecovering() const -> bool { return m_isRecovering; }
    /// Forgets jobs that ended before this Unix time, and returns their names.
    auto evictEnded(std::int64_t wallMilliseconds, std::size_t most) -> std::vector<std::string>;
    /// The workers of all hosts that are up; recovery waits until each of them has been asked.
    auto expectWorkers(std::set<WorkerName> workers) -> void;

private:
    struct Job;
    struct Occurrence;
    struct Task;
    struct Worker;
    struct Candidate;

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

    // Jobs: steward_jobs.cpp
    auto openOccurrence(Job &job, std::uint32_t number) -> Occurrence &;
    auto restore(Job &job, const JobProgress &progress) -> void;
    auto openDueOccurrences(Job &job) -> void;
    auto finishTask(Task &task) -> void;
    auto failTask(Task &task, std::uint64_t run) -> void;
    auto endJob(Job &job, JobOutcome outcome) -> void;
    auto markChanged(Job &job, bool isUrgent) -> void;
    auto findTask(const JobTaskId &id) -> Task *;
    [[nodiscard]] auto rulesOf(const Job &job) const -> const QueueRules *;
    [[nodiscard]] auto poolOf(const Job &job) const -> const PoolName &;
    [[nodiscard]] auto isReady(const Job &job, const Occurrence &occurrence,
                               std::uint32_t step) const -> bool;

    // Runs and workers: steward_workers.cpp
    auto attach(Task &task, Worker &worker) -> void;
    auto detach(Task &task) -> void;
    auto release(Task &task) -> void;
    auto releaseAll(Worker &worker) -> void;
    auto beginAgain(Worker &worker) -> void;
    auto applyActive(Worker &worker, const steward_event::WorkerPolled &look) -> void;
    auto guardLatency(Worker &worker) -> void;
    auto adopt(Worker &worker, const ActiveRun &run) -> void;
    auto applyEnd(Worker &worker, const EndedRun &end) -> void;
    auto takeEnd(Task &task, Worker &worker, const EndedRun &end, bool isHere) -> void;
    auto applyMissing(Worker &worker, const steward_event::WorkerPolled &look) -> void;
    auto stopTask(Task &task) -> void;
    auto orderStop(Task &task) -> void;
    auto orderStart(Task &task) -> void;
    auto lookIfDue(Worker &worker) -> void;
    auto renewLease(Worker &worker) -> std::int64_t;
    auto tickWorker(Worker &worker) -> void;
    auto drain(Worker &worker) -> void;
    auto acknowledgeable(Worker &worker) -> std::uint64_t;
    auto endRecoveryIfDone() -> void;
    [[nodiscard]] auto isUsable(const Worker &worker) const -> bool;
    [[nodiscard]] auto mayEndLasting(const Task &task) const -> bool;
    [[nodiscard]] auto isAtWork(const Task &task) const -> bool;
    auto findWorker(const WorkerName &name) -> Worker *;

    // Placement: steward_placing.cpp
    auto placeDirtyPools() -> void;
    auto place(const PoolName &pool) -> void;
    auto placeStep(const PoolName &pool, const Candidate &candidate) -> bool;
    auto chooseWorker(const PoolName &pool, const Task &task) -> Worker *;
    auto makeRoom(const PoolName &pool, const Task &task) -> void;
    auto startTask(Task &task, Worker &worker) -> void;
    [[nodiscard]] auto fits(const Worker &worker, const Task &task) const -> bool;
    [[nodiscard]] auto mayRunOn(const Worker &worker, const Task &task) const -> bool;
    [[nodiscard]] auto isBelowLimit(const Job &job, const Resources &resources) const -> bool;
    [[nodiscard]] auto mayPlace(const Task &task) const -> bool;
    [[nodiscard]] auto teamShare(const TeamName &team) const -> double;
    [[nodiscard]] auto meanTeamShare() const -> double;
    auto markDirty(const PoolName &pool) -> void { m_dirtyPools.insert(pool); }

    std::uint64_t m_token;
    StewardSettings m_settings;
    BootTime m_now;
    std::int64_t m_wallMilliseconds = 0;
    Actions m_actions;
    std::shared_ptr<const SchedulingRules> m_rules;
    std::set<DataCentreName> m_closed;
    std::unordered_map<std::string, std::unique_ptr<Job>> m_jobs;
    std::map<PoolName, std::vector<Job *>> m_openJobs;
    std::map<WorkerName, std::unique_ptr<Worker>> m_workers;
    std::map<PoolName, std::vector<Worker *>> m_poolWorkers;
    std::map<TeamName, Resources> m_running;
    std::set<PoolName> m_dirtyPools;
    std::set<WorkerName> m_expected;
    Quarantine m_quarantine;
    std::uint64_t m_changes = 0;
    BootTime m_begunAt;
    BootTime m_recoversUntil;
    bool m_isRecovering = true;
    bool m_hasHostList = false;
};

} // namespace shallotproxy
