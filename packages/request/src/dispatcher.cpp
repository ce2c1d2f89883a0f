#include <algorithm>
#include <chrono>

#include "shallotproxy/request/dispatch/dispatcher.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t FaultsToEject = 3; // in a row
constexpr Duration EjectionTime = 5s;
constexpr std::size_t MaxEjectedFraction = 2; // at most one in two targets of a pool

} // namespace

auto Dispatcher::step(const DispatchEvent &event, BootTime now) -> std::vector<DispatchAction>
{
    m_now = now;
    m_actions.clear();
    std::visit([this](const auto &it) { handle(it); }, event);
    startWaiting();
    return std::move(m_actions);
}

auto Dispatcher::loads() const -> std::vector<PoolTeamLoad>
{
    auto loads = std::vector<PoolTeamLoad>();
    for (const auto &[poolName, pool] : m_pools) {
        for (const auto &[teamName, team] : pool.teams) {
            loads.push_back(
                {poolName, teamName, static_cast<std::uint32_t>(team.queued()), team.running});
        }
    }
    return loads;
}

auto Dispatcher::runningOf(const TeamName &team) const -> std::uint32_t
{
    const auto it = m_running.find(team);
    return it == m_running.end() ? 0 : it->second;
}

auto Dispatcher::handle(const RequestArrived &event) -> void
{
    if (m_isDraining) {
        refuse(event.number, Refusal::Kind::ShuttingDown);
        return;
    }
    if (!m_configuration || m_now >= m_freshUntil) {
        refuse(event.number, Refusal::Kind::NotFresh);
        return;
    }
    const auto it = m_configuration->queues.find(event.queue);
    if (it == m_configuration->queues.end()) {
        refuse(event.number, Refusal::Kind::UnknownQueue);
        return;
    }
    const auto &queue = it->second;
    auto request =
        Request{queue.pool, event.queue, event.team, event.deadline, queue.isUrgent, false, {}};
    auto &waiting = queueOf(request);
    if (waiting.size() >= queue.capacity) {
        refuse(event.number, Refusal::Kind::QueueFull);
        return;
    }
    waiting.push_back(event.number);
    m_requests.emplace(event.number, std::move(request));
}

auto Dispatcher::handle(const RequestFinished &event) -> void
{
    const auto it = m_requests.find(event.number);
    if (it == m_requests.end())
        return;
    auto &target = m_targets[it->second.host];
    target.faults = event.isTargetFault ? target.faults + 1 : 0;
    if (target.faults >= FaultsToEject)
        target.ejectedUntil = m_now + EjectionTime;
    release(it->second);
    m_requests.erase(it);
}

auto Dispatcher::handle(const RequestNotSent &event) -> void
{
    const auto it = m_requests.find(event.number);
    if (it == m_requests.end())
        return;
    auto &target = m_targets[it->second.host];
    ++target.faults;
    target.ejectedUntil = m_now + EjectionTime;
    release(it->second);
    if (m_isDraining) {
        refuse(event.number, Refusal::Kind::ShuttingDown);
        m_requests.erase(it);
        return;
    }
    queueOf(it->second).push_front(event.number);
}

auto Dispatcher::handle(const CallerGone &event) -> void
{
    const auto it = m_requests.find(event.number);
    if (it == m_requests.end() || it->second.isRunning)
        return;
    std::erase(queueOf(it->second), event.number);
    m_requests.erase(it);
}

auto Dispatcher::handle(const ConfigurationChanged &event) -> void
{
    m_configuration = event.configuration;
    m_targetsOfPool.clear();
    for (const auto &[name, host] : m_configuration->hosts) {
        if (host.role == HostRole::Target)
            m_targetsOfPool[host.pool].push_back(name);
    }
}

auto Dispatcher::handle(const FreshnessChanged &event) -> void
{
    m_freshUntil = event.freshUntil;
}

auto Dispatcher::handle(const CreditsChanged &event) -> void
{
    auto &pool = m_pools[event.pool];
    for (auto &[name, team] : pool.teams)
        team.credits = 0;
    for (const auto &[name, slots] : event.slots)
        pool.teams[name].credits = slots;
}

auto Dispatcher::handle(const UnitsChanged &event) -> void
{
    m_units = event.units;
}

auto Dispatcher::handle(const DrainStarted & /*event*/) -> void
{
    m_isDraining = true;
    auto waiting = std::vector<RequestNumber>();
    for (const auto &[number, request] : m_requests) {
        if (!request.isRunning)
            waiting.push_back(number);
    }
    for (const auto number : waiting) {
        std::erase(queueOf(m_requests.at(number)), number);
        m_requests.erase(number);
        refuse(number, Refusal::Kind::ShuttingDown);
    }
}

auto Dispatcher::handle(const DispatchTick & /*event*/) -> void
{
    expire();
}

auto Dispatcher::queueOf(const Request &request) -> std::deque<RequestNumber> &
{
    auto &team = m_pools[request.pool].teams[request.team];
    return request.isUrgent ? team.urgent : team.normal;
}

auto Dispatcher::refuse(RequestNumber number, Refusal::Kind kind) -> void
{
    m_actions.emplace_back(RefuseRequest{number, Refusal{kind}});
}

auto Dispatcher::expire() -> void
{
    auto expired = std::vector<RequestNumber>();
    for (const auto &[number, request] : m_requests) {
        if (!request.isRunning && m_now >= request.deadline)
            expired.push_back(number);
    }
    for (const auto number : expired) {
        std::erase(queueOf(m_requests.at(number)), number);
        m_requests.erase(number);
        refuse(number, Refusal::Kind::DeadlinePassed);
    }
}

auto Dispatcher::startWaiting() -> void
{
    // Not fresh: nothing starts, and what waits keeps its place until its deadline.
    if (!m_configuration || m_now >= m_freshUntil || m_isDraining)
        return;
    for (auto &[name, pool] : m_pools) {
        while (startOne(name, pool)) { }
    }
}

// Teams take turns; the steward's credits, not this order, decide how much each one gets.
auto Dispatcher::startOne(const PoolName &name, PoolState &pool) -> bool
{
    if (pool.teams.empty())
        return false;
    auto it = pool.teams.upper_bound(pool.lastServed);
    for (std::size_t i = 0; i < pool.teams.size(); ++i, ++it) {
        if (it == pool.teams.end())
            it = pool.teams.begin();
        if (!mayStart(it->first, it->second))
            continue;
        const auto *host = chooseTarget(name);
        if (host == nullptr)
            return false;
        auto &team = it->second;
        auto &waiting = team.urgent.empty() ? team.normal : team.urgent;
        const auto number = waiting.front();
        waiting.pop_front();
        auto &request = m_requests.at(number);
        request.isRunning = true;
        request.host = host->name;
        ++team.running;
        ++m_running[it->first];
        ++m_targets[host->name].running;
        pool.lastServed = it->first;
        m_actions.emplace_back(StartRequest{number, host->name});
        return true;
    }
    return false;
}

auto Dispatcher::mayStart(const TeamName &name, const TeamQueue &team) const -> bool
{
    if (team.isEmpty() || team.running >= team.credits)
        return false;
    if (name.isEmpty())
        return true;
    const auto it = m_units.find(name);
    return it != m_units.end() && runningOf(name) < it->second;
}

auto Dispatcher::chooseTarget(const PoolName &pool) const -> const Host *
{
    const auto targets = m_targetsOfPool.find(pool);
    if (targets == m_targetsOfPool.end())
        return nullptr;
    const Host *best = nullptr;
    auto bestRunning = UINT32_MAX;
    const Host *bestEjected = nullptr;
    auto ejectedRunning = UINT32_MAX;
    std::size_t inService = 0;
    std::size_t ejected = 0;
    for (const auto &name : targets->second) {
        const auto &host = m_configuration->hosts.at(name);
        if (!m_configuration->takesWork(host))
            continue;
        ++inService;
        const auto it = m_targets.find(name);
        const auto running = it == m_targets.end() ? 0 : it->second.running;
        const auto isEjected = it != m_targets.end() && m_now < it->second.ejectedUntil;
        ejected += isEjected ? 1 : 0;
        if (running >= host.slots)
            continue;
        if (!isEjected && running < bestRunning) {
            best = &host;
            bestRunning = running;
        }
        if (isEjected && running < ejectedRunning) {
            bestEjected = &host;
            ejectedRunning = running;
        }
    }
    // Correlated failures must never empty a pool: past the cap, ejected targets are tried again.
    if (best == nullptr && ejected * MaxEjectedFraction > inService)
        return bestEjected;
    return best;
}

auto Dispatcher::release(Request &request) -> void
{
    request.isRunning = false;
    --m_pools.at(request.pool).teams.at(request.team).running;
    --m_running.at(request.team);
    --m_targets.at(request.host).running;
}

} // namespace shallotproxy
