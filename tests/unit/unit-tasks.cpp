#include <algorithm>
#include <deque>
#include <map>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "shallotproxy/request.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t GiB = std::uint64_t{1} << 30U;
constexpr auto TickStep = 500ms;
constexpr auto WorkTime = 40s; // Longer than a lease, so that a lost renewal has an effect.
constexpr auto LastingFaultSteps = 30; // Steps per unit of Fault::number of a lasting fault.

auto hostName(int number) -> HostName
{
    return HostName("worker-" + std::to_string(number));
}

/// Model of the store: task records with compare-and-swap.
class Records
{
public:
    auto put(TaskRecord record) -> void
    {
        auto id = record.id;
        m_tasks[std::move(id)] = {std::move(record), ++m_revision};
    }

    auto write(const WriteTasks &order) -> std::optional<StoreRevision>
    {
        for (const auto &it : order.writes) {
            const auto stored = m_tasks.find(it.record.id);
            if (stored == m_tasks.end() || stored->second.revision != it.revision)
                return std::nullopt;
        }
        ++m_revision;
        for (const auto &it : order.writes) {
            if (isEnded(it.record.state)) {
                ended[it.record.id] = it.record;
                m_tasks.erase(it.record.id);
            } else {
                m_tasks[it.record.id] = {it.record, m_revision};
            }
        }
        return m_revision;
    }

    [[nodiscard]] auto all() const -> std::vector<TaskVersion>
    {
        auto versions = std::vector<TaskVersion>();
        for (const auto &[id, version] : m_tasks)
            versions.push_back(version);
        return versions;
    }

    std::map<TaskId, TaskRecord> ended;

private:
    std::map<TaskId, TaskVersion> m_tasks;
    StoreRevision m_revision = 0;
};

/// Model of workers that keep each task's newest epoch and stop runs whose lease has expired.
class Workers
{
public:
    auto start(const StartRun &order, BootTime now) -> RunReport
    {
        auto &run = m_runs[{order.host, order.record.id}];
        if (order.epoch > run.epoch) {
            maxConcurrentRuns = std::max(maxConcurrentRuns, countAlive(order.record.id, now) + 1);
            run = {order.epoch, RunState::Running, now + RunLease, now + WorkTime};
            ++starts;
        }
        return report(order.host, {order.record.id, order.epoch}, now);
    }

    auto order(const OrderRun &order, BootTime now) -> RunReport
    {
        auto &run = m_runs[{order.host, order.run.task}];
        if (order.run.epoch > run.epoch)
            run = {order.run.epoch, RunState::Stopped, now, now};
        report(order.host, order.run, now);
        if (order.run.epoch == run.epoch && run.state == RunState::Running
            && order.order != RunOrder::Throttle) {
            run.state = order.order == RunOrder::Stop ? RunState::Stopped : RunState::Checkpointed;
        }
        return report(order.host, order.run, now);
    }

    auto renew(const RenewRuns &order, BootTime now) -> std::vector<RunReport>
    {
        auto reports = std::vector<RunReport>();
        for (const auto &it : order.runs) {
            reports.push_back(report(order.host, it, now));
            if (reports.back().state == RunState::Running)
                m_runs[{order.host, it.task}].leaseEnd = now + RunLease;
        }
        return reports;
    }

    int starts = 0;
    int maxConcurrentRuns = 0;

private:
    struct Run
    {
        TaskEpoch epoch = 0;
        RunState state = RunState::Unknown;
        BootTime leaseEnd;
        BootTime workEnd;
    };

    auto report(const HostName &host, const RunId &id, BootTime now) -> RunReport
    {
        auto &run = m_runs[{host, id.task}];
        if (run.epoch != id.epoch)
            return {id, RunState::Unknown, 0, 0, 0};
        if (run.state == RunState::Running && now >= std::min(run.workEnd, run.leaseEnd))
            run.state = run.workEnd <= run.leaseEnd ? RunState::Done : RunState::LeaseExpired;
        return {id, run.state, 0.5, 1, 1};
    }

    auto countAlive(const TaskId &task, BootTime now) -> int
    {
        auto n = 0;
        for (auto &[key, run] : m_runs) {
            if (key.second == task && run.epoch != 0
                && report(key.first, {task, run.epoch}, now).state == RunState::Running) {
                ++n;
            }
        }
        return n;
    }

    std::map<std::pair<HostName, TaskId>, Run> m_runs;
};

/// What happens in one step of a schedule.
struct Fault
{
    enum class Kind {
        None,
        StewardDies, // A new steward takes over.
        StewardPauses, // Its writes and orders are delayed, while another steward takes over.
        StewardResumes,
        WriteAnswerLost,
        OrderAnswersLost,
        OrdersLost,
        StoreDown,
        HostOut,
        HostIn,
        Cancel,
    };

    Kind kind = Kind::None;
    int number = 0;
};

auto showValue(const Fault &fault, std::ostream &stream) -> void
{
    stream << static_cast<int>(fault.kind) << '/' << fault.number;
}

auto faultGen() -> rc::Gen<Fault>
{
    return rc::gen::map(rc::gen::pair(rc::gen::weightedElement<int>({{8, 0},
                                                                     {1, 1},
                                                                     {1, 2},
                                                                     {2, 3},
                                                                     {2, 4},
                                                                     {2, 5},
                                                                     {1, 6},
                                                                     {1, 7},
                                                                     {1, 8},
                                                                     {2, 9},
                                                                     {1, 10}}),
                                      rc::gen::inRange(0, 3)),
                        [](const std::pair<int, int> &it) {
                            return Fault{static_cast<Fault::Kind>(it.first), it.second};
                        });
}

/// One pool with up to two schedulers, of which each assumes that its member is the pool's steward.
class SchedulerWorld
{
public:
    SchedulerWorld()
    {
        for (auto i = 0; i < 3; ++i)
            m_workers.push_back({hostName(i), DataCentreName("north"), {8, 8 * GiB, 0}, true});
        for (auto i = 0; i < 4; ++i) {
            auto record = TaskRecord();
            record.id = TaskId("main." + std::to_string(i));
            record.pool = PoolName("main");
            record.team = TeamName("red");
            record.declared = {4, GiB, 0};
            records.put(std::move(record));
        }
        startNewSteward();
    }

    auto run(const Fault &fault) -> void
    {
        m_fault = fault.kind;
        inject(fault);
        const auto lastsManySteps = fault.kind == Fault::Kind::OrderAnswersLost
            || fault.kind == Fault::Kind::OrdersLost || fault.kind == Fault::Kind::StoreDown
            || fault.kind == Fault::Kind::None;
        const auto steps = lastsManySteps ? 1 + fault.number * LastingFaultSteps : 1;
        for (auto i = 0; i < steps; ++i)
            advance();
    }

    Records records;
    Workers workers;
    int startsOutOfService = 0;

private:
    auto advance() -> void
    {
        m_now += TickStep;
        if (m_fault != Fault::Kind::StoreDown)
            step(*m_active, TasksRead{records.all(), m_now});
        step(*m_active, SchedulerTick());
    }

    auto startNewSteward() -> void
    {
        m_active = std::make_unique<TaskScheduler>(m_now);
        m_active->step(WorkersChanged{m_workers}, m_now);
    }

    auto inject(const Fault &fault) -> void
    {
        auto &worker = m_workers[static_cast<std::size_t>(fault.number)];
        switch (fault.kind) {
        case Fault::Kind::StewardDies:
            startNewSteward();
            break;
        case Fault::Kind::StewardPauses:
            // It computes one more step, whose actions are only performed when it resumes.
            m_delayedActions = m_active->step(SchedulerTick(), m_now);
            m_paused = std::move(m_active);
            startNewSteward();
            break;
        case Fault::Kind::StewardResumes:
            resume();
            break;
        case Fault::Kind::HostOut:
        case Fault::Kind::HostIn:
            worker.acceptsWork = fault.kind == Fault::Kind::HostIn;
            m_active->step(WorkersChanged{m_workers}, m_now);
            break;
        case Fault::Kind::Cancel:
            cancel(fault.number);
            break;
        default:
            break;
        }
    }

    auto resume() -> void
    {
        if (!m_paused)
            return;
        for (const auto &it : m_delayedActions)
            perform(*m_paused, it);
        m_delayedActions.clear();
        m_paused.reset();
    }

    auto cancel(int number) -> void
    {
        for (const auto &it : records.all()) {
            if (it.record.id != TaskId("main." + std::to_string(number)))
                continue;
            auto record = it.record;
            if (record.state == TaskState::Placed) {
                record.epoch = it.runEpoch();
                record.state = TaskState::Cancelling;
            } else if (record.state == TaskState::Waiting) {
                record.state = TaskState::Cancelled;
            }
            records.write({{{record, it.revision}}});
        }
    }

    auto step(TaskScheduler &scheduler, const SchedulerEvent &event) -> void
    {
        for (const auto &it : scheduler.step(event, m_now))
            perform(scheduler, it);
    }

    auto perform(TaskScheduler &scheduler, const SchedulerAction &action) -> void
    {
        if (const auto *it = std::get_if<WriteTasks>(&action))
            write(scheduler, *it);
        if (const auto *it = std::get_if<StartRun>(&action)) {
            if (m_fault == Fault::Kind::OrdersLost)
                return;
            report(scheduler, it->host, {workers.start(*it, m_now)});
        }
        if (const auto *it = std::get_if<OrderRun>(&action)) {
            if (m_fault == Fault::Kind::OrdersLost)
                return;
            report(scheduler, it->host, {workers.order(*it, m_now)});
        }
        if (const auto *it = std::get_if<RenewRuns>(&action)) {
            if (m_fault == Fault::Kind::OrdersLost)
                return;
            report(scheduler, it->host, workers.renew(*it, m_now));
        }
    }

    auto write(TaskScheduler &scheduler, const WriteTasks &order) -> void
    {
        auto answer = TasksWritten();
        for (const auto &it : order.writes)
            answer.tasks.push_back(it.record.id);
        if (m_fault != Fault::Kind::StoreDown)
            answer.revision = records.write(order);
        if (m_fault == Fault::Kind::WriteAnswerLost)
            answer.revision.reset();
        step(scheduler, answer);
    }

    auto report(TaskScheduler &scheduler, const HostName &host, std::vector<RunReport> runs) -> void
    {
        if (m_fault != Fault::Kind::OrderAnswersLost)
            step(scheduler, WorkerReported{host, std::move(runs)});
    }

    BootTime m_now = BootTime(1h);
    Fault::Kind m_fault = Fault::Kind::None;
    std::vector<WorkerCapacity> m_workers;
    std::unique_ptr<TaskScheduler> m_active;
    std::unique_ptr<TaskScheduler> m_paused;
    std::vector<SchedulerAction> m_delayedActions;
};

RC_GTEST_PROP(Tasks, NeverRunTwiceAtTheSameTime, ())
{
    const auto faults = *rc::gen::container<std::vector<Fault>>(faultGen());
    auto world = SchedulerWorld();
    for (const auto &it : faults) {
        world.run(it);
        RC_ASSERT(world.workers.maxConcurrentRuns <= 1);
    }
}

RC_GTEST_PROP(Tasks, AllEndAfterTheFaultsStop, ())
{
    const auto faults = *rc::gen::container<std::vector<Fault>>(faultGen());
    auto world = SchedulerWorld();
    for (const auto &it : faults)
        world.run(it);
    for (auto i = 0; i < 3; ++i)
        world.run({Fault::Kind::HostIn, i});
    // Long enough for every lease to expire and every task to run again.
    for (auto i = 0; i < 800; ++i)
        world.run({});
    RC_ASSERT(world.records.all().empty());
    RC_ASSERT(world.records.ended.size() == 4U);
    RC_ASSERT(world.workers.maxConcurrentRuns <= 1);
}

RC_GTEST_PROP(Tasks, StartOnlyOnceWhenNothingFails, ())
{
    const auto steps = *rc::gen::inRange(180, 200);
    auto world = SchedulerWorld();
    for (auto i = 0; i < steps; ++i)
        world.run({});
    RC_ASSERT(world.workers.starts == 4);
    RC_ASSERT(world.records.ended.size() == 4U);
}

TEST(Tasks, RoundTripTheirSerializedRecord)
{
    auto record = TaskRecord();
    record.id = TaskId("main.1");
    record.team = TeamName("red");
    record.progress = 0.5;
    const auto read = unpackTask(packTask(record));
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->id, record.id);
    EXPECT_EQ(read->progress, record.progress);
    EXPECT_FALSE(unpackTask("no record").has_value());
}

TEST(Tasks, AreNotStartedOnAHostOutOfService)
{
    const auto now = BootTime(1h);
    auto scheduler = TaskScheduler(now);
    scheduler.step(WorkersChanged{{{hostName(0), DataCentreName("north"), {8, GiB, 0}, false}}},
                   now);
    auto record = TaskRecord();
    record.id = TaskId("main.1");
    record.declared = {1, 1, 0};
    record.state = TaskState::Placed;
    record.host = hostName(0);
    scheduler.step(TasksRead{{{record, 7}}, now}, now);
    const auto later = now + 5s;
    const auto report = WorkerReported{hostName(0), {{{record.id, 7}, RunState::Unknown, 0, 0, 0}}};
    for (const auto &it : scheduler.step(report, later))
        EXPECT_FALSE(std::holds_alternative<StartRun>(it));
    // The worker gets a checkpoint order instead. It records the epoch, which fences a late start.
    auto isOrdered = false;
    for (const auto &it : scheduler.step(SchedulerTick(), later))
        isOrdered = isOrdered || std::holds_alternative<OrderRun>(it);
    EXPECT_TRUE(isOrdered);
}

/// One scheduler and workers that a task restarts each time it starts there.
class CrashingTaskWorld
{
public:
    CrashingTaskWorld()
    {
        auto capacities = std::vector<WorkerCapacity>();
        for (auto i = 0; i < 4; ++i)
            capacities.push_back({hostName(i), DataCentreName("north"), {8, 8 * GiB, 0}, true});
        for (auto i = 0; i < 6; ++i) {
            auto record = TaskRecord();
            record.id = TaskId("main." + std::to_string(i));
            record.pool = PoolName("main");
            record.team = TeamName("red");
            record.declared = {2, GiB, 0};
            records.put(std::move(record));
        }
        m_capacities = capacities;
        startNewSteward();
    }

    auto startNewSteward() -> void
    {
        m_scheduler = std::make_unique<TaskScheduler>(m_now);
        m_scheduler->step(WorkersChanged{m_capacities}, m_now);
    }

    auto run(Duration time) -> void
    {
        for (const auto end = m_now + time; m_now < end; m_now += TickStep) {
            for (auto &[host, task] : std::exchange(m_crashes, {}))
                workers[host] = Workers();
            step(TasksRead{records.all(), m_now});
            step(SchedulerTick());
        }
    }

    Records records;
    std::map<HostName, Workers> workers;
    TaskId crashingTask = TaskId("main.0");
    int crashes = 0;

private:
    auto step(const SchedulerEvent &event) -> void
    {
        for (const auto &it : m_scheduler->step(event, m_now))
            std::visit([this](const auto &action) { perform(action); }, it);
    }

    auto perform(const WriteTasks &order) -> void
    {
        auto answer = TasksWritten();
        for (const auto &it : order.writes)
            answer.tasks.push_back(it.record.id);
        answer.revision = records.write(order);
        step(answer);
    }

    auto perform(const StartRun &order) -> void
    {
        auto run = workers[order.host].start(order, m_now);
        if (order.record.id == crashingTask) {
            // The worker restarts before it answers.
            m_crashes.emplace(order.host, crashingTask);
            ++crashes;
        } else {
            step(WorkerReported{order.host, {run}});
        }
    }

    auto perform(const OrderRun &order) -> void
    {
        step(WorkerReported{order.host, {workers[order.host].order(order, m_now)}});
    }

    auto perform(const RenewRuns &order) -> void
    {
        if (!m_crashes.contains(order.host))
            step(WorkerReported{order.host, workers[order.host].renew(order, m_now)});
    }

    auto perform(const ReadTasks &) -> void { }

    BootTime m_now = BootTime(1h);
    std::vector<WorkerCapacity> m_capacities;
    std::unique_ptr<TaskScheduler> m_scheduler;
    std::map<HostName, TaskId> m_crashes;
};

// A task crashed worker after worker; the tasks beside it have to end as usual.
TEST(Tasks, AreGivenUpIfTheyCrashTheirWorkers)
{
    auto world = CrashingTaskWorld();
    world.run(600s);
    EXPECT_TRUE(world.records.all().empty());
    ASSERT_EQ(world.records.ended.size(), 6U);
    for (const auto &[id, record] : world.records.ended)
        EXPECT_EQ(record.state, id == world.crashingTask ? TaskState::Failed : TaskState::Done);
    EXPECT_LE(world.crashes, 5);
}

// The crashes that are held against a task outlive the steward.
TEST(Tasks, AreGivenUpAcrossStewardsIfTheyCrashTheirWorkers)
{
    auto world = CrashingTaskWorld();
    auto seen = 0;
    for (auto i = 0; i < 600; ++i) {
        world.run(1s);
        if (world.crashes == seen || i % 10 != 0)
            continue;
        seen = world.crashes;
        world.startNewSteward();
    }
    ASSERT_EQ(world.records.ended.size(), 6U);
    EXPECT_EQ(world.records.ended.at(world.crashingTask).state, TaskState::Failed);
    EXPECT_LE(world.crashes, 5);
}

/// Returns the records that one tick places on two workers: of two tasks, the first a suspect.
auto placeBesideSuspect(const std::map<TeamName, std::uint32_t> &units) -> std::vector<TaskRecord>
{
    const auto now = BootTime(1h);
    auto scheduler = TaskScheduler(now);
    auto workers = std::vector<WorkerCapacity>();
    for (auto i = 0; i < 2; ++i)
        workers.push_back({hostName(i), DataCentreName("north"), {8, 8 * GiB, 0}, true});
    scheduler.step(WorkersChanged{workers}, now);
    for (auto i = 0; i < 2; ++i)
        scheduler.step(WorkerReported{hostName(i), {}}, now);
    scheduler.step(TaskUnitsChanged{units}, now);
    auto read = TasksRead{{}, now};
    for (auto i = 0; i < 2; ++i) {
        auto record = TaskRecord();
        record.id = TaskId("main." + std::to_string(i));
        record.team = TeamName("red");
        record.declared = {1, GiB, 0};
        if (i == 0)
            record.crashedRuns.push_back({1, static_cast<std::uint8_t>(CrashEvidence::Likely)});
        read.tasks.push_back({record, 7});
    }
    scheduler.step(read, now);
    auto placed = std::vector<TaskRecord>();
    for (const auto &action : scheduler.step(SchedulerTick(), now)) {
        const auto *order = std::get_if<WriteTasks>(&action);
        if (order == nullptr)
            continue;
        for (const auto &it : order->writes)
            placed.push_back(it.record);
    }
    return placed;
}

TEST(Tasks, StayWithinTheLimitOfTheirTeamBesideASuspect)
{
    EXPECT_EQ(placeBesideSuspect({{TeamName("red"), 1}}).size(), 1U);
}

TEST(Tasks, AreNotPlacedBesideASuspect)
{
    const auto placed = placeBesideSuspect({});
    ASSERT_EQ(placed.size(), 2U);
    EXPECT_NE(placed[0].host, placed[1].host);
}

} // namespace

} // namespace shallotproxy
