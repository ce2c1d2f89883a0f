#pragma once

#include <cstdint>
#include <span>

#include "shallotproxy/process/base/boot_clock.hpp"

namespace shallotproxy {

/// The properties of a waiting step of a job that decide when its tasks are placed.
struct WaitingStep
{
    /// Priority of the queue; lower values are placed first.
    std::uint32_t priority = 0;
    bool isLongRunning = false;
    /// Estimated remaining work on the critical path of the job.
    Duration remainingWork{};
    BootTime deadline;
    BootTime submittedAt;
    /// The team's running cores divided by its weight, relative to the mean of all teams.
    double relativeTeamUsage = 1;
    /// Identifies the step to the caller.
    std::size_t index = 0;
};

/// Sorts waiting steps into the order in which they are placed.
///
/// Long-running work comes first: there is little of it, and it must run at any load. Jobs that can
/// still meet their deadline come before late ones, with the least remaining work first; the work
/// of a team above its share counts as up to twice as much, and that of a team below its share as
/// down to half. Late jobs are sorted by age, the oldest first, so that each ends eventually.
auto sortWaiting(std::span<WaitingStep> steps, BootTime now) -> void;

} // namespace shallotproxy
