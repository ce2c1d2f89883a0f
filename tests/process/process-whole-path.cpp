#include <gtest/gtest.h>

#include "fleet.hpp"

namespace shallotproxy::test {

namespace {

TEST(ProcessWholePath, ServesARequestOfAKnownTeamAndRefusesAnUnknownKey)
{
    auto fleet = Fleet({});
    const auto key = fleet.createKey("red");
    ASSERT_FALSE(key.empty());
    const auto reply = fleet.request(0, Fleet::queueRequest("orders", key, 5, "one pane"));
    ASSERT_TRUE(reply.has_value());
    EXPECT_EQ(reply->body, "one pane");
    EXPECT_EQ(reply->header("Shallotproxy-Outcome"), "answered");

    const auto refused = fleet.request(1, Fleet::queueRequest("orders", "no.key", 5, "x"));
    ASSERT_TRUE(refused.has_value());
    EXPECT_EQ(refused->status, 401U);
    EXPECT_EQ(fleet.targetCount("runs"), 1);
}

TEST(ProcessWholePath, KeepsServingAfterAMemberIsKilled)
{
    auto fleet = Fleet({});
    const auto key = fleet.createKey("red");
    fleet.killMember(2);
    for (auto i = 0; i < 20; ++i) {
        const auto reply = fleet.request(i % 2, Fleet::queueRequest("orders", key, 5, "pane"));
        ASSERT_TRUE(reply.has_value());
        EXPECT_EQ(reply->header("Shallotproxy-Outcome"), "answered");
    }
}

TEST(ProcessWholePath, ExitsWithCodeZeroOnSigterm)
{
    auto fleet = Fleet({});
    EXPECT_EQ(fleet.terminateMember(1), 0);
}

} // namespace

} // namespace shallotproxy::test
