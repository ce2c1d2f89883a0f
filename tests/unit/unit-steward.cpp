#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fake_fleet.hpp"
#include "single_worker.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;
using test::Delivery;
using test::FakeFleet;
using test::firstOf;
using test::SingleWorker;

auto toDeliveries(const std::vector<std::uint8_t> &numbers) -> std::deque<Delivery>
{
    auto deliveries = std::deque<Delivery>();
    for (const auto number : numbers) {
        deliveries.push_back(number % 8 < 4 ? Delivery::Delivered
                                            : static_cast<Delivery>(number % 4));
    }
    return deliveries;
}

TEST(Steward, CompletesAJob)
{
    auto fleet = FakeFleet(3);
    fleet.addSteward();
    fleet.addJob(test::oneStepJob("a", test::shortStep(20)));
    fleet.run(5s);
    EXPECT_EQ(fleet.outcome("a"), JobOutcome::Completed);
    EXPECT_EQ(fleet.starts, 20U);
    EXPECT_EQ(fleet.violations, std::vector<std::string>());
}

TEST(Steward, ReportsCompletionOnlyOncePersisted)
{
    auto fleet = FakeFleet(3);
    const auto steward = fleet.addSteward();
    fleet.isStoreUp = false;
    fleet.addJob(test::oneStepJob("a", test::shortStep(2)));
    fleet.run(3s);
    EXPECT_EQ(fleet.steward(steward).view("a").state, JobState::Running);
    fleet.isStoreUp = true;
    fleet.run(1s);
    EXPECT_EQ(fleet.steward(steward).view("a").state, JobState::Completed);
}

TEST(Steward, FailsAJobAfterItsLastAttempt)
{
    auto fleet = FakeFleet(3, 2);
    fleet.fails = [](const JobTaskId &task) { return task.index == 1; };
    fleet.addSteward();
    fleet.addJob(test::oneStepJob("a", test::shortStep(3)));
    fleet.run(8s);
    EXPECT_EQ(fleet.outcome("a"), JobOutcome::Failed);
    EXPECT_EQ(fleet.violations, std::vector<std::string>());
}

// A queue that is removed while a task of it fails kept the task failing for ever; a successor
// knows no more than the record.
TEST(Steward, FailsAJobAfterItsLastAttemptAlsoWithoutItsQueue)
{
    auto fleet = FakeFleet(3, 2);
    fleet.fails = [](const JobTaskId &) { return true; };
    const auto first = fleet.addSteward();
    auto job = test::oneStepJob("a", test::shortStep(1));
    job.rules.attempts = 3;
    auto rules = *test::testRules(2);
    rules.queues.clear();
    const auto withoutQueue = std::make_shared<const SchedulingRules>(rules);
    fleet.send(first, steward_event::RulesChanged{withoutQueue});
    fleet.addJob(job);
    fleet.run(600ms);
    fleet.killSteward(first);
    fleet.send(fleet.addSteward(), steward_event::RulesChanged{withoutQueue});
    fleet.run(10s);
    EXPECT_EQ(fleet.outcome("a"), JobOutcome::Failed);
    EXPECT_EQ(fleet.starts, 3U);
}

// Without a recorded lease, an adopted run would be treated as ended by the next tick.
TEST(Steward, DoesNotRestartAdoptedRuns)
{
    auto fleet = FakeFleet(3);
    const auto first = fleet.addSteward();
    fleet.addJob(test::oneStepJob("a", test::longRunningStep(3)));
    fleet.run(2s);
    fleet.killSteward(first);
    fleet.addSteward();
    fleet.run(3s);
    EXPECT_EQ(fleet.starts, 3U);
    EXPECT_EQ(fleet.activeRuns("a"), 3U);
    EXPECT_EQ(fleet.violations, std::vector<std::string>());
}

// Another worker, which hasn't been polled yet, may have a newer run of the task.
TEST(Steward, DoesNotTreatAFailedRunAsTheNewestOne)
{
    auto single = SingleWorker(test::shortStep(1));
    single.steward.step(steward_event::WorkerReported{test::workerReport(1)}, single.now);
    single.steward.expectWorkers({test::workerName(0), test::workerName(1)});
    const auto actions = single.poll({}, {{1, single.task, 3'001, RunEnd::Failed, {}}});
    // The second worker, which hasn't been polled yet, may have run 3002.
    EXPECT_EQ(firstOf<steward_action::StartRun>(actions), nullptr);
}

// A crashed worker may still be registered.
TEST(Steward, EndsRecoveryWithoutPollingWorkersOfDownHosts)
{
    auto single = SingleWorker(test::shortStep(1));
    single.steward.step(steward_event::WorkerReported{test::workerReport(1)}, single.now);
    single.steward.expectWorkers({test::workerName(0)});
    const auto actions = single.poll({}, {});
    EXPECT_FALSE(single.steward.isRecovering());
    EXPECT_NE(firstOf<steward_action::StartRun>(actions), nullptr);
}

// After a takeover most registrations may be of workers whose hosts have moved. Each is asked once
// in time, as it may have runs, and connecting to it again and again would delay the other polls.
TEST(Steward, RetriesWorkersOfUnlistedHostsSlowly)
{
    auto single = SingleWorker(test::shortStep(1));
    auto actions = single.step(steward_event::WorkerReported{test::workerReport(1)});
    EXPECT_NE(firstOf<steward_action::PollWorker>(actions), nullptr);
    single.steward.expectWorkers({test::workerName(0)});
    const auto fail = [&single](int worker) {
        single.step(
            steward_event::PollFailed{test::workerName(worker), single.now, OrderOutcome::NotSent});
    };
    const auto polled = [&single](Duration time) {
        auto names = std::set<WorkerName>();
        for (const auto &it : single.tick(time)) {
            if (const auto *poll = std::get_if<steward_action::PollWorker>(&it))
                names.insert(poll->worker);
        }
        return names;
    };
    fail(0);
    fail(1);
    EXPECT_EQ(polled(StewardSettings().resendInterval), std::set{test::workerName(0)});
    EXPECT_EQ(polled(StewardSettings().unlistedRetryInterval), std::set{test::workerName(1)});
}

// A worker with a run that is being stopped is removed: its team must not be charged for ever.
TEST(Steward, ReleasesTheRunsOfARemovedWorkerOnceTheirLeaseExpires)
{
    auto step = test::shortStep(1);
    step.resources.milliCores = 8'000;
    auto single = SingleWorker(step);
    auto rules = *test::testRules(2);
    rules.teams[TeamName("blue")].limit = {8'000, 0, 0};
    single.step(steward_event::RulesChanged{std::make_shared<const SchedulingRules>(rules)});
    single.step(steward_event::JobAccepted{test::oneStepJob("other", step), {}, true});
    single.step(steward_event::JobCancelled{"other"});
    single.steward.expectWorkers({test::workerName(0)});
    single.poll({{JobTaskId{"other", 0, 0, 0}, 5, {}, 50, 0}}, {});
    single.step(steward_event::WorkerRemoved{test::workerName(0)});
    const auto failPoll = [&single] {
        single.step(
            steward_event::PollFailed{test::workerName(0), single.now, OrderOutcome::Unanswered});
    };
    single.step(steward_event::WorkerReported{test::workerReport(1)});
    auto idle = steward_event::WorkerPolled();
    idle.worker = test::workerName(1);
    idle.clockMilliseconds = 1;
    auto start = std::optional<BootTime>();
    const auto begin = single.now;
    while (!start && single.now < begin + 20s) {
        const auto actions = single.tick(500ms);
        failPoll();
        idle.sentAt = single.now;
        const auto onPoll = single.step(idle);
        if (firstOf<steward_action::StartRun>(actions) != nullptr
            || firstOf<steward_action::StartRun>(onPoll) != nullptr)
            start = single.now;
    }
    ASSERT_TRUE(start.has_value());
    EXPECT_GE(*start, begin + StewardSettings().maxRunLease);
}

// A worker that refused all starts made jobs count as begun that had no run.
TEST(Steward, CountsAJobAsPendingUntilAWorkerHasConfirmedAStart)
{
    auto single = SingleWorker(test::shortStep(1));
    const auto run = single.startRun();
    ASSERT_NE(run, 0U);
    const auto answer = [&single](std::uint64_t number, OrderOutcome outcome) {
        return single.step(
            steward_event::StartAnswered{test::workerName(0), single.task, number, outcome, 5'000});
    };
    answer(run, OrderOutcome::Unhealthy);
    EXPECT_EQ(single.steward.pendingJobs(QueueName("quotes")), 1U);
    EXPECT_EQ(single.steward.view("job").state, JobState::Queued);
    const auto actions = single.tick(2s);
    const auto *start = firstOf<steward_action::StartRun>(actions);
    ASSERT_NE(start, nullptr);
    answer(start->run, OrderOutcome::Accepted);
    EXPECT_EQ(single.steward.pendingJobs(QueueName("quotes")), 0U);
    EXPECT_EQ(single.steward.view("job").state, JobState::Running);
}

// Right after a takeover, the tasks that run on workers that haven't been polled look like waiting
// ones, and a quiet pool would get half of the fleet.
TEST(Steward, ReportsNoPoolLoadsDuringRecovery)
{
    auto single = SingleWorker(test::shortStep(4));
    EXPECT_FALSE(single.steward.poolLoads().has_value());
    single.steward.expectWorkers({test::workerName(0)});
    single.poll({}, {});
    EXPECT_TRUE(single.steward.poolLoads().has_value());
}

// More hosts don't help a task that is larger than every host: it must not take those of others.
TEST(Steward, CountsNoDemandOfTasksThatFitOnNoHost)
{
    auto single = SingleWorker(test::shortStep(1));
    single.steward.expectWorkers({test::workerName(0)}, {{8'000, 16'000, 0}});
    single.poll({}, {});
    const auto before = single.steward.poolLoads()->at(PoolName(test::TestPool));
    auto large = test::shortStep(100);
    large.resources.milliCores = 8'001;
    single.step(steward_event::JobAccepted{test::oneStepJob("large", large), {}, false});
    const auto after = single.steward.poolLoads()->at(PoolName(test::TestPool));
    EXPECT_EQ(after.waiting, before.waiting);
    EXPECT_EQ(after.acceptedWork, before.acceptedWork);
    single.step(
        steward_event::JobAccepted{test::oneStepJob("small", test::shortStep(100)), {}, false});
    EXPECT_NE(single.steward.poolLoads()->at(PoolName(test::TestPool)).acceptedWork,
              before.acceptedWork);
}

// A worker may report the end of an older run after the end of a newer one.
TEST(Steward, CountsFailuresReportedOutOfOrder)
{
    auto single = SingleWorker(test::shortStep(1), 2);
    single.poll(
        {},
        {{1, single.task, 3'002, RunEnd::Failed, {}}, {2, single.task, 3'001, RunEnd::Failed, {}}});
    const auto record = single.steward.record("job");
    ASSERT_TRUE(record.has_value());
    EXPECT_EQ(record->progress.state(), JobOutcome::Failed);
}

// The first start order is carried out without an answer, and the run has ended before the order is
// sent again.
TEST(Steward, WaitsForTheEndOfARunRefusedAsStale)
{
    auto single = SingleWorker(test::shortStep(1));
    const auto run = single.startRun();
    ASSERT_NE(run, 0U);
    const auto answer = [&single, run](OrderOutcome outcome) {
        return single.step(
            steward_event::StartAnswered{test::workerName(0), single.task, run, outcome, 0});
    };
    single.now += 500ms;
    answer(OrderOutcome::Unanswered);
    const auto again = single.tick(400ms);
    ASSERT_NE(firstOf<steward_action::StartRun>(again), nullptr);
    EXPECT_EQ(firstOf<steward_action::StartRun>(again)->run, run);
    EXPECT_EQ(firstOf<steward_action::StartRun>(answer(OrderOutcome::StaleRun)), nullptr);
    single.now += 20ms;
    single.poll({}, {{1, single.task, run, RunEnd::Done, {}}});
    EXPECT_EQ(single.steward.record("job")->progress.state(), JobOutcome::Completed);
}

// A busy steward took its own delay for time that a run had been active, and tested no suspect.
TEST(Steward, TakesARunWhoseConfirmationItReadsLateForJustStarted)
{
    auto single = SingleWorker(test::shortStep(1));
    const auto run = single.startRun();
    ASSERT_NE(run, 0U);
    single.now += 700ms;
    single.step(steward_event::StartAnswered{test::workerName(0), single.task, run,
                                             OrderOutcome::Accepted, 5'003});
    single.now += 100ms;
    single.step(steward_event::WorkerEnded{test::workerName(0)});
    const auto record = single.steward.record("job");
    ASSERT_EQ(record->progress.tasks.size(), 1U);
    ASSERT_EQ(record->progress.tasks[0].crashedRuns.size(), 1U);
    EXPECT_EQ(record->progress.tasks[0].crashedRuns[0].evidence,
              static_cast<std::uint8_t>(CrashEvidence::Likely));
}

/// Returns the registration of the first worker with room for so many short tasks.
auto reportWithRoomFor(std::int64_t tasks) -> steward_event::WorkerReported
{
    auto report = test::workerReport(0);
    report.capacity = {tasks * 1'000, tasks * 500, 0};
    return {report};
}

TEST(Steward, StartsNothingOverACapacityThatHasShrunk)
{
    auto single = SingleWorker(test::shortStep(12));
    single.steward.expectWorkers({test::workerName(0)});
    const auto countStarts = [](const Steward::Actions &actions) {
        return std::ranges::count_if(actions, [](const StewardAction &it) {
            return std::holds_alternative<steward_action::StartRun>(it);
        });
    };
    EXPECT_EQ(countStarts(single.poll({}, {})), 8);
    single.step(reportWithRoomFor(4));
    // Two of the eight runs end, the others fill more than the capacity.
    auto active = std::vector<ActiveRun>();
    for (std::uint32_t n = 2; n < 8; ++n)
        active.push_back({{"job", 0, 0, n}, 7'001, {}, 10, 0});
    single.now += 20ms;
    EXPECT_EQ(countStarts(single.poll(active,
                                      {{1, {"job", 0, 0, 0}, 7'001, RunEnd::Done, {}},
                                       {2, {"job", 0, 0, 1}, 7'001, RunEnd::Done, {}}})),
              0);
    EXPECT_EQ(countStarts(single.step(reportWithRoomFor(8))), 2);
}

// A lost start order would bring the worker over its capacity if it were sent again.
TEST(Steward, SendsNoStartAgainAfterTheCapacityHasShrunk)
{
    auto single = SingleWorker(test::shortStep(1));
    const auto run = single.startRun();
    ASSERT_NE(run, 0U);
    single.now += 500ms;
    single.step(steward_event::StartAnswered{test::workerName(0), single.task, run,
                                             OrderOutcome::Unanswered, 0});
    single.step(reportWithRoomFor(0));
    const auto actions = single.tick(400ms);
    EXPECT_EQ(firstOf<steward_action::StartRun>(actions), nullptr);
    EXPECT_NE(firstOf<steward_action::StopRun>(actions), nullptr);
}

// The repeated start order arrives after the run, which a poll has listed meanwhile, has ended.
TEST(Steward, WaitsForTheEndOfAListedRunRefusedAsStale)
{
    auto single = SingleWorker(test::shortStep(1));
    const auto run = single.startRun();
    ASSERT_NE(run, 0U);
    const auto answer = [&single, run](OrderOutcome outcome) {
        return single.step(
            steward_event::StartAnswered{test::workerName(0), single.task, run, outcome, 0});
    };
    answer(OrderOutcome::Unanswered);
    ASSERT_NE(firstOf<steward_action::StartRun>(single.tick(400ms)), nullptr);
    single.now += 10ms;
    single.poll({{single.task, run, {}, 50, 0}}, {});
    answer(OrderOutcome::StaleRun);
    single.now += 20ms;
    const auto actions = single.poll({}, {{1, single.task, run, RunEnd::Done, {}}});
    EXPECT_EQ(firstOf<steward_action::StartRun>(actions), nullptr);
    EXPECT_EQ(single.steward.record("job")->progress.state(), JobOutcome::Completed);
}

// The tasks fill the worker, which still runs a job of an earlier steward that has ended since.
TEST(Steward, StartsNothingInPlaceOfAListedRunUntilItHasEnded)
{
    auto step = test::shortStep(1);
    step.resources.milliCores = 8'000;
    for (const auto *job : {"known", "forgotten"}) {
        auto single = SingleWorker(step);
        auto earlier = test::oneStepJob("known", step);
        single.step(steward_event::JobAccepted{earlier, {}, true});
        single.step(steward_event::JobCancelled{"known"});
        single.steward.expectWorkers({test::workerName(0)});
        const auto listed = JobTaskId{job, 0, 0, 0};
        auto actions = single.poll({{listed, 5, {}, 50, 0}}, {});
        EXPECT_NE(firstOf<steward_action::StopRun>(actions), nullptr);
        EXPECT_EQ(firstOf<steward_action::StartRun>(actions), nullptr) << job;
        EXPECT_EQ(firstOf<steward_action::StartRun>(single.tick(100ms)), nullptr) << job;
        actions = single.poll({}, {{1, listed, 5, RunEnd::Stopped, {}}});
        EXPECT_NE(firstOf<steward_action::StartRun>(actions), nullptr) << job;
    }
}

// A poll between a stop order and the end of the run may list the run neither as active nor as
// ended.
TEST(Steward, StartsNothingInPlaceOfAStoppedRunUntilItHasEnded)
{
    auto step = test::shortStep(1);
    step.resources.milliCores = 8'000;
    auto single = SingleWorker(step);
    const auto run = single.startRun();
    ASSERT_NE(run, 0U);
    single.step(steward_event::StartAnswered{test::workerName(0), single.task, run,
                                             OrderOutcome::Accepted, 5'000});
    single.step(steward_event::JobCancelled{"job"});
    single.step(
        steward_event::StopAnswered{test::workerName(0), single.task, run, OrderOutcome::Accepted});
    single.step(steward_event::JobAccepted{test::oneStepJob("next", step), {}, false});
    single.now += 50ms;
    EXPECT_EQ(firstOf<steward_action::StartRun>(single.poll({}, {})), nullptr);
    single.now += 50ms;
    const auto actions = single.poll({}, {{1, single.task, run, RunEnd::Stopped, {}}});
    EXPECT_NE(firstOf<steward_action::StartRun>(actions), nullptr);
}

// The same for a run whose start is so long ago that no order for it can arrive any more.
TEST(Steward, StartsNothingInPlaceOfAnOldStoppedRunUntilItHasEnded)
{
    auto step = test::shortStep(1);
    step.resources.milliCores = 8'000;
    auto single = SingleWorker(step);
    const auto run = single.startRun();
    single.step(steward_event::StartAnswered{test::workerName(0), single.task, run,
                                             OrderOutcome::Accepted, 5'000});
    auto active = ActiveRun();
    active.task = single.task;
    active.run = run;
    const auto end = single.now + StewardSettings().lateCallTime + 2s;
    while (single.now < end) {
        single.now += 500ms;
        single.poll({active}, {});
    }
    single.step(steward_event::JobCancelled{"job"});
    single.step(steward_event::JobAccepted{test::oneStepJob("next", step), {}, false});
    single.now += 50ms;
    EXPECT_EQ(firstOf<steward_action::StartRun>(single.poll({}, {})), nullptr);
    const auto actions = single.poll({}, {{1, single.task, run, RunEnd::Stopped, {}}});
    EXPECT_NE(firstOf<steward_action::StartRun>(actions), nullptr);
}

// The clock of a worker that was idle for long may have fallen behind: that is no restart, after
// which its runs would be held for longer.
TEST(Steward, HoldsTheRunsOfAWorkerWithASlowClockForTheUsualLease)
{
    auto single = SingleWorker(test::longRunningStep(1));
    single.step(steward_event::JobCancelled{"job"});
    single.poll({}, {});
    single.tick(20s);
    const auto accepted =
        steward_event::JobAccepted{test::oneStepJob("next", test::longRunningStep(1)), {}, false};
    const auto actions = single.step(accepted);
    const auto *start = firstOf<steward_action::StartRun>(actions);
    ASSERT_NE(start, nullptr);
    single.step(steward_event::StartAnswered{test::workerName(0), start->task, start->run,
                                             OrderOutcome::Accepted, 5'000 + 20'000 * 98 / 100});
    const auto end = single.now + 9s; // callers miss a long-running task after this time
    while (single.now < end) {
        single.tick(500ms);
        single.step(
            steward_event::PollFailed{test::workerName(0), single.now, OrderOutcome::Unanswered});
    }
    EXPECT_EQ(single.steward.workerLoad(test::workerName(0))->longRunningRuns, 0U);
}

// A worker that restarted under its name may have become smaller; its registration lags behind.
TEST(Steward, StartsNothingOnARestartedWorkerUntilItIsRegisteredAgain)
{
    auto single = SingleWorker(test::shortStep(1));
    auto report = test::workerReport(0);
    report.startedMilliseconds = 9;
    single.step(steward_event::WorkerReported{report});
    EXPECT_EQ(single.startRun(), 0U);
    report.startedMilliseconds = 1;
    const auto actions = single.step(steward_event::WorkerReported{report});
    EXPECT_NE(firstOf<steward_action::StartRun>(actions), nullptr);
}

// A steward that is too busy to poll its workers must not treat their leases as expired: it would
// start tasks again that completed seconds before.
TEST(Steward, DoesNotTreatAnUnpolledWorkerAsUnresponsive)
{
    auto single = SingleWorker(test::shortStep(1));
    const auto run = single.startRun();
    ASSERT_NE(run, 0U);
    single.step(steward_event::StartAnswered{test::workerName(0), single.task, run,
                                             OrderOutcome::Accepted, 5'000});
    for (auto n = 0; n < 10; ++n)
        EXPECT_EQ(firstOf<steward_action::StartRun>(single.tick(1s)), nullptr);
    single.poll({}, {{1, single.task, run, RunEnd::Done, {}}});
    EXPECT_EQ(single.steward.record("job")->progress.state(), JobOutcome::Completed);
}

// Polls of an unresponsive worker must not count as renewals of its lease.
TEST(Steward, MovesALongRunningTaskOnceTheLeaseOfItsWorkerExpires)
{
    auto fleet = FakeFleet(3);
    fleet.addSteward();
    fleet.addJob(test::oneStepJob("a", test::longRunningStep(1)));
    fleet.run(2s);
    for (auto n = 0; n < 3; ++n) {
        if (fleet.activeRuns("a") == 1)
            fleet.makeUnresponsive(0, 1h);
    }
    fleet.crash(0);
    fleet.run(10s);
    EXPECT_EQ(fleet.activeRuns("a"), 1U);
    EXPECT_EQ(fleet.violations, std::vector<std::string>());
}

// A task that wasn't observed to serve may serve all the same, so that stopping it counts.
TEST(Steward, StopsNoLongRunningTaskWhileAnotherMayBeUnavailable)
{
    auto fleet = FakeFleet(4);
    const auto steward = fleet.addSteward();
    fleet.addJob(test::oneStepJob("a", test::longRunningStep(3)));
    fleet.run(4s);
    // Two of the three tasks can't be observed, so that the drain of the third's worker has to
    // wait.
    fleet.makeUnresponsive(0, 2s);
    fleet.makeUnresponsive(1, 2s);
    fleet.run(1s);
    for (auto n = 0; n < 4; ++n)
        fleet.send(steward, steward_event::WorkerDrainChanged{test::workerName(n), n >= 2});
    fleet.run(500ms);
    EXPECT_EQ(fleet.activeRuns("a"), 3U);
}

// A task that the previous steward has ordered to stop may still be reported as serving.
TEST(Steward, StopsNoLongRunningTaskRightAfterATakeover)
{
    auto fleet = FakeFleet(4);
    const auto first = fleet.addSteward();
    fleet.addJob(test::oneStepJob("a", test::longRunningStep(3)));
    fleet.run(4s);
    fleet.killSteward(first);
    const auto second = fleet.addSteward();
    fleet.run(300ms);
    fleet.send(second, steward_event::WorkerDrainChanged{test::workerName(0), true});
    fleet.run(600ms);
    EXPECT_EQ(fleet.activeRuns("a"), 3U);
    EXPECT_EQ(fleet.starts, 3U);
}

// A host must not go to standby while only its worker can report some ends of runs.
TEST(Steward, ReportsUnpersistedEnds)
{
    auto fleet = FakeFleet(1);
    const auto steward = fleet.addSteward();
    fleet.isStoreUp = false;
    fleet.addJob(test::oneStepJob("a", test::shortStep(1)));
    fleet.run(2s);
    EXPECT_TRUE(fleet.steward(steward).workerLoad(test::workerName(0))->hasUnpersistedEnds);
    fleet.isStoreUp = true;
    fleet.run(2s);
    EXPECT_FALSE(fleet.steward(steward).workerLoad(test::workerName(0))->hasUnpersistedEnds);
}

// The second occurrence of a job is done and the first still runs when the steward changes: the
// next one stopped the run and never started it again.
TEST(Steward, KeepsEarlierOccurrencesAfterATakeover)
{
    auto fleet = FakeFleet(2);
    fleet.wallMilliseconds = 1'000'000;
    fleet.runTime = 1h;
    const auto first = fleet.addSteward();
    auto job = test::oneStepJob("a", test::shortStep(1));
    job.occurrences = 2;
    job.firstDueMilliseconds = 1'000'000;
    job.intervalMilliseconds = 1'000;
    fleet.addJob(job);
    fleet.run(1s);
    fleet.runTime = 100ms;
    fleet.wallMilliseconds += 1'000;
    fleet.run(3s);
    ASSERT_EQ(fleet.starts, 2U);
    ASSERT_EQ(fleet.activeRuns("a"), 1U);
    fleet.killSteward(first);
    fleet.addSteward();
    fleet.run(5s);
    EXPECT_EQ(fleet.activeRuns("a"), 1U);
    EXPECT_EQ(fleet.starts, 2U);
    EXPECT_EQ(fleet.violations, std::vector<std::string>());
}

TEST(Steward, EvictsEndedJobsOnceOldAndPersisted)
{
    auto fleet = FakeFleet(1);
    const auto steward = fleet.addSteward();
    const auto start = fleet.now();
    fleet.addJob(test::oneStepJob("a", test::shortStep(1)));
    fleet.addJob(test::oneStepJob("b", test::longRunningStep(1)));
    fleet.run(3s);
    EXPECT_TRUE(fleet.steward(steward).evictEnded(start, 10).empty());
    EXPECT_EQ(fleet.steward(steward).evictEnded(fleet.now(), 10), std::vector<std::string>{"a"});
    EXPECT_EQ(fleet.steward(steward).view("a").state, JobState::Unknown);
    EXPECT_EQ(fleet.steward(steward).view("b").state, JobState::Running);
}

// The time of day jumps by an hour between the end of a job and the cleanup, and a successor has
// another time of day than the steward that saw the end.
TEST(Steward, KeepsEndedJobsWhenTheTimeOfDayJumps)
{
    constexpr std::int64_t HourMilliseconds = 3'600'000;
    for (const auto jump : {-HourMilliseconds, HourMilliseconds}) {
        auto fleet = FakeFleet(1);
        fleet.wallMilliseconds = 2 * HourMilliseconds;
        auto steward = fleet.addSteward();
        fleet.addJob(test::oneStepJob("a", test::shortStep(1)));
        fleet.run(3s);
        fleet.wallMilliseconds += jump;
        fleet.run(1s);
        EXPECT_TRUE(fleet.steward(steward).evictEnded(fleet.now() - 60s, 10).empty());
        fleet.killSteward(steward);
        fleet.wallMilliseconds += jump;
        steward = fleet.addSteward();
        fleet.run(1s);
        EXPECT_TRUE(fleet.steward(steward).evictEnded(fleet.now() - 60s, 10).empty());
        EXPECT_EQ(fleet.steward(steward).view("a").state, JobState::Completed);
        fleet.run(61s);
        EXPECT_EQ(fleet.steward(steward).evictEnded(fleet.now() - 60s, 10).size(), 1U);
    }
}

// A task exceeds its latency target while a task on spare cores runs on the same worker.
TEST(Steward, SlowsSpareCoreTasksNearALatencyTarget)
{
    auto serving = test::longRunningStep(1);
    serving.latencyTargetMilliseconds = 100;
    auto single = SingleWorker(serving);
    auto filling = test::oneStepJob("fill", test::longRunningStep(1));
    filling.steps[0].usesSpareCores = true;
    single.steward.step(steward_event::JobAccepted{filling, {}, true}, single.now);
    const auto fill = JobTaskId{"fill", 0, 0, 0};
    single.poll({{single.task, 5, {}, 100, 20}, {fill, 5, {}, 100, 900}}, {});
    const auto actions = single.poll({{single.task, 5, {}, 100, 130}, {fill, 5, {}, 100, 900}}, {});
    const auto *speed = firstOf<steward_action::SetRunSpeed>(actions);
    ASSERT_NE(speed, nullptr);
    EXPECT_EQ(speed->task, fill);
    EXPECT_EQ(speed->speedPercent, 0);
}

// A host must not go into upkeep before its worker has been polled.
TEST(Steward, DoesNotTreatAnUnpolledWorkerAsIdle)
{
    auto single = SingleWorker(test::shortStep(1));
    single.step(steward_event::WorkerDrainChanged{test::workerName(0), true});
    auto report = HostReport();
    report.state = HostState::Up;
    const auto beforePoll = single.steward.workerLoad(test::workerName(0));
    ASSERT_TRUE(beforePoll.has_value());
    EXPECT_FALSE(viewOf(report, beforePoll, false).isIdle());
    single.poll({}, {});
    const auto afterPoll = single.steward.workerLoad(test::workerName(0));
    EXPECT_TRUE(viewOf(report, afterPoll, false).isIdle());
}

TEST(Steward, PreemptsRunsForLongRunningTasksInAFullPool)
{
    auto fleet = FakeFleet(2);
    fleet.addSteward();
    auto step = test::shortStep(400);
    step.savesProgress = true;
    fleet.addJob(test::oneStepJob("many", step));
    fleet.run(500ms);
    auto longRunning = test::longRunningStep(2);
    longRunning.resources.milliCores = 6'000;
    fleet.addJob(test::oneStepJob("long", longRunning));
    fleet.run(4s);
    EXPECT_EQ(fleet.activeRuns("long"), 2U);
    EXPECT_EQ(fleet.violations, std::vector<std::string>());
}

// Runs must not be preempted, again and again, on the worker that already has a task of the step.
TEST(Steward, PreemptsRunsOnlyWhereTheTaskMayRun)
{
    auto fleet = FakeFleet(2);
    const auto steward = fleet.addSteward();
    fleet.runTime = 1h;
    // The second worker is full; two of its runs would have to be stopped.
    fleet.send(steward, steward_event::WorkerDrainChanged{test::workerName(0), true});
    fleet.addJob(test::oneStepJob("small", test::shortStep(8)));
    fleet.run(200ms);
    // The first worker has a task of the step, and one run that would free enough resources.
    fleet.send(steward, steward_event::WorkerDrainChanged{test::workerName(0), false});
    auto longRunning = test::longRunningStep(2);
    longRunning.resources.milliCores = 2'000;
    fleet.addJob(test::oneStepJob("long", longRunning));
    auto large = test::shortStep(1);
    large.resources.milliCores = 6'000;
    fleet.addJob(test::oneStepJob("large", large));
    fleet.run(4s);
    EXPECT_EQ(fleet.activeRuns("long"), 2U);
    EXPECT_EQ(fleet.activeRuns("large"), 1U);
    EXPECT_EQ(fleet.starts,
              11U); // eight small, one large and two long-running: the large one is never stopped
    EXPECT_EQ(fleet.violations, std::vector<std::string>());
}

TEST(Steward, KeepsATeamBelowItsLimit)
{
    auto now = BootTime(1h);
    auto steward = Steward(3, StewardSettings(), now);
    auto rules = *test::testRules(3);
    rules.teams[TeamName("blue")].limit = {3'000, 0, 0};
    steward.step(steward_event::RulesChanged{std::make_shared<const SchedulingRules>(rules)}, now);
    steward.step(steward_event::WorkerReported{test::workerReport(0)}, now);
    steward.expectWorkers({test::workerName(0)});
    auto poll = steward_event::WorkerPolled();
    poll.worker = test::workerName(0);
    poll.clockMilliseconds = 1;
    steward.step(poll, now);
    steward.step(steward_event::JobAccepted{test::oneStepJob("a", test::shortStep(8)), {}, false},
                 now);
    const auto actions = steward.step(steward_event::PlacementDue(), now);
    EXPECT_EQ(std::ranges::count_if(actions,
                                    [](const auto &it) {
                                        return std::holds_alternative<steward_action::StartRun>(it);
                                    }),
              3);
}

// The configuration that removes a team left its accepted jobs without any limit.
TEST(Steward, KeepsATeamThatIsRemovedBelowItsLimit)
{
    auto worker = SingleWorker(test::shortStep(1));
    worker.startRun();
    auto job = test::oneStepJob("a", test::shortStep(8));
    job.team = TeamName("red");
    job.teamLimit = {3'000, 0, 0};
    const auto actions = worker.step(steward_event::JobAccepted{job, {}, false});
    const auto isOfTeam = [](const auto &it) {
        const auto *start = std::get_if<steward_action::StartRun>(&it);
        return start != nullptr && start->task.job == "a";
    };
    EXPECT_EQ(std::ranges::count_if(actions, isOfTeam), 3);
}

TEST(Steward, StartsNothingInAClosedDataCentreOrOnALeavingWorker)
{
    auto fleet = FakeFleet(2);
    const auto steward = fleet.addSteward();
    fleet.run(500ms);
    auto leaving = test::workerReport(1);
    leaving.isLeaving = true;
    leaving.dataCentre = DataCentreName("south");
    fleet.send(steward, steward_event::WorkerReported{leaving});
    fleet.send(steward, steward_event::DataCentresClosed{{DataCentreName("north")}});
    fleet.addJob(test::oneStepJob("a", test::shortStep(4)));
    fleet.run(1s);
    EXPECT_EQ(fleet.starts, 0U);
    fleet.send(steward, steward_event::DataCentresClosed{{}});
    fleet.run(3s);
    EXPECT_EQ(fleet.outcome("a"), JobOutcome::Completed);
}

// Orders whose answer is lost, that are delayed or never sent, an unresponsive worker, and a
// steward that is replaced, killed or not.
RC_GTEST_PROP(StewardUnderFaults, RunsNothingTwiceAndFinishesAll,
              (const std::vector<std::uint8_t> &numbers, std::uint8_t change, std::uint8_t worker,
               bool isKilled))
{
    auto fleet = FakeFleet(3);
    const auto first = fleet.addSteward();
    fleet.deliveries = toDeliveries(numbers);
    fleet.fails = [](const JobTaskId &task) { return task.index % 7 == 3 && task.job == "b"; };
    fleet.addJob(test::oneStepJob("a", test::shortStep(12)));
    fleet.addJob(test::oneStepJob("b", test::shortStep(5)));
    fleet.addJob(test::oneStepJob("c", test::longRunningStep(2)));
    fleet.run(std::chrono::milliseconds(50 * (change % 32)));
    fleet.makeUnresponsive(worker % 3, std::chrono::milliseconds(100 * (worker / 3 % 30)));
    if (isKilled)
        fleet.killSteward(first);
    fleet.addSteward();
    fleet.run(40s);
    RC_ASSERT(fleet.violations == std::vector<std::string>());
    RC_ASSERT(fleet.outcome("a") == JobOutcome::Completed);
    RC_ASSERT(fleet.outcome("b") == JobOutcome::Failed);
    RC_ASSERT(fleet.activeRuns("c") == 2U);
}

// Workers that start whatever they are told to, and more tasks than fit on them. Jobs are cancelled
// while their runs start, and stewards replace each other.
RC_GTEST_PROP(StewardUnderFaults, NeverExceedsTheCapacityOfWorkersThatDoNotGuardIt,
              (const std::vector<std::uint8_t> &numbers, std::uint8_t change, std::uint8_t worker,
               bool isKilled))
{
    auto fleet = FakeFleet(3);
    fleet.isCapacityGuarded = false;
    const auto first = fleet.addSteward();
    fleet.deliveries = toDeliveries(numbers);
    fleet.addJob(test::oneStepJob("a", test::shortStep(60)));
    auto large = test::shortStep(6);
    large.resources = {6'000, 9'000, 0};
    fleet.addJob(test::oneStepJob("b", large));
    fleet.addJob(test::oneStepJob("c", test::longRunningStep(2)));
    fleet.run(std::chrono::milliseconds(50 * (change % 32)));
    fleet.makeUnresponsive(worker % 3, std::chrono::milliseconds(100 * (worker / 3 % 30)));
    fleet.send(first, steward_event::JobCancelled{"a"});
    if (isKilled)
        fleet.killSteward(first);
    fleet.send(fleet.addSteward(), steward_event::JobCancelled{"a"});
    fleet.run(40s);
    RC_ASSERT(fleet.violations == std::vector<std::string>());
    RC_ASSERT(fleet.outcome("b") == JobOutcome::Completed);
    RC_ASSERT(fleet.activeRuns("c") == 2U);
}

// The run of a cancelled job completed before it was stopped: the job was shown as completed, and
// the steward kept it twice among the ended jobs.
TEST(Steward, KeepsACancelledJobCancelledWhenItsRunCompletes)
{
    auto single = SingleWorker(test::shortStep(1));
    const auto run = single.startRun();
    single.step(steward_event::JobCancelled{"job"});
    single.poll({}, {{1, single.task, run, RunEnd::Done, {}}});
    const auto record = single.steward.record("job");
    ASSERT_TRUE(record.has_value());
    EXPECT_EQ(record->progress.state(), JobOutcome::Cancelled);
    single.step(steward_event::ProgressPersisted{"job", record->change});
    EXPECT_EQ(single.steward.evictEnded(single.now + 1s, 10), std::vector<std::string>{"job"});
}

} // namespace

} // namespace shallotproxy
