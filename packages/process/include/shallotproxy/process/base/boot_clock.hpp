#pragma once

#include <chrono>
#include <cstdint>

namespace shallotproxy {

/// Duration type of all decision classes.
using Duration = std::chrono::nanoseconds;

/// Monotonic clock that keeps running while the machine is suspended (CLOCK_BOOTTIME).
struct BootClock
{
    using duration = Duration; // NOLINT(readability-identifier-naming)
    using rep = duration::rep; // NOLINT(readability-identifier-naming)
    using period = duration::period; // NOLINT(readability-identifier-naming)
    using time_point = std::chrono::time_point<BootClock>; // NOLINT(readability-identifier-naming)
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    static auto now() noexcept -> time_point;
};

using BootTime = BootClock::time_point;

/// Returns the wall-clock time in milliseconds since 1970-01-01 UTC. For display only.
auto wallMilliseconds() -> std::int64_t;

} // namespace shallotproxy
