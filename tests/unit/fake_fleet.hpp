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

/// What happens to one order on its way.
enum class Delivery : std::uint8_t { Delivered, ReplyLost, Delayed, NotSent };

/// Workers and a store as stewards see them, with the faults that a test asks for, in its own time.
/// Any number of stewards may act on them at once.
class JobWorld
{
public:
    static constexpr auto Step = 50ms;
    static constexpr auto MaxOrderDelay = 4s; // of an order that is carried out late

    explicit JobWorld(int workers, std::uint32_t attempts = 3);

    auto addJob(const JobSpec &job) -> void;
    /// A further steward, with a higher token, that reads what is kept now. Returns its number.
    auto addSteward() -> std::size_t;
    auto killSteward(std::size_t number) -> void { m_stewards.at(number).isAlive = false; }
    [[nodiscard]] auto steward(std::size_t number) -> Steward &
    {
        return *m_stewards[number].steward;
    }
    auto run(Duration time) -> void;
    auto send(std::size_t steward, const StewardEvent &event) -> void;

    /// The fate of each next order; afterwards all arrive.
    std::deque<Delivery> deliveries;
    bool isStoreUp = true;
    Duration runTime = 400ms; // of a task that ends by itself
    std::function<bool(const JobTaskId &)> fails = [](const auto &) { return false; };
    auto makeUnresponsive(int worker, Duration time) -> void;
    auto crash(int worker) -> void;
    /// The worker begins again under its name, and knows nothing of before.
    auto restartWorker(int worker) -> void;

    /// What went wrong, in words; empty if nothing did.
    std::vector<std::string> violations;
    std::uint64_t starts = 0;
    [[nodiscard]] auto outcome(const std::string &job) const -> JobOutcome;
    [[nodiscard]] auto activeRuns(const std::string &job) const -> std::size_t;
    [[nodiscard]] auto now() const -> BootTime { return m_now; }

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
        BootTime unresponsiveUntil;
        std::int64_t incarnation = 1;
        std::uint64_t token = 0;
        BootTime leaseEnds;
        Resources used;
        std::vector<Run> active;
        std::vector<EndedRun> ended;
        std::uint64_t lastEnd = 0;
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
    auto nextDelivery() -> Delivery;
    [[nodiscard]] auto clockOf(const FakeWorker &worker) const -> std::int64_t;
    [[nodiscard]] auto isResponsive(const FakeWorker &worker) const -> bool;
    auto find(const WorkerName &name) -> FakeWorker &;

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
    std::map<JobTaskId, bool> m_completed; // done, and acknowledged to the worker
    std::map<JobTaskId, std::uint32_t> m_failures; // acknowledged ones
    std::uint64_t m_revision = 100;
};

} // namespace shallotproxy::test
