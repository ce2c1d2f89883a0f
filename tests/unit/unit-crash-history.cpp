#include <gtest/gtest.h>

#include "shallotproxy/job/crash_history.hpp"

namespace shallotproxy {

namespace {

using Evidence = std::vector<std::optional<CrashEvidence>>;

constexpr auto Established = RunAtCrash{false, true, false};
constexpr auto Starting = RunAtCrash{false, false, false};
constexpr auto Suspect = RunAtCrash{true, true, false};
constexpr auto Tested = RunAtCrash{true, false, true};
constexpr auto TestedLong = RunAtCrash{true, true, true};

TEST(CrashAttribution, HoldsACrashAgainstTheRunsThatHadJustStarted)
{
    EXPECT_EQ(attributeCrash(std::vector{Established, Starting, Starting}),
              (Evidence{CrashEvidence::Beside, CrashEvidence::Likely, CrashEvidence::Likely}));
    EXPECT_EQ(attributeCrash(std::vector{Established, Starting}),
              (Evidence{CrashEvidence::Beside, CrashEvidence::Likely}));
}

TEST(CrashAttribution, HoldsACrashAgainstTheTestedRunAlone)
{
    EXPECT_EQ(attributeCrash(std::vector{Established, Tested, Suspect}),
              (Evidence{std::nullopt, CrashEvidence::Sole, std::nullopt}));
}

TEST(CrashAttribution, SuspectsEveryRunIfNoneIsMoreLikely)
{
    EXPECT_EQ(attributeCrash(std::vector{Established, Established}),
              (Evidence{CrashEvidence::Beside, CrashEvidence::Beside}));
    EXPECT_EQ(attributeCrash(std::vector{Established}), Evidence{CrashEvidence::Beside});
    EXPECT_EQ(attributeCrash(std::vector{Established, Suspect}),
              (Evidence{CrashEvidence::Beside, CrashEvidence::Likely}));
    EXPECT_EQ(attributeCrash(std::vector{Established, TestedLong}),
              (Evidence{CrashEvidence::Beside, CrashEvidence::Isolated}));
    EXPECT_EQ(attributeCrash(std::vector{Tested, Tested}),
              (Evidence{CrashEvidence::Likely, CrashEvidence::Likely}));
    EXPECT_EQ(attributeCrash({}), Evidence());
}

TEST(CrashHistory, SuspectsATaskAfterOneLikelyCrashOrTwoBesideOthers)
{
    auto history = CrashHistory();
    EXPECT_TRUE(history.add(1, CrashEvidence::Beside, true));
    EXPECT_FALSE(history.isSuspect());
    EXPECT_FALSE(history.add(1, CrashEvidence::Likely, true)); // the same crash, reported again
    EXPECT_FALSE(history.isSuspect());
    EXPECT_TRUE(history.add(2, CrashEvidence::Beside, true));
    EXPECT_TRUE(history.isSuspect());
    EXPECT_TRUE(history.needsIsolation());
    EXPECT_TRUE(history.withdraw(2));
    EXPECT_FALSE(history.isSuspect());
    history.add(3, CrashEvidence::Likely, true);
    EXPECT_TRUE(history.isSuspect());
    history.add(4, CrashEvidence::Sole, true);
    EXPECT_FALSE(history.withdraw(4));
}

TEST(CrashHistory, NeedsMoreCrashesIfTheyComeLate)
{
    auto early = CrashHistory();
    early.add(1, CrashEvidence::Likely, true);
    EXPECT_FALSE(early.isCause());
    early.add(2, CrashEvidence::Sole, true);
    EXPECT_TRUE(early.isCause());
    auto late = CrashHistory();
    late.add(1, CrashEvidence::Beside, true);
    late.add(2, CrashEvidence::Beside, true);
    late.add(3, CrashEvidence::Isolated, true);
    EXPECT_FALSE(late.isCause());
    late.add(4, CrashEvidence::Isolated, true);
    EXPECT_TRUE(late.isCause());
}

// A worker that crashed before the start order arrived had another reason.
TEST(CrashHistory, NeedsAnotherCrashIfTheRunsWereNotConfirmed)
{
    auto once = CrashHistory();
    once.add(1, CrashEvidence::Likely, false);
    EXPECT_TRUE(once.isSuspect());
    once.add(2, CrashEvidence::Sole, true);
    EXPECT_FALSE(once.isCause());
    once.add(3, CrashEvidence::Sole, true);
    EXPECT_TRUE(once.isCause());
    auto later = CrashHistory();
    later.add(1, CrashEvidence::Likely, false);
    later.add(2, CrashEvidence::Sole, true);
    EXPECT_FALSE(later.confirm(2));
    EXPECT_FALSE(later.confirm(3));
    EXPECT_TRUE(later.confirm(1));
    EXPECT_TRUE(later.isCause());
    auto never = CrashHistory();
    never.add(1, CrashEvidence::Likely, false);
    never.add(2, CrashEvidence::Sole, false);
    EXPECT_FALSE(never.isCause());
    never.add(3, CrashEvidence::Sole, false);
    EXPECT_TRUE(never.isCause());
}

TEST(CrashHistory, NeedsAnotherCrashIfTheWorkersWereNew)
{
    auto history = CrashHistory();
    history.add(1, CrashEvidence::Likely, true);
    history.add(2, CrashEvidence::SoleOnNewWorker, true);
    EXPECT_FALSE(history.isCause());
    EXPECT_FALSE(history.withdraw(2));
    history.add(3, CrashEvidence::SoleOnNewWorker, true);
    EXPECT_TRUE(history.isCause());
}

TEST(CrashHistory, BlamesNoTaskForCrashesBesideOthers)
{
    auto history = CrashHistory();
    for (std::uint64_t run = 0; run < 20; ++run)
        history.add(run, run % 2 == 0 ? CrashEvidence::Beside : CrashEvidence::Likely, true);
    EXPECT_FALSE(history.isCause());
}

} // namespace

} // namespace shallotproxy
