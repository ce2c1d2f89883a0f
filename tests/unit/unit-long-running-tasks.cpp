#include <algorithm>

#include <gtest/gtest.h>

#include "fake_fleet.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;
using test::Delivery;
using test::FakeFleet;

// Callers miss a long-running task after this time without a run.
constexpr auto MaxWait = 9s;

/// Adds a steward and fills all workers with finite runs that don't end.
auto fill(FakeFleet &fleet, std::uint32_t workers) -> void
{
    fleet.runTime = 1h;
    fleet.addSteward();
    fleet.addJob(test::oneStepJob("finite", test::shortStep(workers * 8)));
    fleet.run(2s);
}

/// Returns how long it takes until this many tasks of the job run, at most a minute.
auto timeUntilActive(FakeFleet &fleet, const std::string &job, std::size_t tasks) -> Duration
{
    const auto begin = fleet.now();
    while (fleet.activeRuns(job) < tasks && fleet.now() < begin + 60s)
        fleet.run(50ms);
    return fleet.now() - begin;
}

/// Returns the least number of tasks of the job that run at any time of this length.
auto leastActiveRuns(FakeFleet &fleet, const std::string &job, Duration time) -> std::size_t
{
    auto least = fleet.activeRuns(job);
    for (const auto end = fleet.now() + time; fleet.now() < end; fleet.run(FakeFleet::Step))
        least = std::min(least, fleet.activeRuns(job));
    return least;
}

// Runs of a full pool were preempted on one worker at a time, 1.8 s each: the last of twelve
// long-running tasks began after 20 s.
TEST(LongRunningTasks, FindRoomInAFullPoolAllAtOnce)
{
    constexpr auto Workers = 12;
    auto fleet = FakeFleet(Workers);
    fill(fleet, Workers);
    fleet.addJob(test::oneStepJob("long", test::longRunningStep(Workers)));
    EXPECT_LT(timeUntilActive(fleet, "long", Workers), MaxWait);
    EXPECT_EQ(fleet.violations, std::vector<std::string>());
}

// Room is made on as many workers as tasks wait, not more.
TEST(LongRunningTasks, PreemptNoMoreRunsThanTheyNeed)
{
    constexpr auto Workers = 6;
    auto fleet = FakeFleet(Workers);
    fill(fleet, Workers);
    const auto startsBefore = fleet.starts;
    fleet.addJob(test::oneStepJob("long", test::longRunningStep(3)));
    fleet.run(20s);
    EXPECT_EQ(fleet.activeRuns("long"), 3U);
    EXPECT_EQ(fleet.activeRuns("finite"), Workers * 8U - 3U);
    EXPECT_EQ(fleet.starts, startsBefore + 3U);
}

// The limit of the team lets one more task start: room for six would be made in vain.
TEST(LongRunningTasks, PreemptNoRunsBeyondTheLimitOfTheirTeam)
{
    constexpr auto Workers = 6;
    auto fleet = FakeFleet(Workers);
    fleet.teamLimit = {Workers * 8'000 + 1'000, 0, 0};
    fill(fleet, Workers);
    fleet.addJob(test::oneStepJob("long", test::longRunningStep(Workers)));
    fleet.run(1500ms);
    EXPECT_GE(fleet.activeRuns("finite"), Workers * 8U - 2U);
}

// A task that fits nowhere doesn't count the workers that others have reserved as its own.
TEST(LongRunningTasks, PreemptNoMoreRunsBesideTasksThatFitNowhere)
{
    constexpr auto Workers = 12;
    auto fleet = FakeFleet(Workers);
    fill(fleet, Workers);
    auto hopeless = test::longRunningStep(8);
    hopeless.resources.milliCores = 100'000;
    fleet.addJob(test::oneStepJob("hopeless", hopeless));
    fleet.addJob(test::oneStepJob("long", test::longRunningStep(2)));
    fleet.run(10s);
    EXPECT_EQ(fleet.activeRuns("long"), 2U);
    EXPECT_EQ(fleet.activeRuns("finite"), Workers * 8U - 2U);
}

// Each of the tasks had been lost with two workers and waited for a quiet worker of its own, one
// after the other.
TEST(LongRunningTasks, RunSoonAfterTheirWorkersHaveFailedTwice)
{
    constexpr auto Workers = 24;
    constexpr auto Tasks = 16;
    auto fleet = FakeFleet(Workers);
    fleet.runTime = 1700ms;
    fleet.addSteward();
    fleet.addJob(test::oneStepJob("long", test::longRunningStep(Tasks)));
    fleet.run(2s);
    auto finite = test::shortStep(4'000);
    finite.estimatedMilliseconds = 1'700;
    fleet.addJob(test::oneStepJob("finite", finite));
    fleet.run(3s);
    for (auto round = 0; round < 2; ++round) {
        fleet.endWorkersOf("long");
        fleet.run(7s);
    }
    EXPECT_LT(timeUntilActive(fleet, "long", Tasks), MaxWait - 7s);
    EXPECT_EQ(fleet.violations, std::vector<std::string>());
}

// Finite tasks that had been lost beside them kept the workers that returned to themselves first,
// for seconds each.
TEST(LongRunningTasks, RunBeforeTheFiniteTasksThatWereLostBesideThem)
{
    constexpr auto Workers = 24;
    constexpr auto Tasks = 16;
    auto fleet = FakeFleet(Workers);
    fill(fleet, Workers);
    fleet.addJob(test::oneStepJob("long", test::longRunningStep(Tasks)));
    EXPECT_LT(timeUntilActive(fleet, "long", Tasks), MaxWait);
    for (auto round = 0; round < 2; ++round) {
        fleet.run(2s);
        fleet.endWorkersOf("long");
        EXPECT_LT(timeUntilActive(fleet, "long", Tasks), MaxWait);
    }
    EXPECT_EQ(fleet.violations, std::vector<std::string>());
}

/// Lets the workers of the job `long` fail twice in a full pool, which fills with other runs before
/// the crashes are persisted, so that the job's tasks have to wait.
auto fillAfterTwoFailures(FakeFleet &fleet, std::uint32_t workers, std::uint32_t tasks) -> void
{
    fill(fleet, workers);
    fleet.addJob(test::oneStepJob("long", test::longRunningStep(tasks)));
    EXPECT_LT(timeUntilActive(fleet, "long", tasks), MaxWait);
    fleet.addJob(test::oneStepJob("more", test::shortStep(workers * 16)));
    fleet.endWorkersOf("long");
    EXPECT_LT(timeUntilActive(fleet, "long", tasks), MaxWait);
    fleet.run(2s);
    fleet.isStoreUp = false;
    fleet.endWorkersOf("long");
    fleet.run(FakeFleet::Downtime + 3s);
    EXPECT_EQ(fleet.activeRuns("long"), 0U);
    fleet.isStoreUp = true;
}

// Suspects of crashing workers were left out of preemption: in a pool of runs that go on for long
// they never ran.
TEST(LongRunningTasks, FindRoomAsSuspectsInAFullPool)
{
    constexpr auto Workers = 24;
    constexpr auto Tasks = 16;
    auto fleet = FakeFleet(Workers);
    fillAfterTwoFailures(fleet, Workers, Tasks);
    EXPECT_LT(timeUntilActive(fleet, "long", Tasks), MaxWait);
    EXPECT_EQ(fleet.violations, std::vector<std::string>());
}

// Room for a suspect is made once.
TEST(LongRunningTasks, PreemptNoMoreRunsThanTheyNeedAsSuspects)
{
    constexpr auto Workers = 12;
    constexpr auto Tasks = 4;
    auto fleet = FakeFleet(Workers);
    fillAfterTwoFailures(fleet, Workers, Tasks);
    const auto startsBefore = fleet.starts;
    const auto finiteBefore = fleet.activeRuns("finite") + fleet.activeRuns("more");
    EXPECT_LT(timeUntilActive(fleet, "long", Tasks), MaxWait);
    EXPECT_EQ(fleet.starts, startsBefore + Tasks);
    EXPECT_EQ(fleet.activeRuns("finite") + fleet.activeRuns("more"), finiteBefore - Tasks);
}

// Start orders without an answer were taken back from workers that answered no poll for a while,
// for all tasks of a step at once, although they had been carried out.
TEST(LongRunningTasks, AreNotStoppedTogetherWhenTheirStartsHaveNoAnswer)
{
    constexpr auto Tasks = 3;
    auto fleet = FakeFleet(6);
    fleet.addSteward();
    fleet.run(2s);
    fleet.deliveries.assign(Tasks, Delivery::ReplyLost);
    fleet.addJob(test::oneStepJob("long", test::longRunningStep(Tasks)));
    timeUntilActive(fleet, "long", Tasks);
    for (auto worker = 0; worker < 6; ++worker)
        fleet.makeUnresponsive(worker, 3s);
    EXPECT_GE(leastActiveRuns(fleet, "long", 10s), Tasks - 1U);
    EXPECT_EQ(fleet.violations, std::vector<std::string>());
}

// A start order that was sent again and refused doesn't tell that the first one was lost.
TEST(LongRunningTasks, AreNotStoppedTogetherWhenRepeatedStartsAreRefused)
{
    constexpr auto Tasks = 3;
    auto fleet = FakeFleet(6);
    fleet.addSteward();
    fleet.run(2s);
    fleet.deliveries.assign(Tasks, Delivery::ReplyLost);
    fleet.deliveries.insert(fleet.deliveries.end(), Tasks, Delivery::NotSent);
    fleet.pollDeliveries.assign(Tasks, Delivery::NotSent);
    fleet.addJob(test::oneStepJob("long", test::longRunningStep(Tasks)));
    timeUntilActive(fleet, "long", Tasks);
    EXPECT_GE(leastActiveRuns(fleet, "long", 10s), Tasks - 1U);
    EXPECT_EQ(fleet.violations, std::vector<std::string>());
}

// Once a poll shows that the order didn't start the run, it waits for nothing on a draining worker.
TEST(LongRunningTasks, StartElsewhereOnceAPollShowsThatAStartIsLost)
{
    constexpr auto Tasks = 3;
    auto fleet = FakeFleet(2 * Tasks);
    const auto steward = fleet.addSteward();
    const auto drainFrom = [&fleet, steward](int first) {
        for (auto n = 0; n < 2 * Tasks; ++n) {
            const auto isDraining = n >= first && n < first + Tasks;
            fleet.send(steward, steward_event::WorkerDrainChanged{test::workerName(n), isDraining});
        }
    };
    fleet.run(2s);
    drainFrom(Tasks);
    fleet.deliveries.assign(Tasks, Delivery::Delayed);
    fleet.addJob(test::oneStepJob("long", test::longRunningStep(Tasks)));
    fleet.run(100ms);
    EXPECT_EQ(fleet.starts, std::uint64_t{Tasks});
    drainFrom(0);
    // Before the orders that are held up arrive.
    EXPECT_LT(timeUntilActive(fleet, "long", Tasks), FakeFleet::OrderDelay - 500ms);
    EXPECT_EQ(fleet.violations, std::vector<std::string>());
}

// A busy steward may read an answer seconds after the worker gave it. The run that it lists may
// have ended meanwhile.
TEST(LongRunningTasks, AreNotStoppedBecauseOfAnAnswerThatIsReadLate)
{
    auto fleet = FakeFleet(3);
    const auto steward = fleet.addSteward();
    fleet.addJob(test::oneStepJob("long", test::longRunningStep(2)));
    fleet.run(4s);
    const auto isHeldBy = [&fleet, steward](int worker) {
        const auto load = fleet.steward(steward).workerLoad(test::workerName(worker));
        return load && load->longRunningRuns > 0;
    };
    auto holders = std::vector<int>();
    for (auto worker = 0; worker < 3; ++worker) {
        if (isHeldBy(worker))
            holders.push_back(worker);
    }
    ASSERT_EQ(holders.size(), 2U);
    const auto sentAt = fleet.now();
    fleet.crash(holders[0]);
    fleet.run(3s);
    ASSERT_EQ(fleet.activeRuns("long"), 1U);
    const auto run = fleet.steward(steward).token() * 1'000 + 1;
    auto active = std::vector<ActiveRun>();
    for (auto index = 0U; index < 2; ++index) {
        active.push_back({});
        active.back().task = {"long", 0, 0, index};
        active.back().run = run;
        active.back().progressPercent = 100;
    }
    fleet.send(
        steward,
        steward_event::WorkerPolled{test::workerName(holders[0]), sentAt, 4'000, 0, active, {}});
    fleet.send(steward, steward_event::WorkerDrainChanged{test::workerName(holders[1]), true});
    EXPECT_EQ(leastActiveRuns(fleet, "long", 1500ms), 1U);
}

} // namespace

} // namespace shallotproxy
