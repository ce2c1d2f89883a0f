#include <gtest/gtest.h>

#include "fake_fleet.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;
using test::FakeFleet;

const auto firstTask = JobTaskId{"job", 0, 0, 0};

// A worker was cut off under a run that it had confirmed, and restarted behind the cut. A
// connection that couldn't be opened meanwhile made a crash of it. The next steward concluded the
// same.
TEST(SilentRestarts, AreNotHeldAgainstTheRunsThatAreLost)
{
    for (const auto doStewardsDie : {false, true}) {
        SCOPED_TRACE(doStewardsDie);
        auto fleet = FakeFleet(8);
        auto steward = fleet.addSteward();
        fleet.run(1s);
        fleet.addJob(test::oneStepJob("job", test::longRunningStep(1)));
        for (auto n = 0; n < 4; ++n) {
            fleet.run(6s);
            fleet.restartBehindCutOf("job", FakeFleet::CutTime);
            fleet.run(3s);
            if (doStewardsDie) {
                fleet.killSteward(steward);
                steward = fleet.addSteward();
            }
            fleet.run(3s);
            EXPECT_EQ(fleet.recordedCrashes("job"), 0U) << n;
        }
        fleet.run(15s);
        EXPECT_EQ(fleet.activeRuns("job"), 1U);
        EXPECT_EQ(fleet.violations, std::vector<std::string>());
    }
}

// The steward records what the end of a suspect's worker would prove, and dies while the worker is
// cut off. Its successor held the restart behind the cut against the suspect.
TEST(SilentRestarts, AreNotHeldAgainstASuspectByTheNextSteward)
{
    auto fleet = FakeFleet(8);
    const auto steward = fleet.addSteward();
    fleet.run(1s);
    fleet.addJob(test::oneStepJob("job", test::longRunningStep(1)));
    for (auto n = 0; n < 2; ++n) {
        fleet.run(2s);
        fleet.endWorkersOf("job");
    }
    fleet.run(4s);
    ASSERT_EQ(fleet.recordedCrashes("job"), 2U);
    fleet.restartBehindCutOf("job", FakeFleet::CutTime);
    fleet.run(3s);
    fleet.killSteward(steward);
    fleet.addSteward();
    fleet.run(5s);
    EXPECT_EQ(fleet.recordedCrashes("job"), 2U);
    fleet.run(15s);
    EXPECT_EQ(fleet.activeRuns("job"), 1U);
    EXPECT_EQ(fleet.violations, std::vector<std::string>());
}

// A task that takes its hosts down, unseen by the lists of the hosts, must still be given up.
TEST(SilentRestarts, AreComparedWithChance)
{
    for (const auto &step : {test::longRunningStep(1), test::shortStep(1)}) {
        for (const auto delay : {100ms, 1'000ms, 3'000ms}) {
            SCOPED_TRACE(delay.count());
            auto fleet = FakeFleet(8);
            fleet.runTime = delay + 5s;
            fleet.crashDelay = delay;
            fleet.doCrashesTakeHostsDown = true;
            fleet.crashesWorker = [](const JobTaskId &it) { return it == firstTask; };
            fleet.addSteward();
            fleet.run(1s);
            fleet.addJob(test::oneStepJob("job", step));
            fleet.run(150s);
            EXPECT_EQ(fleet.outcome("job"), JobOutcome::Failed);
            EXPECT_LE(fleet.crashes(firstTask), 5U);
            EXPECT_EQ(fleet.violations, std::vector<std::string>());
        }
    }
}

} // namespace

} // namespace shallotproxy
