#include <algorithm>
#include <array>
#include <random>

#include <gtest/gtest.h>

#include "fake_fleet.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;
using test::FakeFleet;

/// Tasks that crash their workers, in pairs or more, beside sound ones.
struct Plan
{
    int workers = 6;
    /// Of each of these jobs, each task crashes its worker.
    std::vector<StepSpec> crashing;
    std::uint32_t soundLongRunning = 0;
    bool hasShortTasks = false;
    Duration crashDelay = 1s;
    bool areEndsSilent = false;
};

auto crashingJob(std::size_t number) -> std::string
{
    return "crashing-" + std::to_string(number);
}

/// Whether each task that crashes its workers is given up, none with more starts than FakeFleet
/// allows, and the sound ones alone are left.
auto expectToldApart(const Plan &plan) -> void
{
    constexpr auto Time = 90s;
    auto fleet = FakeFleet(plan.workers);
    fleet.crashDelay = plan.crashDelay;
    fleet.runTime = plan.crashDelay + 2s;
    fleet.areEndsSilent = plan.areEndsSilent;
    fleet.crashesWorker = [](const JobTaskId &it) { return it.job.starts_with("crashing"); };
    fleet.addSteward();
    fleet.run(1s);
    if (plan.soundLongRunning > 0)
        fleet.addJob(test::oneStepJob("sound", test::longRunningStep(plan.soundLongRunning)));
    fleet.run(2s);
    for (std::size_t n = 0; n < plan.crashing.size(); ++n)
        fleet.addJob(test::oneStepJob(crashingJob(n), plan.crashing[n]));
    auto shortJobs = 0;
    for (const auto end = fleet.now() + Time; fleet.now() < end;) {
        if (plan.hasShortTasks)
            fleet.addJob(test::oneStepJob(std::to_string(shortJobs++), test::shortStep(4)));
        fleet.run(5s);
    }
    fleet.run(30s);
    for (std::size_t n = 0; n < plan.crashing.size(); ++n) {
        EXPECT_EQ(fleet.outcome(crashingJob(n)), JobOutcome::Failed) << n;
        for (std::uint32_t task = 0; task < plan.crashing[n].taskCount; ++task)
            EXPECT_LE(fleet.crashes({crashingJob(n), 0, 0, task}), 5U) << n << ' ' << task;
    }
    EXPECT_EQ(fleet.activeRuns("sound"), plan.soundLongRunning);
    for (auto n = 0; n < shortJobs; ++n)
        EXPECT_EQ(fleet.outcome(std::to_string(n)), JobOutcome::Completed) << n;
    EXPECT_EQ(fleet.violations, std::vector<std::string>());
}

// Two long-running tasks that crashed their workers a second after each start were started without
// end, as each was taken for the reason of the other's crashes.
TEST(SeveralCrashingTasks, AreGivenUpIfTheyCrashTheirWorkersAtTheSameTime)
{
    for (const auto delay : {300ms, 1'000ms, 3'000ms}) {
        SCOPED_TRACE(delay.count());
        expectToldApart({6, {test::longRunningStep(2)}, 0, false, delay});
    }
}

// One such task beside six sound ones on six workers was given up after 24 starts too many.
TEST(SeveralCrashingTasks, AreToldFromSoundLongRunningTasksOnAllWorkers)
{
    for (const auto delay : {300ms, 1'000ms, 3'000ms}) {
        SCOPED_TRACE(delay.count());
        expectToldApart({6, {test::longRunningStep(1)}, 6, false, delay});
    }
}

auto drawnPlan(unsigned seed, int maxCrashing) -> Plan
{
    auto random = std::mt19937(seed); // NOLINT(cert-msc51-cpp): a test that can be repeated
    const auto draw = [&random](int from, int to) {
        return std::uniform_int_distribution(from, to)(random);
    };
    auto plan = Plan();
    plan.workers = draw(4, 12);
    auto left = draw(1, std::min(maxCrashing, plan.workers));
    while (left > 0) {
        const auto tasks = draw(1, left);
        left -= tasks;
        const auto isLongRunning = draw(0, 2) > 0;
        plan.crashing.push_back(isLongRunning
                                    ? test::longRunningStep(static_cast<std::uint32_t>(tasks))
                                    : test::shortStep(static_cast<std::uint32_t>(tasks)));
    }
    plan.soundLongRunning = static_cast<std::uint32_t>(draw(0, plan.workers));
    plan.hasShortTasks = draw(0, 1) > 0;
    plan.crashDelay = std::chrono::milliseconds(draw(0, 1) > 0 ? draw(0, 1'000) : draw(0, 5'000));
    return plan;
}

constexpr auto Seeds = 60U;

// The pair of this seed isn't given up in time; see KNOWN-RED.txt.
constexpr auto MistakenPairs = std::to_array({55U});

// Up to two tasks that crash their workers, of one job or two, were started without end.
TEST(SeveralCrashingTasks, AreToldFromSoundOnesInPairs)
{
    for (auto seed = 0U; seed < Seeds; ++seed) {
        if (std::ranges::find(MistakenPairs, seed) != MistakenPairs.end())
            continue;
        SCOPED_TRACE(seed);
        expectToldApart(drawnPlan(seed, 2));
    }
}

TEST(SeveralCrashingTasks, AreToldFromSoundOnesInPairsThatAreMistaken)
{
    for (const auto seed : MistakenPairs) {
        SCOPED_TRACE(seed);
        expectToldApart(drawnPlan(seed, 2));
    }
}

// As many tasks that crash their workers as the pool has workers, of several jobs.
TEST(SeveralCrashingTasks, AreToldFromSoundOnesWhereTheyAreMany)
{
    for (auto seed = 0U; seed < Seeds; ++seed) {
        SCOPED_TRACE(seed);
        expectToldApart(drawnPlan(seed, 12));
    }
}

} // namespace

} // namespace shallotproxy
