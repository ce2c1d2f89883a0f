#pragma once

#include <algorithm>

namespace shallotproxy {

/// Token bucket that limits retries to a fraction of the requests, so that retries never multiply
/// the load on a failing pool.
class RetryBudget
{
public:
    /// Tokens that each request adds.
    static constexpr double TokensPerRequest = 0.1;
    /// Capacity of the bucket, which starts full.
    static constexpr double MaxTokens = 20;

    /// Adds the tokens of one request that has arrived.
    auto deposit() -> void { m_tokens = std::min(MaxTokens, m_tokens + TokensPerRequest); }

    /// Consumes the token of one retry, and returns false if there is none.
    [[nodiscard]] auto withdraw() -> bool
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    double m_tokens = MaxTokens;
};

} // namespace shallotproxy
