#include <algorithm>
#include <cmath>
#include <deque>
#include <fstream>
#include <iostream>
#include <numeric>
#include <random>
#include <sstream>

#include <fmt/format.h>

#include "shallotproxy/process.hpp"
#include "shallotproxy/version.hpp"

// Runs the share units of 8 members in simulated time with the queues of a deployment and prints
// the largest gap of a team to its weighted share. Usage: bench_shares DEPLOYMENT_DIR [SEEDS]

namespace {

using namespace shallotproxy;
using namespace std::chrono_literals;

constexpr std::size_t MemberCount = 8;
constexpr Duration Step = 5ms;
constexpr Duration RoundInterval = 100ms;
constexpr Duration LoadInterval = 50ms;
constexpr Duration BurstTime = 3s;
constexpr auto BurstFactor = 5.0;
constexpr auto IdleFactor = 1.0 / 20;
constexpr auto OfferedLoad = 1.3; // of the pool's slots, averaged over a burst of each queue
constexpr Duration RunTime = 90s;
constexpr Duration FaultTime = 40s;
constexpr Duration WindowTime = 10s;
constexpr Duration LeaseTime = 10s;
constexpr std::size_t QueueCapacity = 1'000;
constexpr auto MinMeanSlots = 1.0; // windows with a lower mean entitlement do not count

/// How the slots of a pool are divided among members and teams.
enum class Policy { Stewards, StaticSplit, FirstCome };
/// Fault that is injected at `FaultTime`.
enum class FaultCase { None, MemberKilled, MemberDisconnected, StoreDown };

/// One line of a deployment's traffic.
struct Stream
{
    std::size_t queue = 0;
    TeamName team;
    double rate = 0; // requests a second
    double work = 0; // seconds
};

/// A pool with the streams that feed it.
struct PoolCase
{
    PoolName name;
    PoolParameters parameters;
    std::size_t queues = 0; // queues of the deployment, which burst in turn
    std::vector<Stream> streams;
};

/// One request with its total and its remaining work.
struct Job
{
    std::size_t team = 0;
    Duration work{0};
    Duration remaining{0};
};

/// Queues, running requests and credits of a simulated member.
struct SimulatedMember
{
    std::vector<std::deque<Job>> queued; // by team
    std::deque<std::size_t> order; // teams of the queued jobs in arrival order
    std::vector<std::uint32_t> running;
    std::vector<std::uint32_t> credits;
    std::size_t lastServed = 0;
    bool isDead = false;
    bool isDisconnected = false;
};

/// An event that a member receives at a given time.
struct Delivery
{
    BootTime at;
    std::size_t to = 0;
    ShareEvent event;
};

/// Simulates one pool with its members under one policy and one fault.
class PoolRun
{
public:
    PoolRun(const PoolCase &pool, Policy policy, FaultCase fault, std::uint32_t seed)
        : m_pool(pool)
        , m_policy(policy)
        , m_fault(fault)
        , m_random(seed)
    {
        for (const auto &[team, weight] : pool.parameters.weights) {
            m_teams.push_back(team);
            m_weights.push_back(weight);
        }
        auto registered = ShareMembers();
        for (std::size_t i = 0; i < MemberCount; ++i)
            registered.members.insert(incarnation(i));
        m_members.resize(MemberCount);
        for (std::size_t i = 0; i < MemberCount; ++i) {
            m_members[i].queued.resize(m_teams.size());
            m_members[i].running.resize(m_teams.size());
            m_members[i].credits.resize(m_teams.size());
            m_ledgers.emplace_back(incarnation(i));
            perform(i, registered);
            perform(i, PoolsDeclared{{{pool.name, pool.parameters}}});
            // The first members receive most requests.
            m_entryWeights.push_back(1.0 / static_cast<double>(i + 1));
        }
        m_entitled.resize(m_teams.size());
        m_usedSlots.resize(m_teams.size());
        m_isBacklogged.resize(m_teams.size());
    }

    auto run() -> void
    {
        const auto begin = m_now;
        while (m_now - begin < RunTime) {
            m_now += Step;
            const auto elapsed = m_now - begin;
            if (elapsed == FaultTime)
                injectFault();
            if (elapsed == FaultTime + LeaseTime && m_fault == FaultCase::MemberKilled)
                unregisterMember();
            addArrivals(elapsed);
            if (elapsed % RoundInterval == Duration(0))
                runRound();
            deliver();
            dispatch();
            serve();
        }
    }

    /// Returns the largest shortfall of a team's slot-seconds against its entitlement over any
    /// window in which the pool was full. With `isStrict`, only windows count in which the team's
    /// demand exceeded its entitlement by more than one slot all the time.
    [[nodiscard]] auto worstGap(bool isStrict) const -> double
    {
        const auto window = static_cast<std::size_t>(WindowTime / Step);
        auto worst = 0.0;
        for (std::size_t team = 0; team < m_teams.size(); ++team) {
            auto entitled = 0.0;
            auto usedSlots = 0.0;
            auto fullSteps = std::size_t{0};
            const auto countStep = [this, team, isStrict](std::size_t i) {
                return m_isFull[i] && (!isStrict || m_isBacklogged[team][i]) ? 1U : 0U;
            };
            for (std::size_t i = 0; i < m_isFull.size(); ++i) {
                entitled += m_entitled[team][i];
                usedSlots += m_usedSlots[team][i];
                fullSteps += countStep(i);
                if (i >= window) {
                    entitled -= m_entitled[team][i - window];
                    usedSlots -= m_usedSlots[team][i - window];
                    fullSteps -= countStep(i - window);
                }
                const auto isCounted =
                    fullSteps == window && entitled >= MinMeanSlots * static_cast<double>(window);
                if (isCounted)
                    worst = std::max(worst, (entitled - usedSlots) / entitled);
            }
        }
        return worst;
    }

    /// Returns the used fraction of the slots that the queued and running work could use.
    [[nodiscard]] auto used() const -> double { return m_used / std::max(1.0, m_usable); }
    /// Returns the largest number of requests at the targets, relative to the slots.
    [[nodiscard]] auto worstOvershoot() const -> double
    {
        return m_maxRunning / static_cast<double>(m_pool.parameters.slots);
    }

private:
    static auto incarnation(std::size_t index) -> Incarnation
    {
        return {MemberName(fmt::format("entry-{}", index + 1)), 1};
    }

    auto injectFault() -> void
    {
        // Member 0 is the busiest member, and the steward where one can be chosen.
        if (m_fault == FaultCase::MemberKilled) {
            auto &member = m_members[0];
            member.isDead = true;
            for (auto &it : member.queued)
                it.clear();
            member.order.clear();
            std::ranges::fill(member.running, 0U);
            std::erase_if(m_jobs, [](const auto &it) { return it.first == 0; });
        }
        m_members[0].isDisconnected = m_fault != FaultCase::None && m_fault != FaultCase::StoreDown;
    }

    auto unregisterMember() -> void
    {
        auto registered = ShareMembers();
        for (std::size_t i = 1; i < MemberCount; ++i)
            registered.members.insert(incarnation(i));
        for (std::size_t i = 1; i < MemberCount; ++i)
            perform(i, registered);
    }

    auto addArrivals(Duration elapsed) -> void
    {
        const auto burstingQueue = static_cast<std::size_t>(elapsed / BurstTime) % m_pool.queues;
        for (const auto &stream : m_pool.streams) {
            const auto factor = stream.queue == burstingQueue ? BurstFactor : IdleFactor;
            const auto mean = stream.rate * factor * std::chrono::duration<double>(Step).count();
            const auto count = std::poisson_distribution<int>(mean)(m_random);
            for (auto i = 0; i < count; ++i)
                enqueue(stream);
        }
    }

    auto enqueue(const Stream &stream) -> void
    {
        auto index = std::discrete_distribution<std::size_t>(m_entryWeights.begin(),
                                                             m_entryWeights.end())(m_random);
        // The load balancer sends no requests to a dead member.
        index = m_members[index].isDead ? index + 1 : index;
        auto &member = m_members[index];
        const auto team = static_cast<std::size_t>(
            std::distance(m_teams.begin(), std::ranges::find(m_teams, stream.team)));
        if (member.queued[team].size() >= QueueCapacity)
            return;
        const auto seconds = std::exponential_distribution<double>(1 / stream.work)(m_random);
        const auto work = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(std::max(seconds, 0.001)));
        member.queued[team].push_back({team, work, work});
        member.order.push_back(team);
    }

    auto runRound() -> void
    {
        for (std::size_t i = 0; i < MemberCount; ++i) {
            if (m_members[i].isDead)
                continue;
            for (std::size_t j = 0; j < MemberCount; ++j) {
                if (i != j && areConnected(i, j))
                    perform(i, PeerMessageReceived{incarnation(j)});
            }
            auto demand = std::vector<TeamDemand>();
            for (std::size_t team = 0; team < m_teams.size(); ++team) {
                const auto queued = static_cast<std::uint32_t>(m_members[i].queued[team].size());
                demand.push_back({m_teams[team], queued, m_members[i].running[team]});
            }
            // The load report is up to one interval old. The members are not synchronized.
            const auto delay = LoadInterval * static_cast<int>(i) / static_cast<int>(MemberCount);
            m_deliveries.push_back({m_now + delay, i, ShareLoads{{{m_pool.name, demand}}}});
            m_deliveries.push_back({m_now + delay + Step, i, ShareRound()});
        }
    }

    [[nodiscard]] auto areConnected(std::size_t from, std::size_t to) const -> bool
    {
        return !m_members[from].isDisconnected && !m_members[to].isDisconnected;
    }

    auto deliver() -> void
    {
        auto due = std::vector<Delivery>();
        std::erase_if(m_deliveries, [this, &due](Delivery &it) {
            if (it.at > m_now)
                return false;
            due.push_back(std::move(it));
            return true;
        });
        for (const auto &it : due) {
            if (!m_members[it.to].isDead)
                perform(it.to, it.event);
        }
    }

    auto perform(std::size_t index, const ShareEvent &event) -> void
    {
        for (const auto &action : m_ledgers[index].step(event, m_now)) {
            if (const auto *it = std::get_if<SetCredits>(&action)) {
                for (std::size_t team = 0; team < m_teams.size(); ++team) {
                    const auto slots = it->slots.find(m_teams[team]);
                    m_members[index].credits[team] = slots == it->slots.end() ? 0 : slots->second;
                }
            }
            if (const auto *it = std::get_if<SendDemand>(&action))
                send(index, it->to, DemandReported{incarnation(index), it->report});
            if (const auto *it = std::get_if<SendGrant>(&action))
                send(index, it->to, CreditGranted{incarnation(index), it->grant});
        }
    }

    auto send(std::size_t from, const MemberName &name, const ShareEvent &event) -> void
    {
        for (std::size_t i = 0; i < MemberCount; ++i) {
            if (incarnation(i).member == name && areConnected(from, i))
                m_deliveries.push_back({m_now + Step, i, event});
        }
    }

    auto dispatch() -> void
    {
        for (std::size_t i = 0; i < MemberCount; ++i) {
            if (m_members[i].isDead)
                continue;
            while (startOne(i)) { }
        }
    }

    auto startOne(std::size_t index) -> bool
    {
        auto &member = m_members[index];
        if (m_policy == Policy::FirstCome)
            return startFirst(index);
        for (std::size_t n = 1; n <= m_teams.size(); ++n) {
            const auto team = (member.lastServed + n) % m_teams.size();
            if (member.queued[team].empty() || member.running[team] >= creditOf(index, team))
                continue;
            member.lastServed = team;
            start(index, team);
            return true;
        }
        return false;
    }

    [[nodiscard]] auto creditOf(std::size_t index, std::size_t team) const -> std::uint32_t
    {
        if (m_policy == Policy::Stewards)
            return m_members[index].credits[team];
        const auto weights = std::accumulate(m_weights.begin(), m_weights.end(), 0.0);
        const auto slots = m_pool.parameters.slots * m_weights[team] / weights / MemberCount;
        return static_cast<std::uint32_t>(std::max(1.0, std::round(slots)));
    }

    auto startFirst(std::size_t index) -> bool
    {
        auto &member = m_members[index];
        const auto running = std::accumulate(member.running.begin(), member.running.end(), 0U);
        if (member.order.empty() || running >= m_pool.parameters.slots / MemberCount)
            return false;
        const auto team = member.order.front();
        member.order.pop_front();
        start(index, team);
        return true;
    }

    auto start(std::size_t index, std::size_t team) -> void
    {
        auto &member = m_members[index];
        m_jobs.emplace_back(index, member.queued[team].front());
        member.queued[team].pop_front();
        ++member.running[team];
    }

    // The targets serve as many requests as they have slots, in order of arrival.
    auto serve() -> void
    {
        auto demands = std::vector<WeightedDemand>();
        auto isFull = false;
        auto totalDemand = 0.0;
        for (std::size_t team = 0; team < m_teams.size(); ++team) {
            auto demand = 0.0;
            for (const auto &member : m_members)
                demand += static_cast<double>(member.queued[team].size()) + member.running[team];
            demands.push_back({m_weights[team], demand});
            totalDemand += demand;
        }
        isFull = totalDemand > m_pool.parameters.slots;
        const auto entitlements = weightedMaxMin(m_pool.parameters.slots, demands);
        auto usedSlots = std::vector<double>(m_teams.size(), 0.0);
        const auto served = std::min<std::size_t>(m_jobs.size(), m_pool.parameters.slots);
        for (std::size_t i = 0; i < served; ++i) {
            usedSlots[m_jobs[i].second.team] += 1;
            m_jobs[i].second.remaining -= Step;
        }
        m_maxRunning = std::max(m_maxRunning, static_cast<double>(m_jobs.size()));
        m_used += static_cast<double>(served);
        m_usable += std::min<double>(totalDemand, m_pool.parameters.slots);
        std::erase_if(m_jobs, [this](const auto &it) {
            if (it.second.remaining > Duration(0))
                return false;
            --m_members[it.first].running[it.second.team];
            return true;
        });
        for (std::size_t team = 0; team < m_teams.size(); ++team) {
            m_entitled[team].push_back(entitlements[team]);
            m_usedSlots[team].push_back(usedSlots[team]);
            m_isBacklogged[team].push_back(demands[team].demand > entitlements[team] + 1);
        }
        m_isFull.push_back(isFull);
    }

    PoolCase m_pool;
    Policy m_policy;
    FaultCase m_fault;
    std::mt19937 m_random;
    BootTime m_now{1h};
    std::vector<TeamName> m_teams;
    std::vector<double> m_weights;
    std::vector<ShareLedger> m_ledgers;
    std::vector<SimulatedMember> m_members;
    std::vector<double> m_entryWeights;
    std::vector<Delivery> m_deliveries;
    std::vector<std::pair<std::size_t, Job>> m_jobs; // member and job, in order of arrival
    std::vector<std::vector<double>> m_entitled;
    std::vector<std::vector<double>> m_usedSlots;
    std::vector<std::vector<bool>> m_isBacklogged;
    std::vector<bool> m_isFull;
    double m_used = 0;
    double m_usable = 0;
    double m_maxRunning = 0;
};

/// Returns each pool of a deployment with its streams, whose rates are scaled to `OfferedLoad`.
auto readPools(const std::string &folder, const std::string &traffic) -> std::vector<PoolCase>
{
    const auto files = loadDeclarationFiles(folder);
    if (!files)
        return {};
    const auto configuration = readDeclarations(*files);
    if (!configuration)
        return {};
    auto pools = std::map<PoolName, PoolCase>();
    for (const auto &[name, host] : configuration->hosts) {
        if (host.role == HostRole::Target)
            pools[host.pool].parameters.slots += host.slots;
    }
    auto queues = std::vector<QueueName>();
    auto lines = std::istringstream(traffic);
    auto queue = std::string();
    auto team = std::string();
    auto rate = 0.0;
    auto work = 0.0;
    while (lines >> queue >> team >> rate >> work) {
        const auto it = configuration->queues.find(QueueName(queue));
        if (it == configuration->queues.end())
            continue;
        if (queues.empty() || queues.back() != it->first)
            queues.push_back(it->first);
        constexpr auto MillisecondsPerSecond = 1'000.0;
        pools[it->second.pool].streams.push_back({queues.size() - 1,
                                                  TeamName(team == "open" ? "" : team), rate,
                                                  work / MillisecondsPerSecond});
    }
    auto cases = std::vector<PoolCase>();
    for (auto &[name, pool] : pools) {
        pool.name = name;
        pool.queues = queues.size();
        auto offered = 0.0;
        for (const auto &stream : pool.streams) {
            const auto declaredTeam = configuration->teams.find(stream.team);
            pool.parameters.weights[stream.team] =
                declaredTeam == configuration->teams.end() ? 1U : declaredTeam->second.share;
            offered += stream.rate * stream.work;
        }
        const auto queueCount = static_cast<double>(queues.size());
        const auto factor = (BurstFactor + (queueCount - 1) * IdleFactor) / queueCount;
        for (auto &stream : pool.streams)
            stream.rate *= OfferedLoad * pool.parameters.slots / (offered * factor);
        if (!pool.streams.empty())
            cases.push_back(std::move(pool));
    }
    return cases;
}

auto readText(const std::string &path) -> std::string
{
    auto file = std::ifstream(path);
    auto text = std::ostringstream();
    text << file.rdbuf();
    return text.str();
}

auto printCase(const std::vector<PoolCase> &pools, Policy policy, FaultCase fault,
               std::uint32_t seeds, std::string_view name) -> void
{
    auto gaps = std::vector<double>();
    auto maxGapOfAnyDemand = 0.0;
    auto used = 1.0;
    auto maxOvershoot = 0.0;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        auto worst = 0.0;
        auto worstOfAny = 0.0;
        for (const auto &pool : pools) {
            auto run = PoolRun(pool, policy, fault, seed);
            run.run();
            worst = std::max(worst, run.worstGap(true));
            worstOfAny = std::max(worstOfAny, run.worstGap(false));
            used = std::min(used, run.used());
            maxOvershoot = std::max(maxOvershoot, run.worstOvershoot());
        }
        gaps.push_back(worst);
        maxGapOfAnyDemand = std::max(maxGapOfAnyDemand, worstOfAny);
    }
    std::ranges::sort(gaps);
    constexpr auto Percent = 100.0;
    std::cout << fmt::format("| {} | {:.1f} | {:.1f} | {:.1f} | {:.1f} | {:.1f} | {:.2f} |\n", name,
                             gaps.front() * Percent, gaps[gaps.size() / 2] * Percent,
                             gaps.back() * Percent, maxGapOfAnyDemand * Percent, used * Percent,
                             maxOvershoot);
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto arguments = std::vector<std::string>(argv, argv + argc);
    if (arguments.size() < 2) {
        std::cerr << "usage: bench_shares DEPLOYMENT_DIR [SEEDS]\n";
        return 2;
    }
    const auto seeds =
        arguments.size() > 2 ? static_cast<std::uint32_t>(std::stoul(arguments[2])) : 5U;
    const auto pools =
        readPools(arguments[1] + "/declarations", readText(arguments[1] + "/traffic.txt"));
    if (pools.empty()) {
        std::cerr << "no pools in " << arguments[1] << '\n';
        return 1;
    }
    std::cout << "| case | least gap % | median gap % | worst gap % | any demand % | least use % | "
                 "most running / "
                 "slots |\n| --- | --- | --- | --- | --- | --- | --- |\n";
    printCase(pools, Policy::Stewards, FaultCase::None, seeds, "stewards");
    printCase(pools, Policy::Stewards, FaultCase::MemberKilled, seeds, "stewards, member killed");
    printCase(pools, Policy::Stewards, FaultCase::MemberDisconnected, seeds,
              "stewards, member cut off");
    printCase(pools, Policy::Stewards, FaultCase::StoreDown, seeds, "stewards, store down");
    printCase(pools, Policy::StaticSplit, FaultCase::None, seeds, "static split");
    printCase(pools, Policy::FirstCome, FaultCase::None, seeds, "first come first served");
    return 0;
}
