#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "job_world.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;
using test::Delivery;
using test::JobWorld;

auto toDeliveries(const std::vector<std::uint8_t> &numbers) -> std::deque<Delivery>
{
    auto deliveries = std::deque<Delivery>();
    for (const auto number : numbers)
        deliveries.push_back(number % 8 < 4 ? Delivery::Delivered : static_cast<Delivery>(number % 4));
    return deliveries;
}

/// The first order of this kind among the actions.
template <typename T>
auto firstOf(const Steward::Actions &actions) -> const T *
{
    for (const auto &it : actions) {
        if (const auto *found = std::get_if<T>(&it))
            return found;
    }
    return nullptr;
}

/// One steward with one worker that has been asked, driven event by event.
class SingleWorker
{
public:
    explicit SingleWorker(StepSpec step, std::uint32_t attempts = 2)
        : steward(7, StewardSettings(), now)
    {
        steward.step(steward_event::Ticked{1'000'000}, now);
        steward.step(steward_event::RulesChanged{test::testRules(attempts)}, now);
        steward.step(steward_event::JobAccepted{test::oneStepJob("job", std::move(step)), {}, true},
                     now);
        steward.step(steward_event::WorkerReported{test::workerReport(0)}, now);
    }

    auto look(std::vector<ActiveRun> active, std::vector<EndedRun> ended) -> Steward::Actions
    {
        auto event = steward_event::WorkerPolled();
        event.worker = test::workerName(0);
        event.sentAt = now;
        event.clockMilliseconds = 5'000;
        event.startedMilliseconds = 1;
        event.active = std::move(active);
        event.ended = std::move(ended);
        now += 2ms;
        return step(event);
    }

    /// The first look, and the number of the run that begins then; 0 if none does.
    auto startRun() -> std::uint64_t
    {
        steward.expectWorkers({test::workerName(0)});
        const auto actions = look({}, {});
        const auto *start = firstOf<steward_action::StartRun>(actions);
        return start == nullptr ? 0 : start->run;
    }

    /// The event, and the placement that it asks for.
    auto step(const StewardEvent &event) -> Steward::Actions
    {
        auto actions = steward.step(event, now);
        for (const auto &it : steward.step(steward_event::PlacementDue(), now))
            actions.push_back(it);
        return actions;
    }

    auto tick(Duration time) -> Steward::Actions
    {
        now += time;
        return step(steward_event::Ticked{1'000'000});
    }

    BootTime now{1h};
    Steward steward;
    const JobTaskId task{"job", 0, 0, 0};
};

TEST(Steward, TakesAJobToItsEnd)
{
    auto world = JobWorld(3);
    world.addSteward();
    world.addJob(test::oneStepJob("a", test::shortStep(20)));
    world.run(5s);
    EXPECT_EQ(world.outcome("a"), JobOutcome::Completed);
    EXPECT_EQ(world.starts, 20U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

TEST(Steward, TellsCompletedOnlyOnceThatIsKept)
{
    auto world = JobWorld(3);
    const auto steward = world.addSteward();
    world.isStoreUp = false;
    world.addJob(test::oneStepJob("a", test::shortStep(2)));
    world.run(3s);
    EXPECT_EQ(world.steward(steward).view("a").state, JobState::Running);
    world.isStoreUp = true;
    world.run(1s);
    EXPECT_EQ(world.steward(steward).view("a").state, JobState::Completed);
}

TEST(Steward, FailsAJobAfterItsLastAttempt)
{
    auto world = JobWorld(3, 2);
    world.fails = [](const JobTaskId &task) { return task.index == 1; };
    world.addSteward();
    world.addJob(test::oneStepJob("a", test::shortStep(3)));
    world.run(8s);
    EXPECT_EQ(world.outcome("a"), JobOutcome::Failed);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// Found on blyglass trouble-1: a run taken over had no lease in the books, so that the next tick
// took it for ended.
TEST(Steward, DoesNotStartAgainWhatItTookOver)
{
    auto world = JobWorld(3);
    const auto first = world.addSteward();
    world.addJob(test::oneStepJob("a", test::longRunningStep(3)));
    world.run(2s);
    world.killSteward(first);
    world.addSteward();
    world.run(3s);
    EXPECT_EQ(world.starts, 3U);
    EXPECT_EQ(world.activeRuns("a"), 3U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// Found on kragenwerk trouble-1, seed 496499798819.
TEST(Steward, DoesNotTakeAFailedRunForTheNewestOne)
{
    auto single = SingleWorker(test::shortStep(1));
    single.steward.step(steward_event::WorkerReported{test::workerReport(1)}, single.now);
    single.steward.expectWorkers({test::workerName(0), test::workerName(1)});
    const auto actions = single.look({}, {{1, single.task, 3'001, RunEnd::Failed, {}}});
    // The second worker, not asked yet, may have run 3002.
    EXPECT_EQ(firstOf<steward_action::StartRun>(actions), nullptr);
}

// Found on kragenwerk trouble-2: a crashed worker was still registered.
TEST(Steward, EndsItsRecoveryWithoutWorkersOfHostsThatAreDown)
{
    auto single = SingleWorker(test::shortStep(1));
    single.steward.step(steward_event::WorkerReported{test::workerReport(1)}, single.now);
    single.steward.expectWorkers({test::workerName(0)});
    const auto actions = single.look({}, {});
    EXPECT_FALSE(single.steward.isRecovering());
    EXPECT_NE(firstOf<steward_action::StartRun>(actions), nullptr);
}

// Found on blyglass scale-1, seed 1098906904560.
TEST(Steward, CountsFailuresThatAreToldOutOfOrder)
{
    auto single = SingleWorker(test::shortStep(1), 2);
    single.look(
        {},
        {{1, single.task, 3'002, RunEnd::Failed, {}}, {2, single.task, 3'001, RunEnd::Failed, {}}});
    const auto record = single.steward.record("job");
    ASSERT_TRUE(record.has_value());
    EXPECT_EQ(record->progress.state(), JobOutcome::Failed);
}

// Found on blyglass trouble-2, seed 238498417874: the run had been carried out without an answer
// and had ended when the order was sent again.
TEST(Steward, WaitsForTheEndOfARunThatIsRefusedAsOld)
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
    single.look({}, {{1, single.task, run, RunEnd::Done, {}}});
    EXPECT_EQ(single.steward.record("job")->progress.state(), JobOutcome::Completed);
}

// Found on grown blyglass trouble-1, seed 581850572145: a steward without the time to look at its
// workers took their leases for ended, and began what had ended done 5 s before.
TEST(Steward, DoesNotTakeAWorkerThatItCouldNotLookAtForSilent)
{
    auto single = SingleWorker(test::shortStep(1));
    const auto run = single.startRun();
    ASSERT_NE(run, 0U);
    single.step(steward_event::StartAnswered{test::workerName(0), single.task, run,
                                             OrderOutcome::Accepted, 5'000});
    for (auto n = 0; n < 10; ++n)
        EXPECT_EQ(firstOf<steward_action::StartRun>(single.tick(1s)), nullptr);
    single.look({}, {{1, single.task, run, RunEnd::Done, {}}});
    EXPECT_EQ(single.steward.record("job")->progress.state(), JobOutcome::Completed);
}

// Found on kragenwerk hunt-cfb8-7: each look at a silent worker was taken to renew its lease.
TEST(Steward, RunsALastingTaskElsewhereOnceItsSilentWorkersLeaseHasEnded)
{
    auto world = JobWorld(3);
    world.addSteward();
    world.addJob(test::oneStepJob("a", test::longRunningStep(1)));
    world.run(2s);
    for (auto n = 0; n < 3; ++n) {
        if (world.activeRuns("a") == 1)
            world.makeUnresponsive(0, 1h);
    }
    world.crash(0);
    world.run(10s);
    EXPECT_EQ(world.activeRuns("a"), 1U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// Found on blyglass hunt-9db6-7: a task that wasn't seen at work was ended freely.
TEST(Steward, EndsNoLastingTaskWhileAnotherOfItsStepMayBeAway)
{
    auto world = JobWorld(4);
    const auto steward = world.addSteward();
    world.addJob(test::oneStepJob("a", test::longRunningStep(3)));
    world.run(4s);
    // Two of the three can't be seen; vacating the third's worker has to wait.
    world.makeUnresponsive(0, 2s);
    world.makeUnresponsive(1, 2s);
    world.run(1s);
    for (auto n = 0; n < 4; ++n)
        world.send(steward, steward_event::WorkerDrainChanged{test::workerName(n), n >= 2});
    world.run(500ms);
    EXPECT_EQ(world.activeRuns("a"), 3U);
}

// Found on blyglass fresh-f370: a task that the steward before was ending still seemed at work.
TEST(Steward, EndsNoLastingTaskRightAfterItBegan)
{
    auto world = JobWorld(4);
    const auto first = world.addSteward();
    world.addJob(test::oneStepJob("a", test::longRunningStep(3)));
    world.run(4s);
    world.killSteward(first);
    const auto second = world.addSteward();
    world.run(300ms);
    world.send(second, steward_event::WorkerDrainChanged{test::workerName(0), true});
    world.run(600ms);
    EXPECT_EQ(world.activeRuns("a"), 3U);
    EXPECT_EQ(world.starts, 3U);
}

// Found on blyglass scale-1: a host went to standby with ends that only it still told.
TEST(Steward, TellsOfEndsThatAreNotKept)
{
    auto world = JobWorld(1);
    const auto steward = world.addSteward();
    world.isStoreUp = false;
    world.addJob(test::oneStepJob("a", test::shortStep(1)));
    world.run(2s);
    EXPECT_TRUE(world.steward(steward).workerLoad(test::workerName(0))->hasUnpersistedEnds);
    world.isStoreUp = true;
    world.run(2s);
    EXPECT_FALSE(world.steward(steward).workerLoad(test::workerName(0))->hasUnpersistedEnds);
}

TEST(Steward, ForgetsEndedJobsOnceTheyAreOldAndKept)
{
    auto world = JobWorld(1);
    const auto steward = world.addSteward();
    world.addJob(test::oneStepJob("a", test::shortStep(1)));
    world.addJob(test::oneStepJob("b", test::longRunningStep(1)));
    world.run(3s);
    EXPECT_TRUE(world.steward(steward).evictEnded(999'999, 10).empty());
    EXPECT_EQ(world.steward(steward).evictEnded(1'000'001, 10), std::vector<std::string>{"a"});
    EXPECT_EQ(world.steward(steward).view("a").state, JobState::Unknown);
    EXPECT_EQ(world.steward(steward).view("b").state, JobState::Running);
}

// A neighbour that serves users comes near its target while another task fills the worker.
TEST(Steward, SlowsTasksOnSpareCoresBesideOneThatServes)
{
    auto serving = test::longRunningStep(1);
    serving.latencyTargetMilliseconds = 100;
    auto single = SingleWorker(serving);
    auto filling = test::oneStepJob("fill", test::longRunningStep(1));
    filling.steps[0].usesSpareCores = true;
    single.steward.step(steward_event::JobAccepted{filling, {}, true}, single.now);
    const auto fill = JobTaskId{"fill", 0, 0, 0};
    single.look({{single.task, 5, {}, 100, 20}, {fill, 5, {}, 100, 900}}, {});
    const auto actions = single.look({{single.task, 5, {}, 100, 130}, {fill, 5, {}, 100, 900}}, {});
    const auto *pace = firstOf<steward_action::SetRunSpeed>(actions);
    ASSERT_NE(pace, nullptr);
    EXPECT_EQ(pace->task, fill);
    EXPECT_EQ(pace->speedPercent, 0);
}

// Found on blyglass hunt-4405-23: a host was maintained before its worker had been asked.
TEST(Steward, TakesNoWorkerForIdleThatItHasNotAsked)
{
    auto single = SingleWorker(test::shortStep(1));
    single.step(steward_event::WorkerDrainChanged{test::workerName(0), true});
    auto report = HostReport();
    report.state = HostState::Up;
    const auto before = single.steward.workerLoad(test::workerName(0));
    ASSERT_TRUE(before.has_value());
    EXPECT_FALSE(viewOf(report, before, false).isIdle());
    single.look({}, {});
    const auto after = single.steward.workerLoad(test::workerName(0));
    EXPECT_TRUE(viewOf(report, after, false).isIdle());
}

TEST(Steward, MakesRoomForLastingTasksInAFullPool)
{
    auto world = JobWorld(2);
    world.addSteward();
    auto step = test::shortStep(400);
    step.savesProgress = true;
    world.addJob(test::oneStepJob("many", step));
    world.run(500ms);
    auto lasting = test::longRunningStep(2);
    lasting.resources.milliCores = 6'000;
    world.addJob(test::oneStepJob("lasts", lasting));
    world.run(4s);
    EXPECT_EQ(world.activeRuns("lasts"), 2U);
    EXPECT_EQ(world.violations, std::vector<std::string>());
}

// Found on kragenwerk quiet-1, seed 383730584827: room was made, again and again, on the worker
// that already ran another task of the step.
TEST(Steward, MakesRoomOnlyWhereTheTaskMayRun)
{
    auto world = JobWorld(2);
    const auto steward = world.addSteward();
    world.runTime = 1h;
    // The second worker is full of runs of which two would have to end.
    world.send(steward, steward_event::WorkerDrainChanged{test::workerName(0), true});
    world.addJob(test::oneStepJob("small", test::shortStep(8)));
    world.run(200ms);
    // The first has a task of the step, and one run whose end would be room enough.
    world.send(steward, steward_event::WorkerDrainChanged{test::workerName(0), false});
    auto lasting = test::longRunningStep(2);
    lasting.resources.milliCores = 2'000;
    world.addJob(test::oneStepJob("lasts", lasting));
    auto large = test::shortStep(1);
    large.resources.milliCores = 6'000;
    world.addJob(test::oneStepJob("large", large));
    world.run(4s);
    EXPECT_EQ(world.activeRuns("lasts"), 2U);
    EXPECT_EQ(world.activeRuns("large"), 1U);
    EXPECT_EQ(world.starts,
              11U); // eight small, one large, two lasting: the large one never stopped
    EXPECT_EQ(world.violations, std::vector<std::string>());
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
    auto look = steward_event::WorkerPolled();
    look.worker = test::workerName(0);
    look.clockMilliseconds = 1;
    steward.step(look, now);
    steward.step(steward_event::JobAccepted{test::oneStepJob("a", test::shortStep(8)), {}, false},
                 now);
    const auto actions = steward.step(steward_event::PlacementDue(), now);
    EXPECT_EQ(std::ranges::count_if(actions,
                                    [](const auto &it) {
                                        return std::holds_alternative<steward_action::StartRun>(it);
                                    }),
              3);
}

TEST(Steward, StartsNothingInAClosedDataCentreOrOnALeavingWorker)
{
    auto world = JobWorld(2);
    const auto steward = world.addSteward();
    world.run(500ms);
    auto leaving = test::workerReport(1);
    leaving.isLeaving = true;
    leaving.dataCentre = DataCentreName("south");
    world.send(steward, steward_event::WorkerReported{leaving});
    world.send(steward, steward_event::DataCentresClosed{{DataCentreName("north")}});
    world.addJob(test::oneStepJob("a", test::shortStep(4)));
    world.run(1s);
    EXPECT_EQ(world.starts, 0U);
    world.send(steward, steward_event::DataCentresClosed{{}});
    world.run(3s);
    EXPECT_EQ(world.outcome("a"), JobOutcome::Completed);
}

// Orders that are lost, late or answered late, workers that begin again, and a steward that is
// replaced while it goes on.
RC_GTEST_PROP(StewardUnderFaults, RunsNothingTwiceAndFinishesAll,
              (const std::vector<std::uint8_t> &numbers, std::uint8_t change, std::uint8_t worker,
               bool isKilled))
{
    auto world = JobWorld(3);
    const auto first = world.addSteward();
    world.deliveries = toDeliveries(numbers);
    world.fails = [](const JobTaskId &task) { return task.index % 7 == 3 && task.job == "b"; };
    world.addJob(test::oneStepJob("a", test::shortStep(12)));
    world.addJob(test::oneStepJob("b", test::shortStep(5)));
    world.addJob(test::oneStepJob("c", test::longRunningStep(2)));
    world.run(std::chrono::milliseconds(50 * (change % 32)));
    world.makeUnresponsive(worker % 3, std::chrono::milliseconds(100 * (worker / 3 % 30)));
    if (isKilled)
        world.killSteward(first);
    world.addSteward();
    world.run(40s);
    RC_ASSERT(world.violations == std::vector<std::string>());
    RC_ASSERT(world.outcome("a") == JobOutcome::Completed);
    RC_ASSERT(world.outcome("b") == JobOutcome::Failed);
    RC_ASSERT(world.activeRuns("c") == 2U);
}

} // namespace

} // namespace shallotproxy
