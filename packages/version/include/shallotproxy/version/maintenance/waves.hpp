#pragma once

#include <optional>
#include <string>
#include <vector>

#include "budget.hpp"

namespace shallotproxy {

/// Hosts of one job whose work outside the configuration is done.
struct FinishedHosts
{
    IntentId job;
    HostSet hosts;
};

/// Returns the next configuration of maintenance in progress: finished hosts return to their
/// previous state, in their new pool if they move, and waiting ones are taken out of service as far
/// as every budget allows. No value if nothing changes. Publishing the result grants the wave.
/// O(hosts log hosts).
auto advanceMaintenance(const Configuration &current, const HostSet &failed,
                        const std::vector<FinishedHosts> &finished) -> std::optional<Configuration>;

/// One wave of a forecast.
struct ForecastWave
{
    std::vector<HostName> hosts;
    std::map<PoolName, PoolMargin> pools; // while the wave is out of service
    std::map<DataCentreName, std::uint32_t> inService; // hosts per data centre
};

/// The course of maintenance if no further host fails.
struct Forecast
{
    std::vector<ForecastWave> waves;
    std::vector<HostName> blocked; // hosts whose pool has no margin
    PoolMargin minMargin; // of all pools and waves
};

/// Simulates the job to its end, wave by wave; `current` already contains it. O(waves * hosts).
auto forecastMaintenance(const Configuration &current, const HostSet &failed, const IntentId &job)
    -> Forecast;

/// Returns the hosts of a job in the order in which they are taken out: pools in turn, and within a
/// pool data centres in turn, so that waves spread over the data centres.
auto maintenanceOrder(const Configuration &configuration, const std::vector<HostName> &hosts)
    -> std::vector<HostName>;

/// Chooses hosts to move into a pool: from the pools with the most candidates, in the data centres
/// where the pool has the fewest hosts. Returns fewer than `count` if no pool can spare more.
auto chooseHostsToMove(const Configuration &configuration, const HostSet &failed,
                       const PoolName &pool, HostRole role, std::uint32_t count)
    -> std::vector<HostName>;

} // namespace shallotproxy
