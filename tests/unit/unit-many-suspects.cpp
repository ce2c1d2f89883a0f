#include <gtest/gtest.h>

#include "fake_fleet.hpp"
#include "shallotproxy/job/suspect_groups.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;
using test::FakeFleet;

constexpr auto Tasks = 900U;
constexpr auto Workers = 8;
const auto crashingTask = JobTaskId{"job-450", 0, 0, 0};

/// Adds jobs of one small task each, which start together on few workers, and crashes these as the
/// tasks start.
auto startAndCrash(FakeFleet &fleet) -> void
{
    fleet.runTime = 2s;
    fleet.addSteward();
    fleet.run(1s);
    auto step = test::shortStep(1);
    step.resources = {10, 10, 0};
    for (auto n = 0U; n < Tasks; ++n)
        fleet.addJob(test::oneStepJob("job-" + std::to_string(n), step));
    fleet.run(100ms);
    if (!fleet.crashesWorker(crashingTask))
        fleet.endWorkersOf("job-0");
}

auto openJobs(const FakeFleet &fleet) -> unsigned
{
    auto count = 0U;
    for (auto n = 0U; n < Tasks; ++n)
        count += fleet.outcome("job-" + std::to_string(n)) == JobOutcome::Open ? 1U : 0U;
    return count;
}

// One crash of one worker made all of its tasks suspects, and each of the others tested one at a
// time: hundreds waited for 20 s in front of an empty fleet.
TEST(ManySuspects, OfOneCrashAreDoneSoon)
{
    auto fleet = FakeFleet(Workers);
    startAndCrash(fleet);
    fleet.run(12s);
    EXPECT_EQ(openJobs(fleet), 0U);
    EXPECT_EQ(fleet.violations, std::vector<std::string>());
}

// The same if one of them does crash its workers: it is found, and costs few.
TEST(ManySuspects, AreDoneSoonBesideOneThatCrashesItsWorkers)
{
    auto fleet = FakeFleet(Workers);
    fleet.crashesWorker = [](const JobTaskId &task) { return task == crashingTask; };
    fleet.crashDelay = 10ms;
    startAndCrash(fleet);
    fleet.run(16s);
    EXPECT_EQ(openJobs(fleet), 0U);
    EXPECT_EQ(fleet.outcome(crashingTask.job), JobOutcome::Failed);
    EXPECT_LE(fleet.crashes(crashingTask), 4U);
    auto failed = 0U;
    for (auto n = 0U; n < Tasks; ++n)
        failed += fleet.outcome("job-" + std::to_string(n)) == JobOutcome::Failed ? 1U : 0U;
    EXPECT_EQ(failed, 1U);
    EXPECT_EQ(fleet.violations, std::vector<std::string>());
}

TEST(SuspectGroups, AreSmallWhereFewWait)
{
    const auto groups = SuspectGroups();
    const auto now = BootTime(1h);
    EXPECT_EQ(groups.size(0, 0, now), 1U);
    EXPECT_EQ(groups.size(1, 6, now), 1U);
    EXPECT_EQ(groups.size(48, 6, now), 1U);
    EXPECT_EQ(groups.size(900, 7, now), 30U);
    EXPECT_EQ(groups.size(20'000, 8, now), SuspectGroups::MaxSize);
}

// If many tasks crash their workers, nearly every group has one of them.
TEST(SuspectGroups, ShrinkWhileTheyCrash)
{
    auto groups = SuspectGroups();
    const auto now = BootTime(1h);
    groups.crashed(now);
    EXPECT_EQ(groups.size(900, 7, now), 15U);
    groups.crashed(now + 1s);
    EXPECT_EQ(groups.size(900, 7, now + 1s), 7U);
    for (auto n = 0; n < 100; ++n)
        groups.crashed(now + 2s);
    EXPECT_EQ(groups.size(900, 7, now + 2s), 1U);
    EXPECT_EQ(groups.size(900, 7, now + 1min), 30U);
}

TEST(CrashAttribution, HoldsTheCrashOfAGroupAgainstTheGroup)
{
    constexpr auto Established = RunAtCrash{false, true, false};
    constexpr auto Grouped = RunAtCrash{true, false, true, true};
    constexpr auto GroupedAndEstablished = RunAtCrash{true, true, false, true};
    using Evidence = std::vector<std::optional<CrashEvidence>>;
    EXPECT_EQ(attributeCrash(std::vector{Established, Grouped, Grouped}),
              (Evidence{std::nullopt, CrashEvidence::Grouped, CrashEvidence::Grouped}));
    // The rest of a group isn't alone under test: the others had just started, too.
    EXPECT_EQ(attributeCrash(std::vector{GroupedAndEstablished, Grouped}),
              (Evidence{std::nullopt, CrashEvidence::Grouped}));
}

TEST(CrashHistory, NeedsACrashAloneAfterThatOfAGroup)
{
    auto history = CrashHistory();
    history.add(1, CrashEvidence::Likely, true);
    EXPECT_TRUE(history.mayBeGrouped());
    history.add(2, CrashEvidence::Grouped, true);
    EXPECT_FALSE(history.mayBeGrouped());
    EXPECT_FALSE(history.isCause());
    EXPECT_FALSE(history.needsIsolation());
    history.add(3, CrashEvidence::Sole, true);
    EXPECT_TRUE(history.isCause());
    auto lost = CrashHistory();
    lost.add(1, CrashEvidence::Grouped, true);
    EXPECT_TRUE(lost.withdraw(1)); // with its data centre
}

} // namespace

} // namespace shallotproxy
