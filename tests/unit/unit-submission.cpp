#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "shallotproxy/member/store_health.hpp"
#include "shallotproxy/member/submission.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr auto Reached = SubmissionView{false, true, 0ms};
constexpr auto Alone = SubmissionView{false, false, 0ms};
constexpr auto AwayWithPeer = SubmissionView{true, true, 0ms};
constexpr auto AwayAlone = SubmissionView{true, false, 0ms};

TEST(Submission, RefusesAtOnceWhileTheStoreIsAwayForAll)
{
    EXPECT_EQ(Submission().begin(AwayAlone), SubmissionMove::Refuse);
}

TEST(Submission, GoesThroughTheStewardWhileTheStoreIsAwayForThisMember)
{
    auto submission = Submission();
    EXPECT_EQ(submission.begin(AwayWithPeer), SubmissionMove::Relay);
    EXPECT_EQ(submission.step(WriteOutcome::Stored, AwayWithPeer), SubmissionMove::Accept);
}

TEST(Submission, GoesThroughTheStewardWhenTheStoreRefusesThisMember)
{
    auto submission = Submission();
    EXPECT_EQ(submission.begin(Reached), SubmissionMove::Write);
    EXPECT_EQ(submission.step(WriteOutcome::NotDone, Reached), SubmissionMove::Relay);
    EXPECT_EQ(submission.step(WriteOutcome::NotDone, Reached), SubmissionMove::Refuse);
}

TEST(Submission, IsTriedAgainAfterALostAnswer)
{
    auto submission = Submission();
    EXPECT_EQ(submission.begin(Alone), SubmissionMove::Write);
    EXPECT_EQ(submission.step(WriteOutcome::Unknown, Alone), SubmissionMove::WriteLater);
    EXPECT_EQ(submission.step(WriteOutcome::StoredBefore, Alone), SubmissionMove::Accept);
}

TEST(Submission, IsNeverRefusedOnceAWriteMayHaveBeenDone)
{
    auto submission = Submission();
    submission.begin(Alone);
    submission.step(WriteOutcome::Unknown, Alone);
    EXPECT_EQ(submission.step(WriteOutcome::NotDone, AwayAlone), SubmissionMove::SayUnknown);
}

/// A store and a peer that may carry out a write whatever they answer.
RC_GTEST_PROP(Submission, SaysOnlyWhatIsTrueAndEnds, ())
{
    auto submission = Submission();
    auto view = SubmissionView();
    auto mayBeStored = false;
    auto tries = 0;
    const auto look = [&view] {
        view.isStoreAway = *rc::gen::arbitrary<bool>();
        view.hasPeer = *rc::gen::arbitrary<bool>();
        view.elapsed += std::chrono::milliseconds(*rc::gen::inRange(0, 900));
    };
    look();
    view.elapsed = 0ms;
    auto move = submission.begin(view);
    auto outcome = WriteOutcome::NotDone;
    while (move == SubmissionMove::Write || move == SubmissionMove::WriteLater
           || move == SubmissionMove::Relay) {
        RC_ASSERT(++tries <= Submission::MostWrites + 1);
        RC_ASSERT(view.elapsed <= Submission::LatestWrite);
        outcome = *rc::gen::element(WriteOutcome::Stored, WriteOutcome::StoredBefore,
                                    WriteOutcome::NotDone, WriteOutcome::Unknown);
        mayBeStored = mayBeStored || outcome == WriteOutcome::Unknown;
        look();
        move = submission.step(outcome, view);
    }
    const auto isStored = outcome == WriteOutcome::Stored || outcome == WriteOutcome::StoredBefore;
    RC_ASSERT((move == SubmissionMove::Accept) == isStored);
    RC_ASSERT(move != SubmissionMove::Refuse || !mayBeStored);
    RC_ASSERT(move != SubmissionMove::SayUnknown || mayBeStored);
}

TEST(StoreHealth, IsAwayAfterFailuresInARowUntilOneAnswer)
{
    auto health = StoreHealth();
    for (auto n = 0; n < StoreHealth::FailuresUntilAway; ++n) {
        EXPECT_FALSE(health.isAway());
        health.note(false);
    }
    EXPECT_TRUE(health.isAway());
    health.note(true);
    EXPECT_FALSE(health.isAway());
}

} // namespace

} // namespace shallotproxy
