#include <gtest/gtest.h>

#include "single_worker.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;
using test::firstOf;
using test::SingleWorker;
using Report = steward_action::ReportWaitingTask;
using MoreReport = steward_action::ReportMoreWaitingTasks;

// A task that waits is reported after this time, and again each time it is over.
constexpr auto TaskReportInterval = 3s;
constexpr auto ReportInterval = 1s;
constexpr std::size_t MaxTasksPerReport = 20;

/// Adds the reports among the actions.
auto collect(const Steward::Actions &actions, std::vector<Report> &reports) -> void
{
    for (const auto &it : actions) {
        if (const auto *report = std::get_if<Report>(&it))
            reports.push_back(*report);
    }
}

/// Returns the reports of this time, in which the worker answers no calls.
auto reportsWithin(SingleWorker &single, Duration time) -> std::vector<Report>
{
    auto reports = std::vector<Report>();
    for (const auto end = single.now + time; single.now < end;)
        collect(single.tick(250ms), reports);
    return reports;
}

/// The same while the worker answers each poll that these runs are active, and confirms each order.
/// Its clock stands still unless `clockStep` is given, so that no run is established.
auto reportsWhileActive(SingleWorker &single, const std::vector<ActiveRun> &active, Duration time,
                        Duration clockStep = {}) -> std::vector<Report>
{
    auto reports = std::vector<Report>();
    for (const auto end = single.now + time; single.now < end;) {
        single.clockMilliseconds +=
            std::chrono::duration_cast<std::chrono::milliseconds>(clockStep).count();
        auto actions = single.poll(active, {});
        const auto onTick = single.tick(250ms);
        actions.insert(actions.end(), onTick.begin(), onTick.end());
        collect(actions, reports);
        for (const auto &it : actions) {
            if (const auto *stop = std::get_if<steward_action::StopRun>(&it)) {
                single.step(steward_event::StopAnswered{stop->worker, stop->task, stop->run,
                                                        OrderOutcome::Accepted});
            }
        }
    }
    return reports;
}

/// Starts the task and returns the active run.
auto startAndConfirm(SingleWorker &single) -> ActiveRun
{
    const auto run = single.startRun();
    EXPECT_NE(run, 0U);
    single.step(steward_event::StartAnswered{test::workerName(0), single.task, run,
                                             OrderOutcome::Accepted, single.clockMilliseconds});
    return {single.task, run, "", 100, 0};
}

/// Adds a job with one task that is suspected because of this many crashes, all persisted.
auto addSuspect(SingleWorker &single, const StepSpec &step, std::uint64_t crashes)
    -> Steward::Actions
{
    auto progress = JobProgress();
    auto task = TaskProgress();
    for (std::uint64_t run = 1; run <= crashes; ++run)
        task.crashedRuns.push_back({run, static_cast<std::uint8_t>(CrashEvidence::Likely), false});
    progress.tasks.push_back(task);
    return single.step(
        steward_event::JobAccepted{test::oneStepJob("suspect", step), progress, false});
}

/// Expects that all reports name this task and reason, and that there are some.
auto expectReason(const std::vector<Report> &reports, const JobTaskId &task, WaitReason reason)
    -> void
{
    EXPECT_FALSE(reports.empty());
    for (const auto &it : reports) {
        EXPECT_EQ(it.task, task);
        EXPECT_EQ(it.reason, reason);
        EXPECT_GE(it.time, TaskReportInterval);
    }
}

const auto suspectTask = JobTaskId{"suspect", 0, 0, 0};

TEST(WaitingReports, NameAStopThatHasNoAnswer)
{
    auto single = SingleWorker(test::longRunningStep(1));
    const auto run = startAndConfirm(single);
    EXPECT_TRUE(reportsWhileActive(single, {run}, 4s, 250ms).empty());
    single.step(steward_event::WorkerDrainChanged{test::workerName(0), true});
    const auto reports = reportsWithin(single, 4s);
    expectReason(reports, single.task, WaitReason::StopUnconfirmed);
    EXPECT_EQ(reports.front().worker, test::workerName(0));
    EXPECT_EQ(reports.front().run, run.run);
}

TEST(WaitingReports, NameAStopWhoseEndIsNotReported)
{
    auto single = SingleWorker(test::longRunningStep(1));
    const auto run = startAndConfirm(single);
    reportsWhileActive(single, {run}, 4s, 250ms);
    single.step(steward_event::WorkerDrainChanged{test::workerName(0), true});
    single.step(steward_event::StopAnswered{test::workerName(0), single.task, run.run,
                                            OrderOutcome::Accepted});
    const auto reports = reportsWhileActive(single, {run}, 4s, 250ms);
    expectReason(reports, single.task, WaitReason::EndUnreported);
    EXPECT_EQ(reports.front().worker, test::workerName(0));
}

// The new incarnation may still get the start order, so that the run is stopped there.
TEST(WaitingReports, CountTheTimeOfAStopAfterARestartFromTheStop)
{
    auto single = SingleWorker(test::shortStep(1));
    single.startRun();
    EXPECT_TRUE(reportsWithin(single, 2s).empty());
    ++single.startedMilliseconds;
    EXPECT_NE(firstOf<steward_action::StopRun>(single.poll({}, {})), nullptr);
    EXPECT_TRUE(reportsWithin(single, 2s).empty());
    expectReason(reportsWithin(single, 2s), single.task, WaitReason::StopUnconfirmed);
}

TEST(WaitingReports, NameAStartThatHasNoAnswer)
{
    auto single = SingleWorker(test::shortStep(1));
    const auto run = single.startRun();
    const auto reports = reportsWithin(single, 4s);
    expectReason(reports, single.task, WaitReason::StartUnanswered);
    EXPECT_EQ(reports.front().worker, test::workerName(0));
    EXPECT_EQ(reports.front().run, run);
}

TEST(WaitingReports, NameTheRecovery)
{
    auto single = SingleWorker(test::longRunningStep(1));
    const auto reports = reportsWithin(single, 4s);
    expectReason(reports, single.task, WaitReason::Recovering);
    EXPECT_EQ(reports.front().worker, WorkerName());
    EXPECT_EQ(reports.front().run, 0U);
}

// Each worker crashes as it starts the task, and the store is away.
TEST(WaitingReports, NameACrashThatIsNotPersisted)
{
    auto single = SingleWorker(test::shortStep(1));
    single.startRun();
    single.step(steward_event::WorkerEnded{test::workerName(0)});
    single.tick(1s);
    single.step(steward_event::WorkerReported{test::workerReport(1)});
    auto idle = steward_event::WorkerPolled();
    idle.worker = test::workerName(1);
    idle.sentAt = single.now;
    idle.clockMilliseconds = 1;
    ASSERT_NE(firstOf<steward_action::StartRun>(single.step(idle)), nullptr);
    single.step(steward_event::WorkerEnded{test::workerName(1)});
    single.step(steward_event::WorkerReported{test::workerReport(2)});
    idle.worker = test::workerName(2);
    EXPECT_EQ(firstOf<steward_action::StartRun>(single.step(idle)), nullptr);
    expectReason(reportsWithin(single, 4s), single.task, WaitReason::CrashNotPersisted);
}

TEST(WaitingReports, NameTheLackOfRoomForASuspect)
{
    auto single = SingleWorker(test::longRunningStep(1));
    const auto run = startAndConfirm(single);
    auto step = test::shortStep(1);
    step.resources = test::workerReport(0).capacity;
    addSuspect(single, step, 1);
    expectReason(reportsWhileActive(single, {run}, 4s, 250ms), suspectTask,
                 WaitReason::NoRoomForSuspect);
}

TEST(WaitingReports, NameTheLackOfAQuietWorker)
{
    auto single = SingleWorker(test::longRunningStep(1));
    const auto run = startAndConfirm(single);
    addSuspect(single, test::shortStep(1), 1);
    expectReason(reportsWhileActive(single, {run}, 4s), suspectTask, WaitReason::NoQuietWorker);
}

TEST(WaitingReports, NameTheLackOfRules)
{
    auto now = BootTime(1h);
    auto steward = Steward(7, StewardSettings(), now);
    steward.step(
        steward_event::JobAccepted{test::oneStepJob("job", test::longRunningStep(1)), {}, false},
        now);
    now += TaskReportInterval;
    const auto actions = steward.step(steward_event::Ticked{1'000'000}, now);
    const auto *report = firstOf<Report>(actions);
    ASSERT_NE(report, nullptr);
    EXPECT_EQ(report->reason, WaitReason::NoRules);
}

TEST(WaitingReports, NameAPoolWithoutWorkers)
{
    auto single = SingleWorker(test::longRunningStep(1));
    single.steward.expectWorkers({});
    expectReason(reportsWithin(single, 4s), single.task, WaitReason::NoWorkers);
}

TEST(WaitingReports, NameWorkersThatAreKeptForSuspects)
{
    auto single = SingleWorker(test::longRunningStep(1));
    single.steward.expectWorkers({});
    single.tick(100ms);
    addSuspect(single, test::shortStep(1), 2);
    const auto actions = single.poll({}, {});
    const auto *start = firstOf<steward_action::StartRun>(actions);
    ASSERT_NE(start, nullptr);
    ASSERT_EQ(start->task, suspectTask);
    single.step(steward_event::StartAnswered{start->worker, start->task, start->run,
                                             OrderOutcome::Accepted, single.clockMilliseconds});
    expectReason(reportsWhileActive(single, {{start->task, start->run, "", 0, 0}}, 4s), single.task,
                 WaitReason::WorkersKeptForSuspects);
}

TEST(WaitingReports, NameTheLimitOfTheTeam)
{
    auto single = SingleWorker(test::longRunningStep(1));
    auto rules = *test::testRules(2);
    rules.teams[TeamName("blue")].limit = {1'500, 0, 0};
    single.step(
        steward_event::RulesChanged{std::make_shared<const SchedulingRules>(std::move(rules))});
    const auto active = std::vector{startAndConfirm(single)};
    single.step(steward_event::JobAccepted{
        test::oneStepJob("waiting", test::longRunningStep(1)), {}, false});
    expectReason(reportsWhileActive(single, active, 4s), {"waiting", 0, 0, 0},
                 WaitReason::TeamLimit);
}

TEST(WaitingReports, NameAPreemption)
{
    auto single = SingleWorker(test::shortStep(1));
    auto active = std::vector{startAndConfirm(single)};
    const auto beside = single.step(
        steward_event::JobAccepted{test::oneStepJob("beside", test::shortStep(7)), {}, false});
    for (const auto &it : beside) {
        if (const auto *start = std::get_if<steward_action::StartRun>(&it)) {
            single.step(steward_event::StartAnswered{start->worker, start->task, start->run,
                                                     OrderOutcome::Accepted,
                                                     single.clockMilliseconds});
            active.push_back({start->task, start->run, "", 0, 0});
        }
    }
    ASSERT_EQ(active.size(), 8U);
    single.step(steward_event::JobAccepted{
        test::oneStepJob("waiting", test::longRunningStep(1)), {}, false});
    auto reports = reportsWhileActive(single, active, 4s, 250ms);
    std::erase_if(reports, [](const Report &it) { return it.task.job != "waiting"; });
    expectReason(reports, {"waiting", 0, 0, 0}, WaitReason::PreemptionUnderWay);
}

TEST(WaitingReports, NameTheLackOfRoom)
{
    auto step = test::longRunningStep(1);
    step.resources = test::workerReport(0).capacity + Resources{1, 0, 0};
    auto single = SingleWorker(step);
    EXPECT_EQ(single.startRun(), 0U);
    expectReason(reportsWithin(single, 4s), single.task, WaitReason::NoRoom);
}

TEST(WaitingReports, NameAPlacementThatIsDue)
{
    auto single = SingleWorker(test::longRunningStep(1));
    single.steward.expectWorkers({test::workerName(0)});
    auto idle = steward_event::WorkerPolled();
    idle.worker = test::workerName(0);
    idle.sentAt = single.now;
    idle.clockMilliseconds = 1;
    single.steward.step(idle, single.now);
    single.now += TaskReportInterval;
    const auto actions = single.steward.step(steward_event::Ticked{1'000'000}, single.now);
    const auto *report = firstOf<Report>(actions);
    ASSERT_NE(report, nullptr);
    EXPECT_EQ(report->reason, WaitReason::PlacementDue);
}

TEST(WaitingReports, AreRepeatedWhileTheTaskWaits)
{
    auto single = SingleWorker(test::longRunningStep(1));
    single.steward.expectWorkers({});
    EXPECT_TRUE(reportsWithin(single, TaskReportInterval - 250ms).empty());
    const auto reports = reportsWithin(single, TaskReportInterval * 10);
    EXPECT_GE(reports.size(), 9U);
    EXPECT_LE(reports.size(), 10U);
}

TEST(WaitingReports, AreLimitedInNumberAndTakeTurns)
{
    constexpr auto TaskCount = std::uint32_t{100};
    auto single = SingleWorker(test::longRunningStep(TaskCount));
    single.steward.expectWorkers({});
    single.now += TaskReportInterval;
    auto reported = std::set<JobTaskId>();
    for (auto n = 0U; n < TaskCount / MaxTasksPerReport; ++n) {
        const auto actions = single.tick(ReportInterval);
        auto reports = std::vector<Report>();
        collect(actions, reports);
        EXPECT_EQ(reports.size(), MaxTasksPerReport);
        for (const auto &it : reports)
            reported.insert(it.task);
        const auto *more = firstOf<MoreReport>(actions);
        ASSERT_NE(more, nullptr);
        if (n == 0) {
            EXPECT_EQ(more->count, TaskCount - MaxTasksPerReport);
        }
        EXPECT_EQ(firstOf<Report>(single.tick(0ms)), nullptr);
    }
    EXPECT_EQ(reported.size(), TaskCount);
}

TEST(WaitingReports, CoverTasksWhoseStartsAreRefusedAgainAndAgain)
{
    auto single = SingleWorker(test::longRunningStep(1));
    auto run = single.startRun();
    auto reports = std::vector<Report>();
    for (auto n = 0; n < 10; ++n) {
        single.step(steward_event::StartAnswered{test::workerName(0), single.task, run,
                                                 OrderOutcome::Unhealthy, 0});
        single.poll({}, {});
        for (auto i = 0; i < 6; ++i) {
            const auto actions = single.tick(250ms);
            collect(actions, reports);
            if (const auto *start = firstOf<steward_action::StartRun>(actions)) {
                run = start->run;
                break;
            }
        }
    }
    EXPECT_FALSE(reports.empty());
}

TEST(WaitingReports, LeaveOutTasksThatWaitInTheNormalCourse)
{
    auto single = SingleWorker(test::longRunningStep(1));
    const auto run = startAndConfirm(single);
    auto job = test::oneStepJob("finite", test::shortStep(2));
    job.steps.front().resources = test::workerReport(0).capacity;
    job.steps.push_back(test::longRunningStep(1));
    job.steps.back().after = {0};
    single.step(steward_event::JobAccepted{job, {}, false});
    EXPECT_TRUE(reportsWhileActive(single, {run}, 8s, 250ms).empty());
}

// The steward counted the run as running, and no line told that nothing has listed it.
TEST(WaitingReports, TellOfARunThatNoPollLists)
{
    auto single = SingleWorker(test::longRunningStep(1));
    const auto run = startAndConfirm(single);
    reportsWhileActive(single, {run}, 5s);
    const auto reports = reportsWithin(single, TaskReportInterval + ReportInterval);
    expectReason(reports, single.task, WaitReason::NotListed);
}

} // namespace

} // namespace shallotproxy
