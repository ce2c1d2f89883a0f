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

/// The next configuration of maintenance under way: finished hosts go back into service, in their
/// new pool if they move, and waiting ones leave as far as every budget allows. No value if nothing
/// changes. Publishing it is what grants the wave. O(hosts log hosts).
auto advanceMaintenance(const Configuration &current, const HostSet &failed,
                        const std::vector<FinishedHosts> &finished) -> std::optional<Configuration>;

/// One wave of a forecast.
struct ForecastWave
{
    std::vector<HostName> hosts;
    std::map<PoolName, PoolMargin> pools; // while the wave is out
    std::map<DataCentreName, std::uint32_t> inService; // hosts per data centre
};

/// What maintenance will do if no further host fails.
struct Forecast
{
    std::vector<ForecastWave> waves;
    std::vector<HostName> stuck; // hosts whose pool has no margin
    PoolMargin least;
};

/// Plays the job to its end, wave by wave. `current` holds it already. O(waves * hosts).
auto forecastMaintenance(const Configuration &current, const HostSet &failed, const IntentId &job)
    -> Forecast;

/// Order of a job's hosts: pools in turn, and within a pool data centres in turn, so that no wave
/// takes more than it must from one data centre.
auto maintenanceOrder(const Configuration &configuration, const std::vector<HostName> &hosts)
    -> std::vector<HostName>;

/// Hosts to move into a pool: from pools with the most to spare, into the data centres where the
/// pool has least. Fewer than `count` if no pool can spare more.
auto chooseMoves(const Configuration &configuration, const HostSet &failed, const PoolName &pool,
                 HostRole role, std::uint32_t count) -> std::vector<HostName>;

} // namespace shallotproxy
