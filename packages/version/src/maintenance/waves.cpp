#include "shallotproxy/version/maintenance/waves.hpp"

#include <algorithm>
#include <limits>

namespace shallotproxy {

namespace {

/// The margins of all pools, reduced as hosts are added to a wave.
class RemainingMargins
{
public:
    RemainingMargins(const Configuration &configuration, const HostSet &failed)
        : m_configuration(configuration)
        , m_failed(failed)
        , m_margins(poolMargins(configuration, failed))
    { }

    /// Returns whether the host may be taken out now, and reduces the margin of its pool if so. A
    /// host that is already unavailable does not reduce it.
    auto tryReserve(const Host &host) -> bool
    {
        if (isUnavailable(m_configuration, host, m_failed))
            return true;
        auto &margin = m_margins.at(host.pool);
        if (margin.remaining() <= 0)
            return false;
        ++margin.unavailable;
        return true;
    }

private:
    const Configuration &m_configuration;
    const HostSet &m_failed;
    std::map<PoolName, PoolMargin> m_margins;
};

/// Moves the host if the job does so, and returns it to its previous state.
auto finishHost(Configuration &next, const MaintenanceJob &job, const ActiveHost &active) -> void
{
    const auto it = next.hosts.find(active.host);
    if (it == next.hosts.end())
        return;
    if (job.kind == MaintenanceKind::Move)
        it->second.pool = job.pool;
    // A state that an operator has set in the meantime stays.
    if (it->second.state == ServiceState::Leaving)
        it->second.state = active.previousState;
}

/// Completes the finished hosts of a job; removes the job if no host is left. Returns whether any
/// host was completed.
auto finishHosts(Configuration &next, const FinishedHosts &finished) -> bool
{
    const auto entry = next.maintenance.find(finished.job);
    if (entry == next.maintenance.end())
        return false;
    auto &job = entry->second;
    auto stillActive = std::vector<ActiveHost>();
    for (const auto &it : job.active) {
        if (finished.hosts.contains(it.host)) {
            finishHost(next, job, it);
            ++job.done;
        } else {
            stillActive.push_back(it);
        }
    }
    const auto isChanged = stillActive.size() != job.active.size();
    job.active = std::move(stillActive);
    if (job.active.empty() && job.waiting.empty())
        next.maintenance.erase(entry);
    return isChanged;
}

/// Returns the hosts that any job has taken out of service.
auto activeHosts(const Configuration &configuration) -> HostSet
{
    auto hosts = HostSet();
    for (const auto &[id, job] : configuration.maintenance) {
        for (const auto &it : job.active)
            hosts.insert(it.host);
    }
    return hosts;
}

/// Takes waiting hosts of the job out of service as far as the margins allow. Returns whether there
/// were any.
auto startWave(Configuration &next, MaintenanceJob &job, RemainingMargins &margins, HostSet &active)
    -> bool
{
    auto waiting = std::vector<HostName>();
    auto isStarted = false;
    for (const auto &name : job.waiting) {
        const auto it = next.hosts.find(name);
        if (it == next.hosts.end())
            continue; // the host has been removed from the configuration
        auto &host = it->second;
        if (active.contains(name) || !margins.tryReserve(host)) {
            waiting.push_back(name);
            continue;
        }
        job.active.push_back({name, host.state});
        active.insert(name);
        host.state = ServiceState::Leaving;
        isStarted = true;
    }
    job.waiting = std::move(waiting);
    if (isStarted)
        ++job.waves;
    return isStarted;
}

auto forecastWave(const Configuration &configuration, const HostSet &failed,
                  const MaintenanceJob &job) -> ForecastWave
{
    auto wave = ForecastWave();
    for (const auto &it : job.active)
        wave.hosts.push_back(it.host);
    wave.pools = poolMargins(configuration, failed);
    for (const auto &[name, host] : configuration.hosts) {
        auto &count = wave.inService[host.dataCentre];
        if (!isUnavailable(configuration, host, failed))
            ++count;
    }
    return wave;
}

} // namespace

auto advanceMaintenance(const Configuration &current, const HostSet &failed,
                        const std::vector<FinishedHosts> &finished) -> std::optional<Configuration>
{
    auto next = current;
    auto isChanged = false;
    for (const auto &it : finished)
        isChanged = finishHosts(next, it) || isChanged;
    // The margins count the finished hosts as returned: both changes take effect in one version.
    const auto base = next;
    auto margins = RemainingMargins(base, failed);
    auto active = activeHosts(next);
    for (auto &[id, job] : next.maintenance)
        isChanged = startWave(next, job, margins, active) || isChanged;
    if (!isChanged)
        return std::nullopt;
    next.version = current.version + 1;
    return next;
}

auto forecastMaintenance(const Configuration &current, const HostSet &failed, const IntentId &job)
    -> Forecast
{
    auto forecast = Forecast();
    forecast.minMargin.allowed = std::numeric_limits<std::uint32_t>::max();
    auto configuration = current;
    auto finished = std::vector<FinishedHosts>();
    while (auto next = advanceMaintenance(configuration, failed, finished)) {
        configuration = std::move(*next);
        const auto entry = configuration.maintenance.find(job);
        if (entry == configuration.maintenance.end())
            return forecast;
        if (entry->second.active.empty())
            break;
        forecast.waves.push_back(forecastWave(configuration, failed, entry->second));
        for (const auto &[name, margin] : forecast.waves.back().pools) {
            if (margin.remaining() < forecast.minMargin.remaining())
                forecast.minMargin = margin;
        }
        finished.clear();
        for (const auto &[id, running] : configuration.maintenance) {
            auto finishedHosts = FinishedHosts{id, {}};
            for (const auto &it : running.active)
                finishedHosts.hosts.insert(it.host);
            finished.push_back(std::move(finishedHosts));
        }
    }
    const auto entry = configuration.maintenance.find(job);
    if (entry != configuration.maintenance.end())
        forecast.blocked = entry->second.waiting;
    return forecast;
}

auto maintenanceOrder(const Configuration &configuration, const std::vector<HostName> &hosts)
    -> std::vector<HostName>
{
    auto nextTurn = std::map<std::pair<PoolName, DataCentreName>, std::size_t>();
    auto turns = std::vector<std::pair<std::size_t, HostName>>();
    for (const auto &name : hosts) {
        const auto &host = configuration.hosts.at(name);
        turns.emplace_back(nextTurn[{host.pool, host.dataCentre}]++, name);
    }
    std::ranges::stable_sort(
        turns, [](const auto &left, const auto &right) { return left.first < right.first; });
    auto order = std::vector<HostName>();
    for (auto &[turn, name] : turns)
        order.push_back(std::move(name));
    return order;
}

auto chooseHostsToMove(const Configuration &configuration, const HostSet &failed,
                       const PoolName &pool, HostRole role, std::uint32_t count)
    -> std::vector<HostName>
{
    auto candidates = std::map<PoolName, std::vector<const Host *>>();
    auto hostsPerDataCentre = std::map<DataCentreName, std::uint32_t>(); // of the growing pool
    auto active = activeHosts(configuration);
    for (const auto &[id, job] : configuration.maintenance)
        active.insert(job.waiting.begin(), job.waiting.end());
    for (const auto &[name, host] : configuration.hosts) {
        if (host.role != role)
            continue;
        if (host.pool == pool) {
            ++hostsPerDataCentre[host.dataCentre];
        } else if (!isUnavailable(configuration, host, failed) && !active.contains(name)) {
            candidates[host.pool].push_back(&host);
        }
    }
    auto moves = std::vector<HostName>();
    while (moves.size() < count) {
        const auto sourcePool =
            std::ranges::max_element(candidates, [](const auto &left, const auto &right) {
                return left.second.size() < right.second.size();
            });
        // A pool keeps at least one host more than its budget allows to be unavailable.
        if (sourcePool == candidates.end()
            || sourcePool->second.size()
                <= configuration.pools.at(sourcePool->first).maxUnavailable + 1) {
            break;
        }
        const auto host = std::ranges::min_element(
            sourcePool->second, [&hostsPerDataCentre](const Host *left, const Host *right) {
                return hostsPerDataCentre[left->dataCentre] < hostsPerDataCentre[right->dataCentre];
            });
        ++hostsPerDataCentre[(*host)->dataCentre];
        moves.push_back((*host)->name);
        sourcePool->second.erase(host);
    }
    return moves;
}

} // namespace shallotproxy
