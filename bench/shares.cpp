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

// Drives the share units of 8 members in their own time with a deployment's queues and prints the
// worst team's gap to its weighted share. Usage: bench_shares DEPLOYMENT_DIR [SEEDS]

namespace {

using namespace shallotproxy;
using namespace std::chrono_literals;

constexpr std::size_t MemberCount = 8;
constexpr Duration Step = 5ms;
constexpr Duration Round = 100ms;
constexpr Duration LoadInterval = 50ms;
constexpr Duration BurstTime = 3s;
constexpr auto BurstFactor = 5.0;
constexpr auto QuietFactor = 1.0 / 20;
constexpr auto OfferedLoad = 1.3; // of the pool's slots, over a whole turn of the queues
constexpr Duration RunTime = 90s;
constexpr Duration FaultTime = 40s;
constexpr Duration WindowTime = 10s;
constexpr Duration LeaseTime = 10s;
constexpr std::size_t QueueCapacity = 1'000;
constexpr auto LeastSlots = 1.0; // a team's mean entitlement in a window that is judged

enum class Policy { Stewards, StaticSplit, FirstCome };
enum class FaultCase { None, MemberKilled, MemberCut, StoreDown };

/// One line of a deployment's traffic.
struct Stream
{
    std::size_t queue = 0;
    TeamName team;
    double rate = 0; // requests a second
    double work = 0; // seconds
};

struct PoolCase
{
    PoolName name;
    PoolParameters terms;
    std::size_t queues = 0; // of the deployment, which burst in turn
    std::vector<Stream> streams;
};

struct Job
{
    std::size_t team = 0;
    Duration work{0};
    Duration left{0};
};

struct ModelMember
{
    std::vector<std::deque<Job>> queued; // by team
    std::deque<std::size_t> order; // teams of queued jobs as they came
    std::vector<std::uint32_t> running;
    std::vector<std::uint32_t> credits;
    std::size_t lastServed = 0;
    bool isDead = false;
    bool isCut = false;
};

struct Delivery
{
    BootTime at;
    std::size_t to = 0;
    ShareEvent event;
};

/// One pool with its members, one policy and one fault.
class PoolRun
{
public:
    PoolRun(const PoolCase &pool, Policy policy, FaultCase fault, std::uint32_t seed)
        : m_pool(pool)
        , m_policy(policy)
        , m_fault(fault)
        , m_random(seed)
    {
        for (const auto &[team, weight] : pool.terms.weights) {
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
            perform(i, PoolsDeclared{{{pool.name, pool.terms}}});
            // The first members take most of what enters.
            m_entry.push_back(1.0 / static_cast<double>(i + 1));
        }
        m_entitled.resize(m_teams.size());
        m_got.resize(m_teams.size());
        m_backlogged.resize(m_teams.size());
    }

    auto run() -> void
    {
        const auto begin = m_now;
        while (m_now - begin < RunTime) {
            m_now += Step;
            const auto elapsed = m_now - begin;
            if (elapsed == FaultTime)
                breakMember();
            if (elapsed == FaultTime + LeaseTime && m_fault == FaultCase::MemberKilled)
                unregister();
            arrive(elapsed);
            if (elapsed % Round == Duration(0))
                runRound();
            deliver();
            dispatch();
            serve();
        }
    }

    /// The worst shortfall of a team's slot-seconds to its entitlement over any window in which the
    /// pool was full; `isStrict`: and in which the team wanted more than its part all the time.
    [[nodiscard]] auto worstGap(bool isStrict) const -> double
    {
        const auto window = static_cast<std::size_t>(WindowTime / Step);
        auto worst = 0.0;
        for (std::size_t team = 0; team < m_teams.size(); ++team) {
            auto entitled = 0.0;
            auto got = 0.0;
            auto full = std::size_t{0};
            const auto counts = [this, team, isStrict](std::size_t i) {
                return m_full[i] && (!isStrict || m_backlogged[team][i]) ? 1U : 0U;
            };
            for (std::size_t i = 0; i < m_full.size(); ++i) {
                entitled += m_entitled[team][i];
                got += m_got[team][i];
                full += counts(i);
                if (i >= window) {
                    entitled -= m_entitled[team][i - window];
                    got -= m_got[team][i - window];
                    full -= counts(i - window);
                }
                const auto isJudged =
                    full == window && entitled >= LeastSlots * static_cast<double>(window);
                if (isJudged)
                    worst = std::max(worst, (entitled - got) / entitled);
            }
        }
        return worst;
    }

    /// Slots used of those that the waiting work could have used.
    [[nodiscard]] auto used() const -> double { return m_used / std::max(1.0, m_usable); }
    [[nodiscard]] auto worstOvershoot() const -> double
    {
        return m_mostRunning / static_cast<double>(m_pool.terms.slots);
    }

private:
    static auto incarnation(std::size_t index) -> Incarnation
    {
        return {MemberName(fmt::format("entry-{}", index + 1)), 1};
    }

    auto breakMember() -> void
    {
        // The busiest member, and the steward where one can be chosen.
        if (m_fault == FaultCase::MemberKilled) {
            auto &member = m_members[0];
            member.isDead = true;
            for (auto &it : member.queued)
                it.clear();
            member.order.clear();
            std::ranges::fill(member.running, 0U);
            std::erase_if(m_jobs, [](const auto &it) { return it.first == 0; });
        }
        m_members[0].isCut = m_fault != FaultCase::None && m_fault != FaultCase::StoreDown;
    }

    auto unregister() -> void
    {
        auto registered = ShareMembers();
        for (std::size_t i = 1; i < MemberCount; ++i)
            registered.members.insert(incarnation(i));
        for (std::size_t i = 1; i < MemberCount; ++i)
            perform(i, registered);
    }

    auto arrive(Duration elapsed) -> void
    {
        const auto turn = static_cast<std::size_t>(elapsed / BurstTime) % m_pool.queues;
        for (const auto &stream : m_pool.streams) {
            const auto factor = stream.queue == turn ? BurstFactor : QuietFactor;
            const auto mean = stream.rate * factor * std::chrono::duration<double>(Step).count();
            const auto count = std::poisson_distribution<int>(mean)(m_random);
            for (auto i = 0; i < count; ++i)
                enqueue(stream);
        }
    }

    auto enqueue(const Stream &stream) -> void
    {
        auto index =
            std::discrete_distribution<std::size_t>(m_entry.begin(), m_entry.end())(m_random);
        // The balancer turns away from a dead member.
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
                if (i != j && isJoined(i, j))
                    perform(i, PeerMessageReceived{incarnation(j)});
            }
            auto demand = std::vector<TeamDemand>();
            for (std::size_t team = 0; team < m_teams.size(); ++team) {
                const auto queued = static_cast<std::uint32_t>(m_members[i].queued[team].size());
                demand.push_back({m_teams[team], queued, m_members[i].running[team]});
            }
            // The front's report is up to one interval old; members are not in step.
            const auto late = LoadInterval * static_cast<int>(i) / static_cast<int>(MemberCount);
            m_deliveries.push_back({m_now + late, i, ShareLoads{{{m_pool.name, demand}}}});
            m_deliveries.push_back({m_now + late + Step, i, ShareRound()});
        }
    }

    [[nodiscard]] auto isJoined(std::size_t from, std::size_t to) const -> bool
    {
        return !m_members[from].isCut && !m_members[to].isCut;
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
            if (incarnation(i).member == name && isJoined(from, i))
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
        const auto part = m_pool.terms.slots * m_weights[team] / weights / MemberCount;
        return static_cast<std::uint32_t>(std::max(1.0, std::round(part)));
    }

    auto startFirst(std::size_t index) -> bool
    {
        auto &member = m_members[index];
        const auto running = std::accumulate(member.running.begin(), member.running.end(), 0U);
        if (member.order.empty() || running >= m_pool.terms.slots / MemberCount)
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

    // The targets serve as many as they have slots, first come first served.
    auto serve() -> void
    {
        auto demands = std::vector<WeightedDemand>();
        auto isFull = false;
        auto waiting = 0.0;
        for (std::size_t team = 0; team < m_teams.size(); ++team) {
            auto demand = 0.0;
            for (const auto &member : m_members)
                demand += static_cast<double>(member.queued[team].size()) + member.running[team];
            demands.push_back({m_weights[team], demand});
            waiting += demand;
        }
        isFull = waiting > m_pool.terms.slots;
        const auto fair = weightedMaxMin(m_pool.terms.slots, demands);
        auto got = std::vector<double>(m_teams.size(), 0.0);
        const auto served = std::min<std::size_t>(m_jobs.size(), m_pool.terms.slots);
        for (std::size_t i = 0; i < served; ++i) {
            got[m_jobs[i].second.team] += 1;
            m_jobs[i].second.left -= Step;
        }
        m_mostRunning = std::max(m_mostRunning, static_cast<double>(m_jobs.size()));
        m_used += static_cast<double>(served);
        m_usable += std::min<double>(waiting, m_pool.terms.slots);
        std::erase_if(m_jobs, [this](const auto &it) {
            if (it.second.left > Duration(0))
                return false;
            --m_members[it.first].running[it.second.team];
            return true;
        });
        for (std::size_t team = 0; team < m_teams.size(); ++team) {
            m_entitled[team].push_back(fair[team]);
            m_got[team].push_back(got[team]);
            m_backlogged[team].push_back(demands[team].demand > fair[team] + 1);
        }
        m_full.push_back(isFull);
    }

    PoolCase m_pool;
    Policy m_policy;
    FaultCase m_fault;
    std::mt19937 m_random;
    BootTime m_now{1h};
    std::vector<TeamName> m_teams;
    std::vector<double> m_weights;
    std::vector<ShareLedger> m_ledgers;
    std::vector<ModelMember> m_members;
    std::vector<double> m_entry;
    std::vector<Delivery> m_deliveries;
    std::vector<std::pair<std::size_t, Job>> m_jobs; // member and job, as they came to the targets
    std::vector<std::vector<double>> m_entitled;
    std::vector<std::vector<double>> m_got;
    std::vector<std::vector<bool>> m_backlogged;
    std::vector<bool> m_full;
    double m_used = 0;
    double m_usable = 0;
    double m_mostRunning = 0;
};

/// Each pool of a deployment with the streams that feed it, scaled to the offered load.
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
            pools[host.pool].terms.slots += host.slots;
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
            const auto found = configuration->teams.find(stream.team);
            pool.terms.weights[stream.team] =
                found == configuration->teams.end() ? 1U : found->second.share;
            offered += stream.rate * stream.work;
        }
        const auto turns = static_cast<double>(queues.size());
        const auto factor = (BurstFactor + (turns - 1) * QuietFactor) / turns;
        for (auto &stream : pool.streams)
            stream.rate *= OfferedLoad * pool.terms.slots / (offered * factor);
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
    auto any = 0.0;
    auto used = 1.0;
    auto most = 0.0;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        auto worst = 0.0;
        auto worstOfAny = 0.0;
        for (const auto &pool : pools) {
            auto run = PoolRun(pool, policy, fault, seed);
            run.run();
            worst = std::max(worst, run.worstGap(true));
            worstOfAny = std::max(worstOfAny, run.worstGap(false));
            used = std::min(used, run.used());
            most = std::max(most, run.worstOvershoot());
        }
        gaps.push_back(worst);
        any = std::max(any, worstOfAny);
    }
    std::ranges::sort(gaps);
    constexpr auto Percent = 100.0;
    std::cout << fmt::format("| {} | {:.1f} | {:.1f} | {:.1f} | {:.1f} | {:.1f} | {:.2f} |\n", name,
                             gaps.front() * Percent, gaps[gaps.size() / 2] * Percent,
                             gaps.back() * Percent, any * Percent, used * Percent, most);
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
    printCase(pools, Policy::Stewards, FaultCase::MemberCut, seeds, "stewards, member cut off");
    printCase(pools, Policy::Stewards, FaultCase::StoreDown, seeds, "stewards, store down");
    printCase(pools, Policy::StaticSplit, FaultCase::None, seeds, "static split");
    printCase(pools, Policy::FirstCome, FaultCase::None, seeds, "first come first served");
    return 0;
}
