#include <gtest/gtest.h>

#include "shallotproxy/job/worker_contact.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

const auto start = BootTime(1h);

TEST(WorkerContact, ShowsTheEndOfAProcessThatClosesItsConnections)
{
    auto contact = WorkerContact();
    EXPECT_EQ(contact.loss(), ContactLoss::Unknown);
    contact.pollFailed(ContactLoss::Closed, start);
    contact.pollFailed(ContactLoss::Silent, start + 1s);
    contact.pollFailed(ContactLoss::Silent, start + 2s);
    EXPECT_TRUE(contact.hasEnded());
    EXPECT_FALSE(contact.isSilent());
    EXPECT_EQ(contact.lostAt(), start);
    contact.answered();
    EXPECT_FALSE(contact.hasEnded());
    EXPECT_EQ(contact.lostAt(), std::nullopt);
}

// A connection that couldn't be opened counted as contact with the worker, so that its restart
// behind a cut was taken for a crash (review/11).
TEST(WorkerContact, ShowsSilenceWhetherOrNotAConnectionWasOpen)
{
    auto contact = WorkerContact();
    contact.pollFailed(ContactLoss::Silent, start); // on a connection that was open
    EXPECT_FALSE(contact.isSilent());
    contact.pollFailed(ContactLoss::Silent, start + 1s); // on one that couldn't be opened
    EXPECT_EQ(contact.loss(), ContactLoss::Silent);
    // The host may be back, or the cut over, before the process is up.
    contact.pollFailed(ContactLoss::Closed, start + 2s);
    EXPECT_FALSE(contact.hasEnded());
    EXPECT_TRUE(contact.isSilent());
}

TEST(WorkerContact, IsntLostByCallsThatWereNotTriedOrOrdersThatWereNotAnswered)
{
    auto contact = WorkerContact();
    for (auto n = 0; n < 5; ++n) {
        contact.pollFailed(ContactLoss::Unknown, start);
        contact.orderFailed(ContactLoss::Silent, start);
    }
    EXPECT_EQ(contact.loss(), ContactLoss::Unknown);
    EXPECT_EQ(contact.lostAt(), std::nullopt);
    contact.orderFailed(ContactLoss::Closed, start);
    EXPECT_TRUE(contact.hasEnded());
}

} // namespace

} // namespace shallotproxy
