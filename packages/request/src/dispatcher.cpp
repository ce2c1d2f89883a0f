#include <algorithm>
#include <chrono>
#include <tuple>

#include "shallotproxy/request/dispatch/dispatcher.hpp"
#include "shallotproxy/request/retry/retry_timing.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t FaultsToEject = 3; // in a row
constexpr Duration EjectionTime = 5s;
constexpr std::uint32_t MaxEjectionDoublings = 3;
constexpr int MostNeededFraction = 2; // a start leaves a run at most half of the queue's deadline
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

auto Dispatcher::check(const RequestArrived &event, BootTime now) const -> std::optional<Refusal>
{
    if (m_isDraining)
        return Refusal{Refusal::Kind::ShuttingDown};
    if (!m_configuration || now >= m_freshUntil)
        return Refusal{Refusal::Kind::NotFresh};
    const auto it = m_configuration->queues.find(event.queue);
    if (it == m_configuration->queues.end())
        return Refusal{Refusal::Kind::UnknownQueue};
    const auto pool = m_pools.find(it->second.pool);
    if (pool == m_pools.end())
        return std::nullopt;
    const auto team = pool->second.teams.find(event.team);
    if (team == pool->second.teams.end())
        return std::nullopt;
    const auto &waiting = it->second.isUrgent ? team->second.urgent : team->second.normal;
    if (waiting.size() >= it->second.capacity)
        return Refusal{Refusal::Kind::QueueFull};
    return std::nullopt;
}

auto Dispatcher::handle(const RequestArrived &event) -> void
{
    if (const auto refusal = check(event, m_now)) {
        refuse(event.number, refusal->kind);
        return;
    }
    const auto &queue = m_configuration->queues.at(event.queue);
    auto request = Request();
    request.pool = queue.pool;
    request.queue = event.queue;
    request.team = event.team;
    request.key = event.key;
    request.deadline = event.deadline;
    request.isUrgent = queue.isUrgent;
    request.isIdempotent = queue.isIdempotent;
    // The key may have been withdrawn between the check of the request and its arrival here.
    if (const auto kind = checkAdmission(request)) {
        refuse(event.number, *kind);
        return;
    }
    if (request.isIdempotent)
        m_retries.deposit();
    queueOf(request).push_back(event.number);
    m_deadlines.emplace(event.deadline, event.number);
    m_requests.emplace(event.number, std::move(request));
}

auto Dispatcher::handle(const RequestFinished &event) -> void
{
    const auto it = m_requests.find(event.number);
    if (it == m_requests.end() || !it->second.isRunning)
        return;
    auto &target = m_targets[it->second.host];
    if (event.isTargetFault) {
        noteFault(target);
    } else {
        target.faults = 0;
        target.ejections = 0;
        target.ejectedUntil = {};
        m_runTimes.add(it->second.queue, it->second.team, m_now - it->second.startedAt);
    }
    release(it->second);
    m_requests.erase(it);
}

auto Dispatcher::handle(const RequestFailed &event) -> void
{
    const auto it = m_requests.find(event.number);
    if (it == m_requests.end() || !it->second.isRunning)
        return;
    auto &request = it->second;
    if (event.isTargetFault)
        noteFault(m_targets[request.host]);
    // The target may go on with it, so it counts for the team until it must have ended.
    releaseTarget(request);
    m_uncertain.emplace(lastsUntil(request), PoolTeam{request.pool, request.team});
    request.mayHaveRun = true;
    const auto mayTryAgain = request.isIdempotent && !m_isDraining && m_now < request.deadline;
    if (mayTryAgain && m_retries.withdraw()) {
        tryAgain(event.number, request);
        return;
    }
    m_requests.erase(it);
    m_actions.emplace_back(AbandonRequest{event.number});
}

auto Dispatcher::handle(const RequestNotSent &event) -> void
{
    const auto it = m_requests.find(event.number);
    if (it == m_requests.end() || !it->second.isRunning)
        return;
    auto &request = it->second;
    if (event.isTargetFault)
        eject(m_targets[request.host]);
    release(request);
    if (m_isDraining) {
        end(event.number, Refusal::Kind::ShuttingDown);
        return;
    }
    tryAgain(event.number, request);
}

auto Dispatcher::handle(const CallerDisconnected &event) -> void
{
    const auto it = m_requests.find(event.number);
    if (it != m_requests.end() && !it->second.isRunning)
        forget(event.number);
}

auto Dispatcher::handle(const TargetProbed &event) -> void
{
    if (event.isAlive)
        return;
    // It stays out for as long as it is found dead again and again.
    auto &target = m_targets[event.host];
    target.faults = std::max(target.faults, FaultsToEject);
    target.ejectedUntil = std::max(target.ejectedUntil, m_now + EjectionTime);
}

auto Dispatcher::handle(const ConfigurationChanged &event) -> void
{
    m_configuration = event.configuration;
    m_targetsOfPool.clear();
    for (const auto &[name, host] : m_configuration->hosts) {
        if (host.role == HostRole::Target)
            m_targetsOfPool[host.pool].push_back(name);
    }
    refuseWithdrawn();
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
    while (!m_deadlines.empty())
        end(m_deadlines.begin()->second, Refusal::Kind::ShuttingDown);
}

auto Dispatcher::handle(const DispatchTick & /*event*/) -> void
{
    expire();
    releaseUncertain();
    resumeDelayed();
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

/// Ends a request that isn't running. "Not run" is only said of one that no target has had.
auto Dispatcher::end(RequestNumber number, Refusal::Kind kind) -> void
{
    const auto mayHaveRun = m_requests.at(number).mayHaveRun;
    forget(number);
    if (mayHaveRun) {
        m_actions.emplace_back(AbandonRequest{number});
    } else {
        refuse(number, kind);
    }
}

/// Drops a request that isn't running from wherever it waits.
auto Dispatcher::forget(RequestNumber number) -> void
{
    const auto it = m_requests.find(number);
    const auto &request = it->second;
    m_deadlines.erase({request.deadline, number});
    if (m_delayed.erase({request.retryAt, number}) == 0) {
        auto &waiting = queueOf(request);
        const auto at = std::ranges::find(waiting, number);
        if (at != waiting.end())
            waiting.erase(at);
    }
    m_requests.erase(it);
}

auto Dispatcher::tryAgain(RequestNumber number, Request &request) -> void
{
    m_deadlines.emplace(request.deadline, number);
    // Its key may have been withdrawn while it ran.
    if (const auto kind = checkAdmission(request)) {
        end(number, *kind);
        return;
    }
    const auto delay = retryDelay(request.tries);
    if (delay == Duration::zero()) {
        queueOf(request).push_front(number);
        return;
    }
    request.retryAt = m_now + delay;
    m_delayed.emplace(request.retryAt, number);
}

auto Dispatcher::expire() -> void
{
    while (!m_deadlines.empty() && m_now >= m_deadlines.begin()->first)
        end(m_deadlines.begin()->second, Refusal::Kind::DeadlinePassed);
}

auto Dispatcher::resumeDelayed() -> void
{
    while (!m_delayed.empty() && m_now >= m_delayed.begin()->first) {
        const auto number = m_delayed.begin()->second;
        m_delayed.erase(m_delayed.begin());
        queueOf(m_requests.at(number)).push_front(number);
    }
}

/// A withdrawn key stops working for requests that still wait, too.
auto Dispatcher::refuseWithdrawn() -> void
{
    auto withdrawn = std::vector<std::pair<RequestNumber, Refusal::Kind>>();
    for (const auto &[deadline, number] : m_deadlines) {
        if (const auto kind = checkAdmission(m_requests.at(number)))
            withdrawn.emplace_back(number, *kind);
    }
    for (const auto &[number, kind] : withdrawn)
        end(number, kind);
}

auto Dispatcher::checkAdmission(const Request &request) const -> std::optional<Refusal::Kind>
{
    const auto it = m_configuration->queues.find(request.queue);
    if (it == m_configuration->queues.end())
        return Refusal::Kind::UnknownQueue;
    const auto isHeld = request.team.isEmpty()
        ? it->second.isOpen
        : request.key.isEmpty() || hasKey(*m_configuration, {request.team, request.key});
    return isHeld ? std::nullopt : std::optional(Refusal::Kind::BadKey);
}

auto Dispatcher::noteFault(TargetState &target) -> void
{
    ++target.faults;
    if (target.faults >= FaultsToEject)
        eject(target);
}

/// Each ejection in a row lasts longer; faults of requests that were already under way when it
/// began add nothing.
auto Dispatcher::eject(TargetState &target) -> void
{
    if (m_now < target.ejectedUntil)
        return;
    target.faults = std::max(target.faults, FaultsToEject);
    target.ejectedUntil = m_now + EjectionTime * (1U << target.ejections);
    target.ejections = std::min(target.ejections + 1, MaxEjectionDoublings);
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
        auto &team = it->second;
        auto &waiting = team.urgent.empty() ? team.normal : team.urgent;
        const auto number = waiting.front();
        auto &request = m_requests.at(number);
        if (isTooLate(request)) {
            end(number, Refusal::Kind::DeadlinePassed);
            return true;
        }
        const auto *host = chooseTarget(name, request.host);
        if (host == nullptr)
            return false;
        waiting.pop_front();
        m_deadlines.erase({request.deadline, number});
        request.isRunning = true;
        request.startedAt = m_now;
        ++request.tries;
        ++m_rotation;
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

/// Whether too little time is left for an answer. A queue whose runs seem to need most of its
/// deadline is served all the same.
auto Dispatcher::isTooLate(const Request &request) const -> bool
{
    const auto queue = m_configuration->queues.find(request.queue);
    if (queue == m_configuration->queues.end())
        return false;
    const Duration mostNeeded =
        std::chrono::milliseconds(queue->second.deadlineMilliseconds) / MostNeededFraction;
    const auto needed = std::min(m_runTimes.longest(request.queue, request.team), mostNeeded);
    return request.deadline - m_now < needed;
}

/// By when a try without an answer has ended at its target: a run takes no longer than its queue's
/// deadline, but it may have begun shortly before that of its request.
auto Dispatcher::lastsUntil(const Request &request) const -> BootTime
{
    const auto queue = m_configuration->queues.find(request.queue);
    if (queue == m_configuration->queues.end())
        return request.deadline;
    const auto longestRun = std::chrono::milliseconds(queue->second.deadlineMilliseconds);
    return std::max(request.deadline, request.startedAt + longestRun);
}

/// The target with the fewest requests running; `avoided`, where the last try failed, only if there
/// is no other.
auto Dispatcher::chooseTarget(const PoolName &pool, const HostName &avoided) const -> const Host *
{
    const auto targets = m_targetsOfPool.find(pool);
    if (targets == m_targetsOfPool.end())
        return nullptr;
    using Rank = std::tuple<bool, std::uint32_t>; // is avoided, running
    const Host *best = nullptr;
    auto bestRank = Rank();
    const Host *bestEjected = nullptr;
    auto ejectedRank = Rank();
    std::size_t inService = 0;
    std::size_t ejected = 0;
    const auto count = targets->second.size();
    for (std::size_t i = 0; i < count; ++i) {
        const auto &name = targets->second[(m_rotation + i) % count];
        const auto &host = m_configuration->hosts.at(name);
        if (!m_configuration->acceptsWork(host))
            continue;
        ++inService;
        const auto isOut = isEjected(name);
        ejected += isOut ? 1 : 0;
        const auto running = runningOn(name);
        if (running >= slotsOf(host))
            continue;
        const auto rank = Rank(name == avoided, running);
        auto &candidate = isOut ? bestEjected : best;
        auto &candidateRank = isOut ? ejectedRank : bestRank;
        if (candidate == nullptr || rank < candidateRank) {
            candidate = &host;
            candidateRank = rank;
        }
    }
    // Correlated failures must never empty a pool: past the cap, ejected targets are tried again.
    if (best == nullptr && ejected * MaxEjectedFraction > inService)
        return bestEjected;
    return best;
}

auto Dispatcher::runningOn(const HostName &host) const -> std::uint32_t
{
    const auto it = m_targets.find(host);
    return it == m_targets.end() ? 0 : it->second.running;
}

/// A target that comes back from an ejection gets one request at a time until one succeeds.
auto Dispatcher::slotsOf(const Host &host) const -> std::uint32_t
{
    const auto it = m_targets.find(host.name);
    const auto isOnTrial = it != m_targets.end() && it->second.faults >= FaultsToEject;
    return isOnTrial ? std::min(host.slots, 1U) : host.slots;
}

auto Dispatcher::isEjected(const HostName &host) const -> bool
{
    const auto it = m_targets.find(host);
    return it != m_targets.end() && m_now < it->second.ejectedUntil;
}

auto Dispatcher::release(Request &request) -> void
{
    releaseTarget(request);
    releaseTeam(request.pool, request.team);
}

auto Dispatcher::releaseTarget(Request &request) -> void
{
    request.isRunning = false;
    --m_targets.at(request.host).running;
}

auto Dispatcher::releaseTeam(const PoolName &pool, const TeamName &team) -> void
{
    --m_pools.at(pool).teams.at(team).running;
    --m_running.at(team);
}

auto Dispatcher::releaseUncertain() -> void
{
    while (!m_uncertain.empty() && m_now >= m_uncertain.begin()->first) {
        const auto [pool, team] = m_uncertain.begin()->second;
        m_uncertain.erase(m_uncertain.begin());
        releaseTeam(pool, team);
    }
}

} // namespace shallotproxy
