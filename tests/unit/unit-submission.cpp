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
    EXPECT_EQ(Submission().begin(AwayAlone), SubmissionAction::Refuse);
}

TEST(Submission, GoesThroughTheStewardWhileTheStoreIsAwayForThisMember)
{
    auto submission = Submission();
    EXPECT_EQ(submission.begin(AwayWithPeer), SubmissionAction::Relay);
    EXPECT_EQ(submission.step(WriteOutcome::Stored, AwayWithPeer), SubmissionAction::Accept);
}

TEST(Submission, GoesThroughTheStewardWhenTheStoreRefusesThisMember)
{
    auto submission = Submission();
    EXPECT_EQ(submission.begin(Reached), SubmissionAction::Write);
    EXPECT_EQ(submission.step(WriteOutcome::NotApplied, Reached), SubmissionAction::Relay);
    EXPECT_EQ(submission.step(WriteOutcome::NotApplied, Reached), SubmissionAction::Refuse);
}

TEST(Submission, IsTriedAgainAfterALostAnswer)
{
    auto submission = Submission();
    EXPECT_EQ(submission.begin(Alone), SubmissionAction::Write);
    EXPECT_EQ(submission.step(WriteOutcome::Unknown, Alone), SubmissionAction::RetryWrite);
    EXPECT_EQ(submission.step(WriteOutcome::AlreadyStored, Alone), SubmissionAction::Accept);
}

TEST(Submission, IsNeverRefusedOnceAWriteMayHaveBeenDone)
{
    auto submission = Submission();
    submission.begin(Alone);
    submission.step(WriteOutcome::Unknown, Alone);
    EXPECT_EQ(submission.step(WriteOutcome::NotApplied, AwayAlone),
              SubmissionAction::ReportUnknown);
}

/// A store and a peer that may carry out a write whatever they answer.
RC_GTEST_PROP(Submission, SaysOnlyWhatIsTrueAndEnds, ())
{
    auto submission = Submission();
    auto view = SubmissionView();
    auto mayBeStored = false;
    auto tries = 0;
    const auto look = [&view] {
        view.isStoreUnavailable = *rc::gen::arbitrary<bool>();
        view.hasPeerSteward = *rc::gen::arbitrary<bool>();
        view.elapsed += std::chrono::milliseconds(*rc::gen::inRange(0, 900));
    };
    look();
    view.elapsed = 0ms;
    auto move = submission.begin(view);
    auto outcome = WriteOutcome::NotApplied;
    while (move == SubmissionAction::Write || move == SubmissionAction::RetryWrite
           || move == SubmissionAction::Relay) {
        RC_ASSERT(++tries <= Submission::MaxWrites + 1);
        RC_ASSERT(view.elapsed <= Submission::WriteDeadline);
        outcome = *rc::gen::element(WriteOutcome::Stored, WriteOutcome::AlreadyStored,
                                    WriteOutcome::NotApplied, WriteOutcome::Unknown);
        mayBeStored = mayBeStored || outcome == WriteOutcome::Unknown;
        look();
        move = submission.step(outcome, view);
    }
    const auto isStored = outcome == WriteOutcome::Stored || outcome == WriteOutcome::AlreadyStored;
    RC_ASSERT((move == SubmissionAction::Accept) == isStored);
    RC_ASSERT(move != SubmissionAction::Refuse || !mayBeStored);
    RC_ASSERT(move != SubmissionAction::ReportUnknown || mayBeStored);
}

TEST(StoreHealth, IsAwayAfterFailuresInARowUntilOneAnswer)
{
    auto health = StoreHealth();
    for (auto n = 0; n < StoreHealth::FailuresUntilUnavailable; ++n) {
        EXPECT_FALSE(health.isUnavailable());
        health.recordOutcome(false);
    }
    EXPECT_TRUE(health.isUnavailable());
    health.recordOutcome(true);
    EXPECT_FALSE(health.isUnavailable());
}

} // namespace

} // namespace shallotproxy
