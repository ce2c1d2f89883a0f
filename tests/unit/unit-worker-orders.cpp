#include <gtest/gtest.h>

#include "fake_fleet.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using test::FakeFleet;

// Callers miss a long-running task after this time without a run if the service is calm.
constexpr auto MaxWaitWhenCalm = 7s;

auto stringOf(Duration time) -> std::string
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(time).count()) + "ms";
}

/// Returns how long it takes until a task of the job runs, at most a minute.
auto timeUntilActive(FakeFleet &fleet, const std::string &job) -> Duration
{
    const auto begin = fleet.now();
    while (fleet.activeRuns(job) == 0 && fleet.now() < begin + 60s)
        fleet.run(50ms);
    return fleet.now() - begin;
}

/// Two workers, the first of which loses its orders from now on. The next task is placed there.
auto addLosingWorker(FakeFleet &fleet, bool hasOtherRun, Duration lossTime, Duration startDelay)
    -> void
{
    fleet.runTime = 1h;
    fleet.addSteward();
    if (hasOtherRun)
        fleet.addJob(test::oneStepJob("other", test::shortStep(1)));
    fleet.run(2s);
    fleet.loseOrders(0, lossTime, startDelay);
    fleet.addJob(test::oneStepJob("long", test::longRunningStep(1)));
}

// A start was sent again for as long as the worker answered polls: the task never ran, although
// another worker was free.
TEST(WorkerOrders, DelayAStartElsewhereForABoundedTimeIfTheyAreLost)
{
    const auto settings = StewardSettings();
    const auto maxWait = settings.startTimeout + settings.lateCallTime + 2s;
    for (const auto hasOtherRun : {false, true}) {
        auto fleet = FakeFleet(2);
        addLosingWorker(fleet, hasOtherRun, 1h, {});
        EXPECT_LT(timeUntilActive(fleet, "long"), maxWait) << hasOtherRun;
        EXPECT_EQ(fleet.violations, std::vector<std::string>());
    }
}

// Once the worker answers its orders again, the task has to run as soon as after other faults.
TEST(WorkerOrders, DelayNoStartOnceTheyAreAnsweredAgain)
{
    for (auto lossTime = Duration(50ms); lossTime < 16s; lossTime += 50ms) {
        auto fleet = FakeFleet(2);
        addLosingWorker(fleet, true, lossTime, {});
        fleet.run(lossTime);
        EXPECT_LT(timeUntilActive(fleet, "long"), MaxWaitWhenCalm) << stringOf(lossTime);
        EXPECT_EQ(fleet.violations, std::vector<std::string>());
    }
}

// Starts that had no answer are carried out late, up to the longest delay.
TEST(WorkerOrders, StartNothingTwiceIfTheyAreCarriedOutLate)
{
    for (const auto isCovered : {false, true}) {
        for (auto delay = Duration(100ms); delay < StewardSettings().lateCallTime; delay += 100ms) {
            for (const auto lossTime : {Duration(3s), Duration(8s), Duration(1h)}) {
                auto fleet = FakeFleet(2);
                fleet.doLeasesCoverLateStarts = isCovered;
                addLosingWorker(fleet, true, lossTime, delay);
                fleet.run(40s);
                EXPECT_EQ(fleet.violations, std::vector<std::string>()) << stringOf(delay);
                EXPECT_EQ(fleet.activeRuns("long"), 1U) << stringOf(delay);
            }
        }
    }
}

} // namespace

} // namespace shallotproxy
