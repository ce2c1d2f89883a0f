#pragma once

#include "shallotproxy/process/base/boot_clock.hpp"

namespace shallotproxy {

/// Wait before try number `tries` + 1 of a request: none before the second try, then doubling.
auto retryDelay(unsigned tries) -> Duration;

/// Longest wait for the answer to one try. An idempotent request leaves half of what remains for
/// another try, so that one parked connection doesn't use up its deadline; any other has one try.
auto tryTimeout(Duration untilDeadline, bool isIdempotent) -> Duration;

} // namespace shallotproxy
