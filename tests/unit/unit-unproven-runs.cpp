#include <gtest/gtest.h>

#include "fake_fleet.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;
using test::Delivery;
using test::FakeFleet;

const auto firstTask = JobTaskId{"job", 0, 0, 0};

/// Three idle workers are cut off one after the other, each before a task is ordered there, and
/// restart behind the cut. The steward is replaced after this many of them.
auto runBehindCuts(FakeFleet &fleet, const StepSpec &step, int cutsBeforeTakeover) -> void
{
    constexpr auto Cuts = 3;
    auto steward = fleet.addSteward();
    fleet.run(5s);
    for (auto n = 0; n < Cuts; ++n) {
        fleet.restartBehindCut(n, 4s);
        fleet.run(1s);
        if (n == 0)
            fleet.addJob(test::oneStepJob("job", step));
        fleet.run(2s);
        if (n + 1 == cutsBeforeTakeover) {
            fleet.killSteward(steward);
            steward = fleet.addSteward();
        }
    }
    fleet.run(30s);
    EXPECT_EQ(fleet.violations, std::vector<std::string>());
}

// A job whose task no worker had started was shown as failed (review/11).
TEST(UnprovenRuns, AreNotHeldAgainstAFiniteTask)
{
    for (auto n = 0; n <= 3; ++n) {
        auto fleet = FakeFleet(12);
        runBehindCuts(fleet, test::shortStep(1), n);
        EXPECT_EQ(fleet.outcome("job"), JobOutcome::Completed) << n;
    }
}

// A long-running task was given up in the same way, and didn't run again while its job went on.
TEST(UnprovenRuns, AreNotHeldAgainstALongRunningTask)
{
    for (auto n = 0; n <= 3; ++n) {
        auto fleet = FakeFleet(12);
        runBehindCuts(fleet, test::longRunningStep(2), n);
        EXPECT_EQ(fleet.activeRuns("job"), 2U) << n;
    }
}

/// Workers that have just answered are cut off while the start order of a task is on its way, this
/// many times in a row. Those that run other tasks are polled all the time.
auto expectStartedAfterCuts(const StepSpec &step, int cuts, bool doStewardsDie)
{
    SCOPED_TRACE(doStewardsDie);
    auto fleet = FakeFleet(12);
    auto left = cuts;
    fleet.isCutOffWithOrder = [&left](const JobTaskId &it) {
        return it == firstTask && left-- > 0;
    };
    auto steward = fleet.addSteward();
    fleet.addJob(test::oneStepJob("beside", test::longRunningStep(12)));
    fleet.run(5s);
    fleet.addJob(test::oneStepJob("job", step));
    auto seen = cuts;
    while (left > 0) {
        fleet.run(100ms);
        if (!doStewardsDie || left == seen)
            continue;
        seen = left;
        fleet.run(1s);
        fleet.killSteward(steward);
        steward = fleet.addSteward();
    }
    fleet.run(30s);
    if (step.isLongRunning) {
        EXPECT_EQ(fleet.activeRuns("job"), step.taskCount);
    } else {
        EXPECT_EQ(fleet.outcome("job"), JobOutcome::Completed);
    }
    EXPECT_EQ(fleet.activeRuns("beside"), 12U);
    EXPECT_EQ(fleet.violations, std::vector<std::string>());
}

// Four orders were lost in cuts that began a moment before they arrived. That the workers had just
// answered was taken for proof that they had received them, and the job was shown as failed.
TEST(UnprovenRuns, AreNotHeldAgainstATaskWhoseOrdersWereLostInCuts)
{
    for (const auto doStewardsDie : {false, true}) {
        expectStartedAfterCuts(test::shortStep(1), 4, doStewardsDie);
        expectStartedAfterCuts(test::longRunningStep(2), 4, doStewardsDie);
    }
}

// A busy steward reads that an order was never sent after it has learned of the worker's end.
TEST(UnprovenRuns, AreForgottenOnceTheirOrderIsKnownNotToHaveBeenSent)
{
    auto fleet = FakeFleet(4);
    fleet.addSteward();
    fleet.run(1s);
    fleet.deliveries = {Delivery::NotSent};
    fleet.startAnswerDelay = 700ms;
    fleet.addJob(test::oneStepJob("job", test::shortStep(1)));
    fleet.endWorkers({0, 1, 2, 3});
    fleet.run(650ms);
    EXPECT_EQ(fleet.recordedCrashes("job"), 1U);
    fleet.run(1s);
    EXPECT_EQ(fleet.recordedCrashes("job"), 0U);
    fleet.run(20s);
    EXPECT_EQ(fleet.outcome("job"), JobOutcome::Completed);
    EXPECT_EQ(fleet.violations, std::vector<std::string>());
}

/// A task ends each worker that starts it, before the answer to its start arrives. The workers
/// refuse connections then, or are silent.
auto expectGivenUp(const StepSpec &step, bool doStewardsDie, bool areEndsSilent)
{
    auto fleet = FakeFleet(12);
    fleet.areEndsSilent = areEndsSilent;
    fleet.crashesWorker = [](const JobTaskId &it) { return it == firstTask; };
    auto steward = fleet.addSteward();
    fleet.run(5s);
    fleet.deliveries.assign(20, Delivery::ReplyLost);
    fleet.addJob(test::oneStepJob("job", step));
    auto seen = std::uint32_t{0};
    for (auto n = 0; n < 600 && fleet.outcome("job") == JobOutcome::Open; ++n) {
        fleet.run(100ms);
        if (!doStewardsDie || fleet.crashes(firstTask) == seen)
            continue;
        seen = fleet.crashes(firstTask);
        fleet.run(FakeFleet::EndReportDelay + 300ms);
        fleet.killSteward(steward);
        steward = fleet.addSteward();
    }
    EXPECT_EQ(fleet.outcome("job"), JobOutcome::Failed);
    EXPECT_LE(fleet.crashes(firstTask), 5U);
    EXPECT_EQ(fleet.violations, std::vector<std::string>());
}

// Such a task must still be found: its next runs are tested on workers that are known to be there.
TEST(UnprovenRuns, AreFollowedByTestsOnWorkersInTouch)
{
    for (const auto doStewardsDie : {false, true}) {
        expectGivenUp(test::shortStep(1), doStewardsDie, false);
        expectGivenUp(test::longRunningStep(1), doStewardsDie, false);
    }
}

// The same for a task that takes the hosts of its workers down: silence proves little, but isn't
// chance time after time.
TEST(UnprovenRuns, AreComparedWithChanceIfTheirWorkersAreSilent)
{
    for (const auto doStewardsDie : {false, true}) {
        expectGivenUp(test::shortStep(1), doStewardsDie, true);
        expectGivenUp(test::longRunningStep(1), doStewardsDie, true);
    }
}

} // namespace

} // namespace shallotproxy
