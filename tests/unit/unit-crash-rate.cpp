#include <gtest/gtest.h>

#include "shallotproxy/job/crash_history.hpp"
#include "shallotproxy/job/crash_rate.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr auto Interval = 100s;

/// Lets this many workers run for some time, with one observation each second.
auto observe(CrashRate &rate, std::size_t workers, std::chrono::seconds time, BootTime &now) -> void
{
    for (auto n = 0s; n <= time; n += 1s, now += 1s)
        rate.observe(workers, now);
}

TEST(CrashRate, IsThatOfWorkersOfWhichNothingIsKnown)
{
    EXPECT_DOUBLE_EQ(CrashRate(Interval).expectedCrashes(10s, 0), 0.1);
}

TEST(CrashRate, FallsWithTheTimeThatWorkersSurvive)
{
    auto now = BootTime(1h);
    auto rate = CrashRate(Interval);
    observe(rate, 10, 60s, now);
    EXPECT_LT(rate.expectedCrashes(10s, 0), 0.02);
    EXPECT_GT(rate.expectedCrashes(10s, 0), 0.01);
}

TEST(CrashRate, RisesWithTheCrashesOfOthersOnly)
{
    auto now = BootTime(1h);
    auto rate = CrashRate(Interval);
    observe(rate, 10, 60s, now);
    const auto before = rate.expectedCrashes(10s, 0);
    for (auto n = 0; n < 4; ++n)
        rate.addCrash();
    EXPECT_DOUBLE_EQ(rate.expectedCrashes(10s, 0), 5 * before);
    EXPECT_DOUBLE_EQ(rate.expectedCrashes(10s, 4), before);
    rate.removeCrashes(9);
    EXPECT_DOUBLE_EQ(rate.expectedCrashes(10s, 0), before);
}

TEST(CrashRate, ForgetsCrashesInMinutes)
{
    auto now = BootTime(1h);
    auto rate = CrashRate(Interval);
    observe(rate, 10, 60s, now);
    for (auto n = 0; n < 20; ++n)
        rate.addCrash();
    const auto before = rate.expectedCrashes(10s, 0);
    observe(rate, 10, 600s, now);
    EXPECT_LT(rate.expectedCrashes(10s, 0), before / 10);
}

// All crashes were taken for those of workers that had been up for long.
TEST(CrashRate, LosesTheCrashesOfACauseByTheAgeOfTheirWorkers)
{
    auto rates = PoolCrashRates();
    rates.oldWorkers.addCrash();
    rates.newWorkers.addCrash();
    auto onNewWorker = CrashedRun();
    onNewWorker.isOnNewWorker = true;
    rates.removeCrashes(std::vector{onNewWorker});
    EXPECT_DOUBLE_EQ(rates.newWorkers.expectedCrashes(20s, 0), 1);
    EXPECT_DOUBLE_EQ(rates.oldWorkers.expectedCrashes(200s, 0), 2);
}

// A crash of which nothing was known, as in an earlier record, counted for less than before.
TEST(CrashHistory, KeepsACrashUnknownThatCoincidesWithOthers)
{
    auto history = CrashHistory();
    for (std::uint64_t run = 1; run <= 5; ++run) {
        history.add(run, CrashEvidence::Beside, true);
        EXPECT_FALSE(history.addExpected(run, 0.01));
    }
    EXPECT_FALSE(history.isCause());
}

/// Returns a task with this many crashes, each `expected` times as likely by chance.
auto historyOf(std::size_t crashes, std::chrono::milliseconds survived, double expected)
    -> CrashHistory
{
    auto history = CrashHistory();
    for (std::size_t run = 1; run <= crashes; ++run)
        history.add(run, CrashEvidence::Beside, true, {survived, expected});
    return history;
}

TEST(CrashHistory, BlamesATaskForCrashesThatAreFarFromChance)
{
    EXPECT_FALSE(historyOf(3, 1s, 0.001).isCause());
    EXPECT_TRUE(historyOf(4, 1s, 0.01).isCause());
    EXPECT_FALSE(historyOf(4, 10s, 0.08).isCause());
    EXPECT_TRUE(historyOf(5, 10s, 0.08).isCause());
    EXPECT_FALSE(historyOf(20, 10s, 0.3).isCause());
}

/// Returns a task whose runs have survived these times, each crash 0.2 times as likely by chance.
auto historyOf(std::initializer_list<std::chrono::milliseconds> survived, bool areWorkersNew)
    -> CrashHistory
{
    auto history = CrashHistory();
    auto run = std::uint64_t{0};
    for (const auto it : survived)
        history.add(++run, CrashEvidence::Beside, true, {it, 0.2, areWorkersNew});
    return history;
}

// Many tasks that crashed their workers at once made each of these crashes likely by chance.
TEST(CrashHistory, BlamesATaskForCrashesThatComeAfterTheSameTime)
{
    EXPECT_TRUE(historyOf({1000ms, 1050ms, 1000ms, 1050ms, 1000ms}, false).isCause());
    EXPECT_FALSE(historyOf({1000ms, 1050ms, 1000ms, 1050ms}, false).isCause());
    EXPECT_FALSE(historyOf({1000ms, 4000ms, 2500ms, 400ms, 1700ms}, false).isCause());
    // Workers that go down and up by turns end their runs as regularly.
    EXPECT_FALSE(historyOf({1000ms, 1050ms, 1000ms, 1050ms, 1000ms}, true).isCause());
}

// Other workers turn out to have crashed at the same time.
TEST(CrashHistory, AcquitsATaskWhoseCrashesWereThoseOfOthersToo)
{
    auto history = historyOf(4, 1s, 0.01);
    EXPECT_TRUE(history.addExpected(2, 0.5));
    EXPECT_FALSE(history.addExpected(9, 0.5));
    EXPECT_FALSE(history.isCause());
}

TEST(CrashHistory, IsolatesForLongerThanRunsHaveSurvivedIfCrashesAreFrequent)
{
    EXPECT_EQ(historyOf(2, 12s, 0.05).isolationTime(), 3s);
    EXPECT_EQ(historyOf(3, 12s, 0.05).isolationTime(), 18s);
    EXPECT_EQ(historyOf(3, 12s, 0.5).isolationTime(), 9s);
    EXPECT_EQ(historyOf(3, 40s, 0.05).isolationTime(), 30s);
    EXPECT_EQ(historyOf(1, 5s, 0.05).exonerationTime(), 30s);
    EXPECT_EQ(historyOf(1, 40s, 0.05).exonerationTime(), 120s);
}

TEST(CrashHistory, CountsNoRunThatMayNeverHaveBeenThere)
{
    auto history = CrashHistory();
    const auto inDoubt = CrashContext{0s, 0.01, false, true};
    history.add(1, CrashEvidence::Likely, false, inDoubt);
    EXPECT_TRUE(history.isSuspect());
    EXPECT_TRUE(history.hasUnprovenRun());
    history.add(2, CrashEvidence::Sole, false, inDoubt);
    history.add(3, CrashEvidence::Sole, false, inDoubt);
    EXPECT_FALSE(history.isCause());
    history.confirm(2);
    history.confirm(3);
    EXPECT_FALSE(CrashHistory({history.runs()[0]}).isCause());
    EXPECT_TRUE(history.isCause());
}

} // namespace

} // namespace shallotproxy
