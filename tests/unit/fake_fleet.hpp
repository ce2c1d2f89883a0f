#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "shallotproxy/job.hpp"

namespace shallotproxy::test {

using namespace std::chrono_literals;

inline constexpr auto TestPool = "nordlys";

auto oneStepJob(const std::string &id, StepSpec step) -> JobSpec;
auto shortStep(std::uint32_t tasks) -> StepSpec;
auto longRunningStep(std::uint32_t tasks) -> StepSpec;
auto workerName(int number) -> WorkerName;
auto workerReport(int number) -> WorkerReport;
auto testRules(std::uint32_t attempts) -> std::shared_ptr<const SchedulingRules>;

/// How one order is delivered. A `Delayed` start order is carried out late and isn't answered; a
/// delayed stop order is lost.
enum class Delivery : std::uint8_t { Delivered, ReplyLost, Delayed, NotSent };

/// Simulates workers and a store in simulated time, with the faults that a test requests. Any
/// number of stewards may act on them at the same time.
class FakeFleet
{
public:
    static constexpr auto Step = 50ms;
    /// After this time a delayed order is carried out.
    static constexpr auto OrderDelay = 4s;
    /// Time until stewards learn that a worker has ended.
    static constexpr auto EndReportDelay = 500ms;
    /// Time until stewards read a registration.
    static constexpr auto RegistrationDelay = 100ms;
    /// Time until another worker takes the place of one that ended.
    static constexpr auto Downtime = 3s;

    explicit FakeFleet(int workers, std::uint32_t attempts = 3);

    auto addJob(const JobSpec &job) -> void;
    /// Adds a steward with a higher token that loads the persisted records. Returns its number.
    auto addSteward() -> std::size_t;
    auto killSteward(std::size_t number) -> void { m_stewards.at(number).isAlive = false; }
    [[nodiscard]] auto steward(std::size_t number) -> Steward &
    {
        return *m_stewards[number].steward;
    }
    auto run(Duration time) -> void;
    auto send(std::size_t steward, const StewardEvent &event) -> void;

    /// How the next orders are delivered. Later ones are delivered normally.
    std::deque<Delivery> deliveries;
    /// The same for polls.
    std::deque<Delivery> pollDeliveries;
    bool isStoreUp = true;
    /// Whether workers that end leave calls unanswered. Otherwise their addresses refuse them.
    bool areEndsSilent = false;
    /// Added to the time until a steward reads the answer to a start order.
    Duration startAnswerDelay{};
    /// Unix time that all stewards read.
    std::int64_t wallMilliseconds = 1'000'000;
    /// Whether workers refuse runs that exceed their capacity. Otherwise such a start is a
    /// violation.
    bool isCapacityGuarded = true;
    /// Whether an order that was sent to one incarnation of a worker may be carried out by the
    /// next.
    bool doOrdersOutliveIncarnations = true;
    /// Whether a worker that holds a lease carries out a start whose own lease has expired.
    bool doLeasesCoverLateStarts = false;
    /// Whether a task may start again after an end that was acknowledged only after the worker's
    /// lease had expired.
    bool areEndsBeforeExpiryExcused = false;
    /// The limit of the team of all jobs; set before the first steward is added.
    Resources teamLimit;
    /// Duration of the runs of tasks that aren't long-running.
    Duration runTime = 400ms;
    /// How many times as long runs take on a worker that is slow.
    std::map<WorkerName, int> slowness;
    std::function<bool(const JobTaskId &)> fails = [](const auto &) { return false; };
    auto makeUnresponsive(int worker, Duration time) -> void;
    /// Leaves all orders to the worker unanswered. It answers polls. Starts are carried out after
    /// the delay, if any; stops are lost.
    auto loseOrders(int worker, Duration time, Duration startDelay = {}) -> void;
    auto crash(int worker) -> void;
    /// Restarts the worker under the same name and without any state, also if it is down. Stewards
    /// read its new registration after the delay.
    auto restartWorker(int worker, Duration registrationDelay = RegistrationDelay) -> void;
    /// Cuts the worker off for this time, and restarts it behind the cut. Connections to it can't
    /// be opened, and orders to it are lost.
    auto restartBehindCut(int worker, Duration time) -> void;
    /// The same for each worker that has a run of the job.
    auto restartBehindCutOf(const std::string &job, Duration time) -> void;
    /// Removes the registration of a worker, or writes it again as it was.
    auto setRegistered(int worker, bool isRegistered) -> void;
    /// Lists the workers that are up now. The list reaches the stewards after the delay.
    auto listWorkers(Duration delay) -> void;
    /// Ends the workers at once. Stewards learn of it a while later, and another worker takes the
    /// place of each one a few seconds later.
    auto endWorkers(const std::vector<int> &workers) -> void;
    /// Ends all workers that have a run of the job.
    auto endWorkersOf(const std::string &job) -> void;
    /// Requires that no steward has been added yet.
    auto setDataCentre(int worker, const std::string &dataCentre) -> void;
    /// The same for a worker of another pool, or with a label.
    auto setPool(int worker, const std::string &pool) -> void;
    auto setLabel(int worker, const std::string &label) -> void;
    /// Whether a run of the task ends its worker, and how long after its start.
    std::function<bool(const JobTaskId &)> crashesWorker = [](const auto &) { return false; };
    Duration crashDelay = 0ms;
    /// Whether a run that ends its worker takes its host down, which is silent for CutTime and
    /// isn't listed as down.
    bool doCrashesTakeHostsDown = false;
    /// Whether the worker is cut off while a start order of the task is on its way there, so that
    /// the order is lost, and restarts behind the cut.
    std::function<bool(const JobTaskId &)> isCutOffWithOrder = [](const auto &) { return false; };
    static constexpr auto CutTime = 4s;
    /// Number of crashes of workers that the persisted record of the job holds against its tasks.
    [[nodiscard]] auto recordedCrashes(const std::string &job) const -> std::size_t;
    /// Workers that the task has ended.
    [[nodiscard]] auto crashes(const JobTaskId &task) const -> std::uint32_t;

    /// Descriptions of the violated guarantees; empty if there are none.
    std::vector<std::string> violations;
    std::uint64_t starts = 0;
    [[nodiscard]] auto outcome(const std::string &job) const -> JobOutcome;
    [[nodiscard]] auto activeRuns(const std::string &job) const -> std::size_t;
    [[nodiscard]] auto now() const -> BootTime { return m_now; }
    [[nodiscard]] auto isUp(int worker) const -> bool
    {
        return m_workers[static_cast<std::size_t>(worker)].isUp;
    }

private:
    struct Run
    {
        JobTaskId task;
        std::uint64_t number = 0;
        BootTime endsAt;
        BootTime stopsAt = BootTime::max();
        BootTime startedAt;
        bool isLongRunning = false;
        bool willFail = false;
    };

    struct FakeWorker
    {
        WorkerReport report;
        bool isUp = true;
        /// The worker has ended and its address refuses connections.
        bool isRefusing = false;
        BootTime unresponsiveUntil;
        BootTime losesOrdersUntil;
        BootTime cutOffUntil;
        Duration lateStartDelay{};
        std::int64_t incarnation = 1;
        /// The worker's clock starts anew with each incarnation.
        BootTime bornAt;
        std::uint64_t token = 0;
        BootTime leaseEndsAt;
        Resources used;
        std::vector<Run> active;
        std::vector<EndedRun> ended;
        std::uint64_t lastEnd = 0;
        /// The last end before the worker's lease expired.
        std::uint64_t lastEndBeforeExpiry = 0;
        std::map<JobTaskId, std::uint64_t> highestEnded;
    };

    struct StewardInstance
    {
        std::unique_ptr<Steward> steward;
        ProgressWriter writer;
        bool isAlive = true;
    };

    auto perform(std::size_t steward, const StewardAction &action) -> void;
    auto perform(std::size_t steward, const steward_action::StartRun &order) -> void;
    auto perform(std::size_t steward, const steward_action::StopRun &order) -> void;
    auto perform(std::size_t steward, const steward_action::PollWorker &order) -> void;
    auto perform(std::size_t, const steward_action::SetRunSpeed &) -> void { }
    auto perform(std::size_t steward, const steward_action::PersistProgress &action) -> void;
    auto perform(std::size_t, const steward_action::ReportLostRuns &) -> void { }
    auto perform(std::size_t, const steward_action::ReportWorkerEnd &) -> void { }
    auto perform(std::size_t, const steward_action::ReportCrashingTask &) -> void { }
    auto perform(std::size_t, const steward_action::ReportWaitingTask &) -> void { }
    auto perform(std::size_t, const steward_action::ReportCrash &) -> void { }
    auto perform(std::size_t, const steward_action::ReportMoreWaitingTasks &) -> void { }
    auto perform(std::size_t steward, const steward_action::StepDown &) -> void;
    auto applyStart(FakeWorker &worker, std::uint64_t token, const steward_action::StartRun &order)
        -> OrderOutcome;
    auto applyStop(FakeWorker &worker, std::uint64_t token, const steward_action::StopRun &order)
        -> OrderOutcome;
    auto checkStart(const steward_action::StartRun &order) -> void;
    auto endRun(FakeWorker &worker, std::size_t index, RunEnd end) -> void;
    auto tickWorker(FakeWorker &worker) -> void;
    auto write(std::size_t steward) -> void;
    auto schedule(Duration delay, std::function<void()> action) -> void;
    [[nodiscard]] auto workersOf(const std::string &job) const -> std::vector<int>;
    static auto nextDelivery(std::deque<Delivery> &deliveries) -> Delivery;
    auto answerPoll(FakeWorker &worker, const steward_action::PollWorker &order)
        -> steward_event::WorkerPolled;
    auto extendLease(FakeWorker &worker, std::int64_t endMilliseconds) const -> void;
    [[nodiscard]] auto clockOf(const FakeWorker &worker) const -> std::int64_t;
    [[nodiscard]] auto isResponsive(const FakeWorker &worker) const -> bool;
    [[nodiscard]] auto losesOrders(const FakeWorker &worker) const -> bool;
    [[nodiscard]] auto isCutOff(const FakeWorker &worker) const -> bool
    {
        return m_now < worker.cutOffUntil;
    }
    /// Returns a worker that is down if none has this name any more.
    auto find(const WorkerName &name) -> FakeWorker &;
    auto reportEnds(const std::vector<WorkerName> &ended) -> void;
    auto replaceWorker(const WorkerName &ended) -> void;
    [[nodiscard]] auto workersUp() const -> std::set<WorkerName>;
    auto countCrash(const FakeWorker &worker, const JobTaskId &task, std::uint64_t run) -> bool;

    struct PersistedRecord
    {
        JobProgress progress;
        std::uint64_t revision = 0;
    };

    BootTime m_now{1h};
    std::uint32_t m_attempts;
    std::vector<FakeWorker> m_workers;
    std::vector<StewardInstance> m_stewards;
    std::multimap<BootTime, std::function<void()>> m_scheduled;
    std::map<std::string, JobSpec> m_jobs;
    std::map<std::string, PersistedRecord> m_persisted;
    /// Tasks whose completion was acknowledged to the worker.
    std::map<JobTaskId, bool> m_completed;
    /// Number of failed runs that were acknowledged to the workers.
    std::map<JobTaskId, std::uint32_t> m_failures;
    /// Number of workers that the task has ended, and of its starts after the third one.
    std::map<JobTaskId, std::uint32_t> m_crashes;
    std::map<JobTaskId, std::uint32_t> m_startsAfterCrashes;
    FakeWorker m_endedWorker;
    std::uint64_t m_revision = 100;
};

} // namespace shallotproxy::test
