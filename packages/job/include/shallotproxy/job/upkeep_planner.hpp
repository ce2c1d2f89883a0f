#pragma once

#include <optional>
#include <span>

#include "host_view.hpp"

namespace shallotproxy {

/// A wave of host upkeep that an operator has declared.
struct UpkeepWave
{
    std::uint64_t number = 0;
    std::set<HostName> hosts;
    Duration duration{};
    /// Maximum number of hosts of the wave that are down at the same time.
    std::uint32_t maxConcurrent = 1;
};

/// An order to start the upkeep of a host.
struct UpkeepStart
{
    HostName host;
    std::uint64_t wave = 0;
    /// The worker that ends with the upkeep. When a late answer arrives, the host may already have
    /// another one.
    WorkerName worker;
};

/// The orders that are due now.
struct UpkeepOrders
{
    std::vector<HostName> drain;
    std::vector<UpkeepStart> start;
    /// Numbers of the waves that are completed.
    std::vector<std::uint64_t> completed;
};

/// The hosts that were drained for a wave that is withdrawn.
struct WithdrawnHosts
{
    std::vector<HostName> idle;
    /// Their start orders have no answer, and may still be carried out.
    std::vector<HostName> inDoubt;
};

/// Plans the upkeep of the hosts of all waves.
///
/// Expected load: a wave of half of the fleet is declared while one pool is at its peak. The wave
/// is spread over its time, so that most of its hosts can serve the peak. Starts idle hosts first
/// and no host that still has runs. Never has more hosts of a wave down than the wave allows; a
/// host whose start order has no answer counts as down.
class UpkeepPlanner
{
public:
    using Milliseconds = std::chrono::milliseconds;

    /// Hosts of a wave that are drained at the same time, as a multiple of those that may be down,
    /// so that the next hosts are idle when the first ones come back.
    static constexpr std::size_t DrainingPerDown = 2;
    /// Time for the orders before and after the upkeep of a host, added to that of the platform.
    static constexpr Milliseconds OrderTime{600};
    /// The part of a wave's duration after which all of its hosts should have started. The rest is
    /// for hosts that take long to drain, for takeovers and for platform outages.
    static constexpr double PlannedPart = 0.6;

    /// A host that all lists of this time leave out has left the fleet. Pages of a list aren't one
    /// snapshot: a host may be missing from one.
    static constexpr Milliseconds DepartureTime{5'000};

    /// The platform takes `hostUpkeepTime` for the upkeep of a host.
    explicit UpkeepPlanner(Milliseconds hostUpkeepTime = Milliseconds(2'000))
        : m_hostTime(hostUpkeepTime + OrderTime)
    { }

    /// Adds a wave. `startedHosts` have had their upkeep started by earlier stewards.
    auto waveDeclared(UpkeepWave wave, const std::set<HostName> &startedHosts) -> void;
    /// Removes a wave. Returns the hosts that no other wave claims.
    auto waveWithdrawn(std::uint64_t number) -> WithdrawnHosts;
    /// The start order was sent; its outcome isn't known yet.
    auto startSent(const UpkeepStart &start) -> void;
    auto startAccepted(const UpkeepStart &start, BootTime now) -> void;
    /// The start order is known to have had no effect.
    auto startRefused(const UpkeepStart &start) -> void;
    /// Returns the orders that are due, given the hosts as listed at `listedAt`. Hosts in
    /// `blocked`, such as those with an unanswered move, are neither drained nor started.
    auto step(std::span<const HostView> hosts, const std::set<HostName> &blocked, BootTime listedAt,
              BootTime now) -> UpkeepOrders;
    /// Returns the hosts of a wave whose upkeep has started or is over.
    [[nodiscard]] auto startedHosts(std::uint64_t wave) const -> std::set<HostName>;
    /// Whether a wave isn't completed yet.
    [[nodiscard]] auto hasWork() const -> bool;
    /// Whether a wave includes the host and hasn't started its upkeep yet.
    [[nodiscard]] auto isDue(const HostName &host) const -> bool;
    /// Whether the host is being drained for its upkeep, or its start order was sent.
    [[nodiscard]] auto isClaimed(const HostName &host) const -> bool;

private:
    struct Wave
    {
        UpkeepWave declaration;
        std::set<HostName> startedHosts;
        /// Hosts whose start order has no answer yet.
        std::set<HostName> unanswered;
        /// Started hosts that haven't been listed as up again, with the time of the answer.
        std::map<HostName, BootTime> down;
        /// Hosts that weren't started and are missing from the list, with the time of the first
        /// such list.
        std::map<HostName, BootTime> missingSince;
        bool isCompleted = false;
        /// Time at which the first step saw the wave.
        std::optional<BootTime> firstStepAt;
        /// An earlier steward began the wave, so that the time left is unknown.
        bool isInherited = false;
    };

    /// Returns how many hosts of the wave may be down now to spread it over its time.
    [[nodiscard]] auto paceOf(const Wave &wave, std::size_t remaining, BootTime now) const
        -> std::size_t;

    /// Whether a host of the wave that wasn't started may still be there although it isn't listed.
    static auto awaitsMissingHosts(Wave &wave, std::span<const HostView> hosts, BootTime listedAt)
        -> bool;
    auto stepWave(Wave &wave, std::span<const HostView> hosts, const std::set<HostName> &blocked,
                  BootTime listedAt, BootTime now, UpkeepOrders &orders) -> void;

    Milliseconds m_hostTime; // for which a host of a wave is away
    std::map<std::uint64_t, Wave> m_waves;
    std::set<HostName> m_draining;
};

} // namespace shallotproxy
