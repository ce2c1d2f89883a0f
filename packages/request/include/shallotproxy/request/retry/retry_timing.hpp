#pragma once

#include "shallotproxy/process/base/boot_clock.hpp"

namespace shallotproxy {

/// Returns the delay after `attempts` attempts at a request: none before the second attempt, then
/// doubling up to a bound.
auto retryDelay(unsigned attempts) -> Duration;

/// Returns how long to wait for the answer to one attempt. An idempotent request leaves half of the
/// remaining time for another attempt, so that one connection that hangs doesn't use up the
/// deadline. Any other request has a single attempt.
auto attemptTimeout(Duration untilDeadline, bool isIdempotent) -> Duration;

} // namespace shallotproxy
