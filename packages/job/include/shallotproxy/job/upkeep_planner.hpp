#pragma once

#include <span>

#include "host_view.hpp"

namespace shallotproxy {

/// An operator's order that hosts get their upkeep in time.
struct UpkeepWave
{
    std::uint64_t number = 0;
    std::set<HostName> hosts;
    Duration duration{};
    std::uint32_t maxConcurrent = 1;
};

struct UpkeepStart
{
    HostName host;
    std::uint64_t wave = 0;
    WorkerName worker; // ends with it; a later answer may find the host's next one up
};

/// What the planner wants done now.
struct UpkeepOrders
{
    std::vector<HostName> drain;
    std::vector<UpkeepStart> start;
    std::vector<std::uint64_t> completed; // waves
};

/// Takes the hosts of waves through their upkeep: idle ones first, none before its runs have ended,
/// never more of a wave at once than it allows, unknown answers counted.
class UpkeepPlanner
{
public:
    /// Hosts of a wave that are emptied at a time, as a multiple of those that may be down: the
    /// next ones are empty when the first come back.
    static constexpr std::size_t VacatedPerDown = 2;

    auto waveDeclared(UpkeepWave wave, const std::set<HostName> &startedHosts) -> void;
    auto waveWithdrawn(std::uint64_t number) -> void;
    /// The start was sent; its outcome isn't known yet.
    auto startSent(const UpkeepStart &start) -> void;
    auto startAccepted(const UpkeepStart &start, BootTime now) -> void;
    /// Surely nothing was done.
    auto startRefused(const UpkeepStart &start) -> void;
    auto step(std::span<const HostView> hosts, BootTime listedAt, BootTime now) -> UpkeepOrders;
    /// The hosts of a wave whose upkeep has begun.
    [[nodiscard]] auto startedHosts(std::uint64_t wave) const -> std::set<HostName>;
    [[nodiscard]] auto hasWork() const -> bool;
    [[nodiscard]] auto isDue(const HostName &host) const -> bool;

private:
    struct Wave
    {
        UpkeepWave order;
        std::set<HostName> startedHosts;
        std::set<HostName> sent; // no answer yet
        std::map<HostName, BootTime> down; // begun, and not seen up again
        bool isCompleted = false;
    };

    auto stepWave(Wave &wave, std::span<const HostView> hosts, BootTime listedAt, BootTime now,
                  UpkeepOrders &orders) -> void;

    std::map<std::uint64_t, Wave> m_waves;
    std::set<HostName> m_vacated;
};

} // namespace shallotproxy
