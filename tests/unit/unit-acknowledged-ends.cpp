#include <gtest/gtest.h>

#include "fake_fleet.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;
using test::FakeFleet;

// A steward read that one task had failed for the last time and that the other one had completed,
// and died before it could write the failure. The worker of the first task crashed. The end of the
// second one had been acknowledged, and the next steward ran the task again.
TEST(AcknowledgedEnds, WaitForTheOutcomeOfTheirJob)
{
    auto fleet = FakeFleet(2, 1);
    fleet.fails = [](const JobTaskId &it) { return it.index == 0; };
    const auto first = fleet.addSteward();
    fleet.run(500ms);
    auto step = test::shortStep(2);
    step.resources = test::workerReport(0).capacity;
    fleet.addJob(test::oneStepJob("a", step));
    fleet.run(200ms);
    fleet.killSteward(first);
    fleet.run(500ms);
    fleet.isStoreUp = false;
    const auto second = fleet.addSteward();
    fleet.run(1s);
    EXPECT_EQ(fleet.steward(second).record("a")->progress.state(), JobOutcome::Failed);
    fleet.killSteward(second);
    fleet.restartWorker(0);
    fleet.isStoreUp = true;
    fleet.addSteward();
    fleet.run(20s);
    EXPECT_EQ(fleet.outcome("a"), JobOutcome::Failed);
    EXPECT_EQ(fleet.violations, std::vector<std::string>());
}

} // namespace

} // namespace shallotproxy
