#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "shallotproxy/member/store_health.hpp"
#include "shallotproxy/member/submission.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr auto StoreReachable = SubmissionView{false, true, 0ms};
constexpr auto NoPeerSteward = SubmissionView{false, false, 0ms};
constexpr auto StoreUnavailable = SubmissionView{true, true, 0ms};
constexpr auto StoreUnavailableNoPeer = SubmissionView{true, false, 0ms};

TEST(Submission, RefusesAtOnceWhileNoMemberReachesTheStore)
{
    EXPECT_EQ(Submission().start(StoreUnavailableNoPeer), SubmissionAction::Refuse);
}

TEST(Submission, RelaysToTheStewardWhileThisMemberCannotReachTheStore)
{
    auto submission = Submission();
    EXPECT_EQ(submission.start(StoreUnavailable), SubmissionAction::Relay);
    EXPECT_EQ(submission.step(WriteOutcome::Stored, StoreUnavailable), SubmissionAction::Accept);
}

TEST(Submission, RelaysToTheStewardWhenTheStoreRefusesThisMember)
{
    auto submission = Submission();
    EXPECT_EQ(submission.start(StoreReachable), SubmissionAction::Write);
    EXPECT_EQ(submission.step(WriteOutcome::NotApplied, StoreReachable), SubmissionAction::Relay);
    EXPECT_EQ(submission.step(WriteOutcome::NotApplied, StoreReachable), SubmissionAction::Refuse);
}

TEST(Submission, RetriesAfterALostReply)
{
    auto submission = Submission();
    EXPECT_EQ(submission.start(NoPeerSteward), SubmissionAction::Write);
    EXPECT_EQ(submission.step(WriteOutcome::Unknown, NoPeerSteward), SubmissionAction::RetryWrite);
    EXPECT_EQ(submission.step(WriteOutcome::AlreadyStored, NoPeerSteward),
              SubmissionAction::Accept);
}

TEST(Submission, IsNeverRefusedOnceAWriteMayHaveBeenApplied)
{
    auto submission = Submission();
    submission.start(NoPeerSteward);
    submission.step(WriteOutcome::Unknown, NoPeerSteward);
    EXPECT_EQ(submission.step(WriteOutcome::NotApplied, StoreUnavailableNoPeer),
              SubmissionAction::ReportUnknown);
}

/// Runs a submission against a store and a peer steward that may apply a write whatever they reply.
RC_GTEST_PROP(Submission, ReportsOnlyWhatIsKnownAndTerminates, ())
{
    auto submission = Submission();
    auto view = SubmissionView();
    auto mayBeStored = false;
    auto attempts = 0;
    const auto changeView = [&view] {
        view.isStoreUnavailable = *rc::gen::arbitrary<bool>();
        view.hasPeerSteward = *rc::gen::arbitrary<bool>();
        view.elapsed += std::chrono::milliseconds(*rc::gen::inRange(0, 900));
    };
    changeView();
    view.elapsed = 0ms;
    auto action = submission.start(view);
    auto outcome = WriteOutcome::NotApplied;
    while (action == SubmissionAction::Write || action == SubmissionAction::RetryWrite
           || action == SubmissionAction::Relay) {
        RC_ASSERT(++attempts <= Submission::MaxWrites + 1);
        RC_ASSERT(view.elapsed <= Submission::WriteDeadline);
        outcome = *rc::gen::element(WriteOutcome::Stored, WriteOutcome::AlreadyStored,
                                    WriteOutcome::Cancelled, WriteOutcome::NotApplied,
                                    WriteOutcome::Unknown);
        mayBeStored = mayBeStored || outcome == WriteOutcome::Unknown;
        changeView();
        action = submission.step(outcome, view);
    }
    const auto isStored = outcome == WriteOutcome::Stored || outcome == WriteOutcome::AlreadyStored;
    RC_ASSERT((action == SubmissionAction::Accept) == isStored);
    RC_ASSERT((action == SubmissionAction::RefuseCancelled)
              == (outcome == WriteOutcome::Cancelled));
    RC_ASSERT(action != SubmissionAction::Refuse || !mayBeStored);
    RC_ASSERT(action != SubmissionAction::ReportUnknown || mayBeStored);
}

TEST(StoreHealth, IsUnavailableAfterConsecutiveFailuresUntilOneReply)
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
