#pragma once

#include <algorithm>

namespace shallotproxy {

/// Token bucket that holds retries to a part of the requests, so that retries never multiply the
/// load on a pool that is failing.
class RetryBudget
{
public:
    /// Tokens that each request brings in.
    static constexpr double TokensPerRequest = 0.1;
    /// Most tokens that are kept, and how many there are at the start.
    static constexpr double MaxTokens = 20;

    /// A request has arrived.
    auto deposit() -> void { m_tokens = std::min(MaxTokens, m_tokens + TokensPerRequest); }

    /// Takes the token of one retry; false if there is none.
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
