#pragma once

#include <cstdint>
#include <map>

#include "../base/boot_clock.hpp"
#include "../base/names.hpp"

namespace shallotproxy {

/// Resources that one team has used.
struct TeamUsage
{
    /// Sum of the run times, each from the start of a request to its end.
    std::uint64_t slotMicroseconds = 0;
    std::uint64_t requests = 0;
    std::uint64_t tasks = 0;

    /// Counts one ended request with its run time.
    auto add(Duration runTime) -> void;
    auto operator+=(const TeamUsage &other) -> TeamUsage &;
    auto operator==(const TeamUsage &other) const -> bool = default;
    MSGPACK_DEFINE(slotMicroseconds, requests, tasks)
};

using TeamUsages = std::map<TeamName, TeamUsage>;

/// Usage that one incarnation has counted since its start. A later record of an incarnation
/// replaces the earlier ones, so that no request is counted twice.
struct UsageRecord
{
    Incarnation source;
    TeamUsages teams;
    MSGPACK_DEFINE(source, teams)
};

/// Sums the newest record of each incarnation.
class UsageSum
{
public:
    /// Adds a record. A record that is not newer than the stored one of its incarnation changes
    /// nothing.
    auto add(const UsageRecord &record) -> void;
    [[nodiscard]] auto total() const -> TeamUsages;
    [[nodiscard]] auto records() const -> const std::map<Incarnation, TeamUsages> &
    {
        return m_records;
    }

private:
    std::map<Incarnation, TeamUsages> m_records;
};

} // namespace shallotproxy
