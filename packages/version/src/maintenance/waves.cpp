#include "shallotproxy/version/maintenance/waves.hpp"

#include <algorithm>
#include <limits>

namespace shallotproxy {

namespace {

/// Margins that shrink while a wave is put together.
class Margins
{
public:
    Margins(const Configuration &configuration, const HostSet &failed)
        : m_configuration(configuration)
        , m_failed(failed)
        , m_margins(poolMargins(configuration, failed))
    { }

    /// Whether the host may leave now. One that is out of service already costs nothing.
    auto take(const Host &host) -> bool
    {
        if (isUnavailable(m_configuration, host, m_failed))
            return true;
        auto &margin = m_margins.at(host.pool);
        if (margin.left() <= 0)
            return false;
        ++margin.unavailable;
        return true;
    }

private:
    const Configuration &m_configuration;
    const HostSet &m_failed;
    std::map<PoolName, PoolMargin> m_margins;
};

auto finishHost(Configuration &next, const MaintenanceJob &job, const ActiveHost &active) -> void
{
    const auto it = next.hosts.find(active.host);
    if (it == next.hosts.end())
        return;
    if (job.kind == MaintenanceKind::Move)
        it->second.pool = job.pool;
    // What an operator has asked of the host since then stays.
    if (it->second.state == ServiceState::Leaving)
        it->second.state = active.before;
}

auto finishHosts(Configuration &next, const FinishedHosts &finished) -> bool
{
    const auto entry = next.maintenance.find(finished.job);
    if (entry == next.maintenance.end())
        return false;
    auto &job = entry->second;
    auto left = std::vector<ActiveHost>();
    for (const auto &it : job.active) {
        if (finished.hosts.contains(it.host)) {
            finishHost(next, job, it);
            ++job.done;
        } else {
            left.push_back(it);
        }
    }
    const auto isChanged = left.size() != job.active.size();
    job.active = std::move(left);
    if (job.active.empty() && job.waiting.empty())
        next.maintenance.erase(entry);
    return isChanged;
}

/// Hosts that some job has out of service.
auto activeHosts(const Configuration &configuration) -> HostSet
{
    auto hosts = HostSet();
    for (const auto &[id, job] : configuration.maintenance) {
        for (const auto &it : job.active)
            hosts.insert(it.host);
    }
    return hosts;
}

auto beginWave(Configuration &next, MaintenanceJob &job, Margins &margins, HostSet &active) -> bool
{
    auto waiting = std::vector<HostName>();
    auto isBegun = false;
    for (const auto &name : job.waiting) {
        const auto it = next.hosts.find(name);
        if (it == next.hosts.end())
            continue; // removed since
        auto &host = it->second;
        if (active.contains(name) || !margins.take(host)) {
            waiting.push_back(name);
            continue;
        }
        job.active.push_back({name, host.state});
        active.insert(name);
        host.state = ServiceState::Leaving;
        isBegun = true;
    }
    job.waiting = std::move(waiting);
    if (isBegun)
        ++job.waves;
    return isBegun;
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
    // Margins are those after the finished hosts are back: both take effect in one version.
    const auto base = next;
    auto margins = Margins(base, failed);
    auto active = activeHosts(next);
    for (auto &[id, job] : next.maintenance)
        isChanged = beginWave(next, job, margins, active) || isChanged;
    if (!isChanged)
        return std::nullopt;
    next.version = current.version + 1;
    return next;
}

auto forecastMaintenance(const Configuration &current, const HostSet &failed, const IntentId &job)
    -> Forecast
{
    auto forecast = Forecast();
    forecast.least.allowed = std::numeric_limits<std::uint32_t>::max();
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
            if (margin.left() < forecast.least.left())
                forecast.least = margin;
        }
        finished.clear();
        for (const auto &[id, running] : configuration.maintenance) {
            auto done = FinishedHosts{id, {}};
            for (const auto &it : running.active)
                done.hosts.insert(it.host);
            finished.push_back(std::move(done));
        }
    }
    const auto entry = configuration.maintenance.find(job);
    if (entry != configuration.maintenance.end())
        forecast.stuck = entry->second.waiting;
    return forecast;
}

auto maintenanceOrder(const Configuration &configuration, const std::vector<HostName> &hosts)
    -> std::vector<HostName>
{
    auto perCentre = std::map<std::pair<PoolName, DataCentreName>, std::size_t>();
    auto turns = std::vector<std::pair<std::size_t, HostName>>();
    for (const auto &name : hosts) {
        const auto &host = configuration.hosts.at(name);
        turns.emplace_back(perCentre[{host.pool, host.dataCentre}]++, name);
    }
    std::ranges::stable_sort(
        turns, [](const auto &left, const auto &right) { return left.first < right.first; });
    auto order = std::vector<HostName>();
    for (auto &[turn, name] : turns)
        order.push_back(std::move(name));
    return order;
}

auto chooseMoves(const Configuration &configuration, const HostSet &failed, const PoolName &pool,
                 HostRole role, std::uint32_t count) -> std::vector<HostName>
{
    auto candidates = std::map<PoolName, std::vector<const Host *>>();
    auto inCentre = std::map<DataCentreName, std::uint32_t>(); // hosts of the growing pool
    auto active = activeHosts(configuration);
    for (const auto &[id, job] : configuration.maintenance)
        active.insert(job.waiting.begin(), job.waiting.end());
    for (const auto &[name, host] : configuration.hosts) {
        if (host.role != role)
            continue;
        if (host.pool == pool) {
            ++inCentre[host.dataCentre];
        } else if (!isUnavailable(configuration, host, failed) && !active.contains(name)) {
            candidates[host.pool].push_back(&host);
        }
    }
    auto moves = std::vector<HostName>();
    while (moves.size() < count) {
        const auto donor =
            std::ranges::max_element(candidates, [](const auto &left, const auto &right) {
                return left.second.size() < right.second.size();
            });
        // A pool keeps more hosts than its budget may take out.
        if (donor == candidates.end()
            || donor->second.size() <= configuration.pools.at(donor->first).maxUnavailable + 1) {
            break;
        }
        const auto host = std::ranges::min_element(
            donor->second, [&inCentre](const Host *left, const Host *right) {
                return inCentre[left->dataCentre] < inCentre[right->dataCentre];
            });
        ++inCentre[(*host)->dataCentre];
        moves.push_back((*host)->name);
        donor->second.erase(host);
    }
    return moves;
}

} // namespace shallotproxy
