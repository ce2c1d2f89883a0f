#include <gtest/gtest.h>

#include "fake_fleet.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;
using test::FakeFleet;

/// Returns the wait that a steward with one worker publishes for a pool with many of these steps.
auto waitFor(const StepSpec &step, const Resources &teamLimit) -> std::int64_t
{
    auto fleet = FakeFleet(1);
    fleet.teamLimit = teamLimit;
    fleet.runTime = 5s;
    const auto steward = fleet.addSteward();
    fleet.run(2s);
    for (auto n = 0; n < 200; ++n)
        fleet.addJob(test::oneStepJob(std::to_string(n), step));
    fleet.run(1s);
    const auto outlook = fleet.steward(steward).admissionOutlook({});
    EXPECT_TRUE(fleet.violations.empty());
    const auto pool = outlook.pools.find(PoolName(test::TestPool));
    return pool == outlook.pools.end() ? 0 : pool->second.back().lateMilliseconds;
}

auto measuredStep() -> StepSpec
{
    auto step = test::shortStep(1);
    step.estimatedMilliseconds = 1'000;
    return step;
}

TEST(StewardAdmission, TellsHowLongNewWorkWaitsForRoom)
{
    EXPECT_GT(waitFor(measuredStep(), {}), 1'000);
}

// A team with thousands of jobs that runs as many as it may leaves the rest of its pool idle.
TEST(StewardAdmission, CountsNoWorkThatWaitsForItsTeamsLimit)
{
    auto step = measuredStep();
    EXPECT_EQ(waitFor(step, step.resources), 0);
}

TEST(StewardAdmission, CountsNoWorkThatWaitsForALabel)
{
    auto step = measuredStep();
    step.requiredLabel = "gpu";
    EXPECT_EQ(waitFor(step, {}), 0);
}

} // namespace

} // namespace shallotproxy
