#pragma once

#include "shallotproxy/demand.hpp"

namespace shallotproxy {

/// What the runs of a team use.
struct TeamLoad
{
    Resources total;
    /// The part that long-running tasks use. It doesn't become free by itself.
    Resources longRunning;

    /// Returns what remains in use once all finite runs have ended.
    [[nodiscard]] auto afterFiniteRuns() const -> TeamLoad { return {longRunning, longRunning}; }
};

/// Whether the limit of a team, 0 for none, lets a task start beside the team's runs.
///
/// The runs stay within the limit, apart from one task that would otherwise wait for ever: while
/// the team uses less than half of its limit, and, if the task is finite, while the team runs
/// long-running tasks only.
///
/// Load pattern: teams with long-running tasks whose limit is lowered, and jobs with a few large
/// tasks among many small ones.
auto isWithinLimit(const TeamLoad &usage, const Resources &task, bool isLongRunning,
                   const Resources &limit) -> bool;

} // namespace shallotproxy
