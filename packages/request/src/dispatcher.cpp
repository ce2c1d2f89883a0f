#include <algorithm>
#include <chrono>
#include <tuple>

#include "shallotproxy/request/dispatch/dispatcher.hpp"
#include "shallotproxy/request/retry/retry_timing.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t FaultsToEject = 3; // Consecutive faults.
constexpr Duration EjectionTime = 5s;
constexpr std::uint32_t MaxEjectionDoublings = 3;
/// A request isn't sent to a further target after this many have failed under it: it may be what
/// crashes them, and each crash ends the requests beside it.
constexpr unsigned MaxTargetFaults = 2;
/// A run is assumed to need at most the queue's deadline divided by this.
constexpr int MaxNeededDivisor = 2;
constexpr std::size_t MaxEjectedDivisor = 2; // At most one in two targets of a pool is ejected.

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
    // The key may have been withdrawn after the request was checked and before it arrived here.
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
        recordFault(target);
    } else {
        target.consecutiveFaults = 0;
        target.consecutiveEjections = 0;
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
    if (event.isTargetFault) {
        recordFault(m_targets[request.host]);
        ++request.targetFaults;
    }
    // The target may still be running the request, so it counts against the team's limits until it
    // must have ended.
    releaseTarget(request);
    m_unconfirmed.emplace(latestEnd(request), PoolTeam{request.pool, request.team});
    request.mayHaveRun = true;
    const auto mayRetry = request.isIdempotent && !m_isDraining && m_now < request.deadline
        && request.targetFaults < MaxTargetFaults;
    if (mayRetry && m_retries.withdraw()) {
        retry(event.number, request);
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
        endWaiting(event.number, Refusal::Kind::ShuttingDown);
        return;
    }
    retry(event.number, request);
}

auto Dispatcher::handle(const CallerDisconnected &event) -> void
{
    const auto it = m_requests.find(event.number);
    if (it != m_requests.end() && !it->second.isRunning)
        removeWaiting(event.number);
}

auto Dispatcher::handle(const TargetProbed &event) -> void
{
    if (event.isAlive)
        return;
    // The target stays ejected as long as repeated probes fail.
    auto &target = m_targets[event.host];
    target.consecutiveFaults = std::max(target.consecutiveFaults, FaultsToEject);
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
    refuseWithdrawnKeys();
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
        endWaiting(m_deadlines.begin()->second, Refusal::Kind::ShuttingDown);
}

auto Dispatcher::handle(const DispatchTick & /*event*/) -> void
{
    expireRequests();
    releaseUnconfirmed();
    requeueDelayed();
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

/// Ends a request that isn't running. It is refused as not run only if it has reached no target.
auto Dispatcher::endWaiting(RequestNumber number, Refusal::Kind kind) -> void
{
    const auto mayHaveRun = m_requests.at(number).mayHaveRun;
    removeWaiting(number);
    if (mayHaveRun) {
        m_actions.emplace_back(AbandonRequest{number});
    } else {
        refuse(number, kind);
    }
}

/// Removes a request that isn't running, whether it is queued or delayed.
auto Dispatcher::removeWaiting(RequestNumber number) -> void
{
    const auto it = m_requests.find(number);
    const auto &request = it->second;
    m_deadlines.erase({request.deadline, number});
    if (m_delayed.erase({request.retryAt, number}) == 0) {
        auto &waiting = queueOf(request);
        const auto position = std::ranges::find(waiting, number);
        if (position != waiting.end())
            waiting.erase(position);
    }
    m_requests.erase(it);
}

/// Returns a request to the front of its queue, at once or after a delay.
auto Dispatcher::retry(RequestNumber number, Request &request) -> void
{
    m_deadlines.emplace(request.deadline, number);
    // The key may have been withdrawn while the request ran.
    if (const auto kind = checkAdmission(request)) {
        endWaiting(number, *kind);
        return;
    }
    const auto delay = retryDelay(request.attempts);
    if (delay == Duration::zero()) {
        queueOf(request).push_front(number);
        return;
    }
    request.retryAt = m_now + delay;
    m_delayed.emplace(request.retryAt, number);
}

auto Dispatcher::expireRequests() -> void
{
    while (!m_deadlines.empty() && m_now >= m_deadlines.begin()->first)
        endWaiting(m_deadlines.begin()->second, Refusal::Kind::DeadlinePassed);
}

auto Dispatcher::requeueDelayed() -> void
{
    while (!m_delayed.empty() && m_now >= m_delayed.begin()->first) {
        const auto number = m_delayed.begin()->second;
        m_delayed.erase(m_delayed.begin());
        queueOf(m_requests.at(number)).push_front(number);
    }
}

/// Ends waiting requests that may no longer run, since their key was withdrawn or their queue was
/// removed.
auto Dispatcher::refuseWithdrawnKeys() -> void
{
    auto withdrawn = std::vector<std::pair<RequestNumber, Refusal::Kind>>();
    for (const auto &[deadline, number] : m_deadlines) {
        if (const auto kind = checkAdmission(m_requests.at(number)))
            withdrawn.emplace_back(number, *kind);
    }
    for (const auto &[number, kind] : withdrawn)
        endWaiting(number, kind);
}

/// Returns why a request may not run under the current configuration, if so.
auto Dispatcher::checkAdmission(const Request &request) const -> std::optional<Refusal::Kind>
{
    const auto it = m_configuration->queues.find(request.queue);
    if (it == m_configuration->queues.end())
        return Refusal::Kind::UnknownQueue;
    const auto isAuthorized = request.team.isEmpty()
        ? it->second.isOpen
        : request.key.isEmpty() || hasKey(*m_configuration, {request.team, request.key});
    return isAuthorized ? std::nullopt : std::optional(Refusal::Kind::BadKey);
}

/// Counts a fault of a target and ejects the target after too many consecutive ones.
auto Dispatcher::recordFault(TargetState &target) -> void
{
    ++target.consecutiveFaults;
    if (target.consecutiveFaults >= FaultsToEject)
        eject(target);
}

/// Ejects a target. Each consecutive ejection lasts longer. Faults of requests that were already
/// running when the ejection began don't extend it.
auto Dispatcher::eject(TargetState &target) -> void
{
    if (m_now < target.ejectedUntil)
        return;
    target.consecutiveFaults = std::max(target.consecutiveFaults, FaultsToEject);
    target.ejectedUntil = m_now + EjectionTime * (1U << target.consecutiveEjections);
    target.consecutiveEjections = std::min(target.consecutiveEjections + 1, MaxEjectionDoublings);
}

auto Dispatcher::startWaiting() -> void
{
    // Without a fresh configuration nothing starts, and waiting requests keep their place until
    // their deadline.
    if (!m_configuration || m_now >= m_freshUntil || m_isDraining)
        return;
    for (auto &[name, pool] : m_pools) {
        while (startOne(name, pool)) { }
    }
}

/// Starts the next request of a pool and returns whether the pool may have another one. Teams take
/// turns; the steward's credits, not this order, determine how much each team gets.
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
            endWaiting(number, Refusal::Kind::DeadlinePassed);
            return true;
        }
        const auto *host = chooseTarget(name, request.host);
        if (host == nullptr)
            return false;
        waiting.pop_front();
        m_deadlines.erase({request.deadline, number});
        request.isRunning = true;
        request.startedAt = m_now;
        ++request.attempts;
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

/// Returns whether the team has a queued request and is below its credits and units.
auto Dispatcher::mayStart(const TeamName &name, const TeamQueue &team) const -> bool
{
    if (team.isEmpty() || team.running >= team.credits)
        return false;
    if (name.isEmpty())
        return true;
    const auto it = m_units.find(name);
    return it != m_units.end() && runningOf(name) < it->second;
}

/// Returns whether too little time is left for an answer. The needed time is capped, so that a
/// queue whose runs appear to need most of its deadline is still served.
auto Dispatcher::isTooLate(const Request &request) const -> bool
{
    const auto queue = m_configuration->queues.find(request.queue);
    if (queue == m_configuration->queues.end())
        return false;
    const Duration maxNeeded =
        std::chrono::milliseconds(queue->second.deadlineMilliseconds) / MaxNeededDivisor;
    const auto needed = std::min(m_runTimes.longest(request.queue, request.team), maxNeeded);
    return request.deadline - m_now < needed;
}

/// Returns the time by which an unanswered attempt must have ended at its target. A run takes no
/// longer than its queue's deadline, but it may have started shortly before the deadline of its
/// request.
auto Dispatcher::latestEnd(const Request &request) const -> BootTime
{
    const auto queue = m_configuration->queues.find(request.queue);
    if (queue == m_configuration->queues.end())
        return request.deadline;
    const auto maxRunTime = std::chrono::milliseconds(queue->second.deadlineMilliseconds);
    return std::max(request.deadline, request.startedAt + maxRunTime);
}

/// Returns the target with the fewest running requests, or null if none is available. `avoided`,
/// where the last attempt failed, is returned only if there is no other.
auto Dispatcher::chooseTarget(const PoolName &pool, const HostName &avoided) const -> const Host *
{
    const auto targets = m_targetsOfPool.find(pool);
    if (targets == m_targetsOfPool.end())
        return nullptr;
    using Rank = std::tuple<bool, std::uint32_t>; // Whether it is avoided; running requests.
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
        const auto isTargetEjected = isEjected(name);
        ejected += isTargetEjected ? 1 : 0;
        const auto running = runningOn(name);
        if (running >= slotsOf(host))
            continue;
        const auto rank = Rank(name == avoided, running);
        auto &candidate = isTargetEjected ? bestEjected : best;
        auto &candidateRank = isTargetEjected ? ejectedRank : bestRank;
        if (candidate == nullptr || rank < candidateRank) {
            candidate = &host;
            candidateRank = rank;
        }
    }
    // Correlated failures must never empty a pool: above the limit, ejected targets are used again.
    if (best == nullptr && ejected * MaxEjectedDivisor > inService)
        return bestEjected;
    return best;
}

auto Dispatcher::runningOn(const HostName &host) const -> std::uint32_t
{
    const auto it = m_targets.find(host);
    return it == m_targets.end() ? 0 : it->second.running;
}

/// Returns how many requests the target may run at once. After an ejection it gets one request at a
/// time until one succeeds.
auto Dispatcher::slotsOf(const Host &host) const -> std::uint32_t
{
    const auto it = m_targets.find(host.name);
    const auto isRecovering =
        it != m_targets.end() && it->second.consecutiveFaults >= FaultsToEject;
    return isRecovering ? std::min(host.slots, 1U) : host.slots;
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

/// Releases the slots of unanswered attempts that must have ended by now.
auto Dispatcher::releaseUnconfirmed() -> void
{
    while (!m_unconfirmed.empty() && m_now >= m_unconfirmed.begin()->first) {
        const auto [pool, team] = m_unconfirmed.begin()->second;
        m_unconfirmed.erase(m_unconfirmed.begin());
        releaseTeam(pool, team);
    }
}

} // namespace shallotproxy
