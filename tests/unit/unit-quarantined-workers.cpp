#include <gtest/gtest.h>

#include "fake_fleet.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;
using test::FakeFleet;

// Callers miss a long-running task after this time without a run if the service is calm.
constexpr auto MaxWaitWhenCalm = 7s;
// Failing tasks are placed again until there have been this many attempts.
constexpr std::uint32_t Attempts = 10'000;

/// Whether all long-running tasks run within the time.
auto run(FakeFleet &fleet, const std::string &job, std::size_t tasks, Duration time) -> bool
{
    for (const auto end = fleet.now() + time; fleet.now() < end; fleet.run(FakeFleet::Step)) {
        if (fleet.activeRuns(job) == tasks)
            return true;
    }
    return false;
}

/// Lets all finite runs fail for a while.
auto failAll(FakeFleet &fleet, const StepSpec &step, Duration time) -> void
{
    fleet.fails = [](const JobTaskId &) { return true; };
    fleet.addSteward();
    fleet.addJob(test::oneStepJob("failing", step));
    fleet.run(time);
    fleet.fails = [](const JobTaskId &) { return false; };
}

// All workers of a pool failed their runs, and the limit of quarantines was that of all pools: none
// of them got any work for up to 96 s after they were sound again.
TEST(QuarantinedWorkers, AreFewOfTheirPool)
{
    constexpr auto PoolWorkers = 8;
    constexpr auto OtherWorkers = 40;
    auto fleet = FakeFleet(PoolWorkers + OtherWorkers, Attempts);
    for (auto n = 0; n < OtherWorkers; ++n)
        fleet.setPool(PoolWorkers + n, "other");
    failAll(fleet, test::shortStep(PoolWorkers * 20), 8s);
    fleet.addJob(test::oneStepJob("long", test::longRunningStep(PoolWorkers / 2)));
    EXPECT_TRUE(run(fleet, "long", PoolWorkers / 2, MaxWaitWhenCalm));
    EXPECT_EQ(fleet.violations, std::vector<std::string>());
}

// The only workers that a long-running task may run on were in quarantine.
TEST(QuarantinedWorkers, TakeALongRunningTaskThatFitsOnNoOther)
{
    constexpr auto Workers = 20;
    constexpr auto Labelled = 2;
    auto fleet = FakeFleet(Workers, Attempts);
    for (auto n = 0; n < Labelled; ++n)
        fleet.setLabel(n, "gpu");
    auto failing = test::shortStep(Labelled * 20);
    failing.requiredLabel = "gpu";
    failAll(fleet, failing, 8s);
    auto step = test::longRunningStep(Labelled);
    step.requiredLabel = "gpu";
    fleet.addJob(test::oneStepJob("long", step));
    EXPECT_TRUE(run(fleet, "long", Labelled, MaxWaitWhenCalm));
    EXPECT_EQ(fleet.violations, std::vector<std::string>());
}

} // namespace

} // namespace shallotproxy
