#include <chrono>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "shallotproxy/request.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

RC_GTEST_PROP(RetryBudget, NeverExceedsItsFractionOfTheRequests,
              (const std::vector<bool> &areRequests))
{
    auto budget = RetryBudget();
    auto requests = 0;
    auto retries = 0;
    for (const auto isRequest : areRequests) {
        if (isRequest) {
            ++requests;
            budget.deposit();
        } else {
            retries += budget.withdraw() ? 1 : 0;
        }
    }
    RC_ASSERT(retries <= RetryBudget::MaxTokens + requests * RetryBudget::TokensPerRequest + 1e-6);
}

TEST(RetryBudget, AllowsATenthOfTheRequestsWhenEverythingFails)
{
    auto budget = RetryBudget();
    auto retries = 0;
    for (auto i = 0; i < 10'000; ++i) {
        budget.deposit();
        retries += budget.withdraw() ? 1 : 0;
    }
    EXPECT_LE(retries, 1'020);
    EXPECT_GE(retries, 980);
}

RC_GTEST_PROP(AttemptTimeout, IsNeverLongerThanTheRemainingTime,
              (std::uint32_t milliseconds, bool isIdempotent))
{
    const auto remaining = std::chrono::milliseconds(milliseconds % 100'000 + 1);
    const auto timeout = attemptTimeout(remaining, isIdempotent);
    RC_ASSERT(timeout <= remaining);
    RC_ASSERT(timeout > Duration::zero());
    RC_ASSERT(isIdempotent || timeout == remaining);
}

TEST(RetryDelay, IsZeroAtFirstThenDoublesUpToItsMaximum)
{
    EXPECT_EQ(retryDelay(1), Duration::zero());
    EXPECT_EQ(retryDelay(2), 50ms);
    EXPECT_EQ(retryDelay(3), 100ms);
    EXPECT_EQ(retryDelay(30), 1s);
}

} // namespace

} // namespace shallotproxy
