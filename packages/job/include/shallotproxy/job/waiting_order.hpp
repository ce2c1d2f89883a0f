#pragma once

#include <cstdint>
#include <span>

#include "shallotproxy/process/base/boot_clock.hpp"

namespace shallotproxy {

/// What decides when a waiting step of a job gets its turn.
struct WaitingStep
{
    std::uint32_t priority = 0; // of its queue; 0 goes first
    bool isLongRunning = false;
    Duration workLeft{}; // on the longest chain of the job
    BootTime onTimeUntil; // end of the job's objective
    BootTime submittedAt;
    double teamPressure = 1; // its team's cores running over its weight, over the teams' mean
    std::size_t index = 0; // the caller's own
};

/// Sorts waiting steps for a queue that asks for several times what its pool holds.
///
/// Lasting work goes first: it is little and must run whatever the load. Jobs that can still end on
/// time go before those that can't, the shortest first, where a team that has more than its part
/// running counts as longer and one with less as shorter, by up to twice; of the late, the oldest
/// first, so that each ends some time.
auto sortWaiting(std::span<WaitingStep> steps, BootTime now) -> void;

} // namespace shallotproxy
