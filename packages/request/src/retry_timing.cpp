#include <algorithm>
#include <chrono>

#include "shallotproxy/request/retry/retry_timing.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr Duration FirstDelay = 50ms;
constexpr Duration MaxDelay = 1s;
constexpr unsigned MaxDoublings = 5;
constexpr Duration ShortestTry = 1s;

} // namespace

auto retryDelay(unsigned tries) -> Duration
{
    if (tries < 2)
        return Duration::zero();
    return std::min(MaxDelay, FirstDelay * (1U << std::min(tries - 2, MaxDoublings)));
}

auto tryTimeout(Duration untilDeadline, bool isIdempotent) -> Duration
{
    const auto left = std::max(Duration(1ms), untilDeadline);
    return isIdempotent ? std::min(left, std::max(ShortestTry, left / 2)) : left;
}

} // namespace shallotproxy
