#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "single_worker.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;
using test::FakeFleet;

constexpr Resources Limit{10'000, 8'000, 8};
constexpr Resources MoreThanHalf{6'000, 5'000, 5};

auto taskOf(std::uint32_t count, const Resources &resources) -> StepSpec
{
    auto step = test::shortStep(count);
    step.resources = resources;
    return step;
}

auto longRunningTaskOf(const Resources &resources) -> StepSpec
{
    auto step = test::longRunningStep(1);
    step.resources = resources;
    return step;
}

auto rulesWith(const Resources &limit) -> std::shared_ptr<const SchedulingRules>
{
    auto rules = *test::testRules(3);
    rules.teams[TeamName("blue")].limit = limit;
    return std::make_shared<const SchedulingRules>(std::move(rules));
}

/// Runs a long-running task of the team, lowers its limit to `limit`, and submits the finite tasks.
/// Returns what became of their job.
auto outcomeAfterLowering(const Resources &longRunning, const Resources &limit,
                          const StepSpec &finite, bool isTakenOver) -> JobOutcome
{
    auto fleet = FakeFleet(4);
    auto steward = fleet.addSteward();
    fleet.teamLimit = limit;
    fleet.run(1s);
    fleet.addJob(test::oneStepJob("long", longRunningTaskOf(longRunning)));
    fleet.run(1s);
    EXPECT_EQ(fleet.activeRuns("long"), 1U);
    fleet.send(steward, steward_event::RulesChanged{rulesWith(limit)});
    fleet.addJob(test::oneStepJob("finite", finite));
    if (isTakenOver) {
        fleet.killSteward(steward);
        steward = fleet.addSteward();
    }
    for (const auto end = fleet.now() + 20s; fleet.now() < end; fleet.run(FakeFleet::Step))
        EXPECT_LE(fleet.activeRuns("finite"), 1U);
    EXPECT_EQ(fleet.activeRuns("long"), 1U);
    EXPECT_EQ(fleet.violations, std::vector<std::string>());
    return fleet.outcome("finite");
}

// A limit that was lowered below a long-running task and a waiting one kept the latter from
// starting for good (review/14).
TEST(TeamLimits, LetATaskStartThatDoesNotFitBesideALongRunningOne)
{
    for (const auto isTakenOver : {false, true}) {
        EXPECT_EQ(outcomeAfterLowering({4'500, 500, 0}, {10'000, 0, 0}, taskOf(3, {6'000, 500, 0}),
                                       isTakenOver),
                  JobOutcome::Completed);
        EXPECT_EQ(outcomeAfterLowering({500, 3'500, 0}, {0, 8'000, 0}, taskOf(3, {500, 5'000, 0}),
                                       isTakenOver),
                  JobOutcome::Completed);
    }
}

// The same for a task that has more than half of the limit beside it, as long as the limit holds.
TEST(TeamLimits, LetAFiniteTaskStartBesideAnyLongRunningOneWithinTheLimit)
{
    EXPECT_EQ(
        outcomeAfterLowering({6'000, 500, 0}, {7'000, 0, 0}, taskOf(2, {5'000, 500, 0}), false),
        JobOutcome::Completed);
    EXPECT_EQ(
        outcomeAfterLowering({6'000, 500, 0}, {5'000, 0, 0}, taskOf(2, {1'000, 500, 0}), false),
        JobOutcome::Open);
}

// A task that was larger than the limit by itself was accepted and never started.
TEST(TeamLimits, LetTasksLargerThanTheLimitStartOneAfterTheOther)
{
    auto fleet = FakeFleet(4);
    fleet.teamLimit = {3'000, 0, 0};
    fleet.addSteward();
    fleet.run(1s);
    fleet.addJob(test::oneStepJob("large", taskOf(3, {6'000, 500, 0})));
    for (const auto end = fleet.now() + 10s; fleet.now() < end; fleet.run(FakeFleet::Step))
        EXPECT_LE(fleet.activeRuns("large"), 1U);
    EXPECT_EQ(fleet.outcome("large"), JobOutcome::Completed);
}

// Runs of an earlier steward that are still unknown count.
TEST(TeamLimits, CountUnknownRunsAgainstATaskLargerThanTheLimit)
{
    auto worker = test::SingleWorker(taskOf(2, {6'000, 500, 0}));
    worker.step(steward_event::RulesChanged{rulesWith({5'000, 0, 0})});
    worker.step(steward_event::WorkerReported{test::workerReport(1)});
    worker.steward.expectWorkers({test::workerName(0), test::workerName(1)});
    const auto isStart = [](const StewardAction &it) {
        return std::holds_alternative<steward_action::StartRun>(it);
    };
    EXPECT_TRUE(std::ranges::none_of(worker.poll({}, {}), isStart));
    EXPECT_EQ(std::ranges::count_if(worker.tick(StewardSettings().recoveryTimeout), isStart), 1);
}

// Smaller tasks of the team kept its use so high that a larger one never started.
TEST(TeamLimits, BoundHowLongSmallTasksPassALargeOneBy)
{
    constexpr auto MaxWait = 30s;
    auto fleet = FakeFleet(4);
    fleet.teamLimit = {10'000, 0, 0};
    fleet.runTime = 700ms;
    fleet.addSteward();
    fleet.run(1s);
    auto number = 0;
    const auto addSmall = [&fleet, &number] {
        fleet.addJob(test::oneStepJob(std::to_string(++number), test::shortStep(1)));
        fleet.run(FakeFleet::Step);
    };
    while (number < 20)
        addSmall();
    fleet.addJob(test::oneStepJob("large", taskOf(1, {8'000, 500, 0})));
    const auto begin = fleet.now();
    while (fleet.outcome("large") == JobOutcome::Open && fleet.now() < begin + MaxWait)
        addSmall();
    EXPECT_EQ(fleet.outcome("large"), JobOutcome::Completed);
    fleet.run(MaxWait);
    EXPECT_EQ(fleet.outcome(std::to_string(number)), JobOutcome::Completed);
}

// A long-running task that can't start however many runs end must not hold the others back.
TEST(TeamLimits, HoldNothingBackForATaskThatCannotStart)
{
    auto fleet = FakeFleet(4);
    fleet.teamLimit = {7'000, 0, 0};
    fleet.addSteward();
    fleet.run(1s);
    for (const auto *id : {"first", "second"})
        fleet.addJob(test::oneStepJob(id, longRunningTaskOf({5'000, 500, 0})));
    fleet.run(10s);
    EXPECT_EQ(fleet.activeRuns("first") + fleet.activeRuns("second"), 1U);
    fleet.addJob(test::oneStepJob("finite", test::shortStep(4)));
    fleet.run(5s);
    EXPECT_EQ(fleet.outcome("finite"), JobOutcome::Completed);
}

// What starts is also what admission takes for work that waits for room.
TEST(TeamLimits, AreTheSameForAdmission)
{
    auto fleet = FakeFleet(1);
    fleet.teamLimit = {5'000, 0, 0};
    fleet.runTime = 5s;
    const auto steward = fleet.addSteward();
    fleet.run(1s);
    auto other = test::oneStepJob("other", taskOf(2, {4'000, 500, 0}));
    other.team = TeamName("red");
    fleet.addJob(other);
    fleet.run(1s);
    auto large = taskOf(1, {8'000, 500, 0});
    large.estimatedMilliseconds = 5'000;
    fleet.addJob(test::oneStepJob("large", large));
    fleet.run(200ms);
    EXPECT_EQ(fleet.activeRuns("large"), 0U);
    EXPECT_FALSE(fleet.steward(steward).admissionOutlook({}).isEmpty());
}

auto anyResources() -> rc::Gen<Resources>
{
    const auto amount = rc::gen::inRange<std::int64_t>(0, 12);
    return rc::gen::construct<Resources>(amount, amount, amount);
}

// The sum of the runs exceeds the limit by less than one task, and whoever uses less than half of
// it may start any task.
RC_GTEST_PROP(TeamLimits, AreExceededByOneTaskAtMost, (bool isLongRunning))
{
    const auto limit = *anyResources();
    auto usage = TeamLoad();
    usage.longRunning = *anyResources();
    usage.total = usage.longRunning + *anyResources();
    const auto task = *anyResources();
    const auto mayStart = isWithinLimit(usage, task, isLongRunning, limit);
    auto isUnderHalf = true;
    for (const auto resource :
         {&Resources::milliCores, &Resources::memoryMegabytes, &Resources::accelerators}) {
        if (limit.*resource == 0)
            continue;
        if (mayStart && task.*resource > 0)
            RC_ASSERT((usage.total.*resource <= limit.*resource));
        isUnderHalf = isUnderHalf && usage.total.*resource * 2 < limit.*resource;
    }
    if (isUnderHalf)
        RC_ASSERT(mayStart);
}

TEST(TeamLimits, HoldForEachResource)
{
    for (const auto resource :
         {&Resources::milliCores, &Resources::memoryMegabytes, &Resources::accelerators}) {
        auto task = Resources();
        task.*resource = MoreThanHalf.*resource;
        auto usage = TeamLoad();
        EXPECT_TRUE(isWithinLimit(usage, task, true, Limit));
        usage.total = task;
        EXPECT_FALSE(isWithinLimit(usage, task, true, Limit));
        EXPECT_FALSE(isWithinLimit(usage, task, false, Limit));
        usage.longRunning = task;
        EXPECT_FALSE(isWithinLimit(usage, task, true, Limit));
        EXPECT_TRUE(isWithinLimit(usage, task, false, Limit));
    }
}

} // namespace

} // namespace shallotproxy
