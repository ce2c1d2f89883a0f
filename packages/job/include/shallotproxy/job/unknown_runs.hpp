#pragma once

#include <algorithm>
#include <map>
#include <optional>

#include "job_spec.hpp"
#include "shallotproxy/demand.hpp"

namespace shallotproxy {

/// The runs of each team that an earlier steward may have started and that no worker has shown yet.
///
/// Expected conditions: a steward takes over with some workers cut off for longer than a lease, and
/// teams at their limits that go on submitting jobs.
class UnknownRuns
{
public:
    /// Adds one run of each of `count` tasks of the step.
    auto add(const TeamName &team, const StepSpec &step, std::int64_t count = 1) -> void
    {
        m_teams[team] += step.reservedResources() * count;
        m_spareMilliCores[team] += spareMilliCores(step) * count;
    }

    /// Removes one run that was added.
    auto remove(const TeamName &team, const StepSpec &step) -> void
    {
        m_teams[team] -= step.reservedResources();
        m_spareMilliCores[team] -= spareMilliCores(step);
    }

    /// Returns the most that these runs of the team use. `room` is the capacity of the workers that
    /// haven't been asked, if it is known.
    [[nodiscard]] auto upperBound(const TeamName &team, const std::optional<Resources> &room) const
        -> Resources
    {
        const auto runs = m_teams.find(team);
        if (runs == m_teams.end())
            return {};
        auto bound = runs->second;
        if (room) {
            bound.milliCores = std::min(bound.milliCores, room->milliCores);
            bound.memoryMegabytes = std::min(bound.memoryMegabytes, room->memoryMegabytes);
            bound.accelerators = std::min(bound.accelerators, room->accelerators);
        }
        // No capacity bounds the tasks on spare cores, but there are none without a worker.
        const auto hasRoom = !room || *room != Resources();
        bound.milliCores += hasRoom ? m_spareMilliCores.at(team) : 0;
        return bound;
    }

private:
    static auto spareMilliCores(const StepSpec &step) -> std::int64_t
    {
        return step.resources.milliCores - step.reservedResources().milliCores;
    }

    std::map<TeamName, Resources> m_teams;
    std::map<TeamName, std::int64_t> m_spareMilliCores;
};

} // namespace shallotproxy
