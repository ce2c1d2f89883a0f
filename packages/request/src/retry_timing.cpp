#include <algorithm>
#include <chrono>

#include "shallotproxy/request/retry/retry_timing.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr Duration FirstDelay = 50ms;
constexpr Duration MaxDelay = 1s;
constexpr unsigned MaxDoublings = 5;
constexpr Duration MinAttemptTimeout = 1s;

} // namespace

auto retryDelay(unsigned attempts) -> Duration
{
    if (attempts < 2)
        return Duration::zero();
    return std::min(MaxDelay, FirstDelay * (1U << std::min(attempts - 2, MaxDoublings)));
}

auto attemptTimeout(Duration untilDeadline, bool isIdempotent) -> Duration
{
    const auto remaining = std::max(Duration(1ms), untilDeadline);
    return isIdempotent ? std::min(remaining, std::max(MinAttemptTimeout, remaining / 2))
                        : remaining;
}

} // namespace shallotproxy
