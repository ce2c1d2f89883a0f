#include <algorithm>
#include <array>

#include <gtest/gtest.h>

#include "shallotproxy/job/pool_sizer.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr auto PoolCount = std::size_t{4};
constexpr auto HostsPerPool = std::size_t{10};
constexpr auto StandbyHosts = std::size_t{10};
constexpr auto CoresPerHost = std::int64_t{10'000};
constexpr auto PeakHosts = std::size_t{20};
constexpr auto TurnTime = 5'000ms;
constexpr auto StepTime = 200ms;
constexpr auto MoveTime = 1'500ms;

auto poolName(std::size_t number) -> PoolName
{
    return PoolName(std::string(1, static_cast<char>('a' + number)));
}

/// What a stretch of time took.
struct Costs
{
    double hostSeconds = 0;
    /// Work that waited, in hosts times seconds.
    double waiting = 0;
    std::size_t moves = 0;
};

/// A fleet whose pools have their peaks by turns: tasks of 1 s that need a host each.
class FleetWithTurns
{
public:
    FleetWithTurns()
    {
        for (std::size_t n = 0; n < PoolCount; ++n)
            m_rules.pools[poolName(n)] = {};
        m_rules.pools[PoolName("standby")] = {true};
        for (std::size_t n = 0; n < PoolCount * HostsPerPool + StandbyHosts; ++n) {
            auto view = HostView();
            view.report.host = HostName("host-" + std::to_string(n));
            const auto pool = n / HostsPerPool;
            view.report.pool = pool < PoolCount ? poolName(pool) : PoolName("standby");
            view.report.state = HostState::Up;
            view.report.capacity = {CoresPerHost, CoresPerHost, 0};
            view.isLoadKnown = true;
            m_hosts.push_back(view);
        }
    }

    /// Lets the pool at this place have its turn; none if there is no such pool.
    auto play(std::size_t peakPool, std::chrono::milliseconds duration) -> Costs
    {
        auto costs = Costs();
        for (auto time = 0ms; time < duration; time += StepTime)
            step(peakPool, costs);
        return costs;
    }
    auto playRound() -> Costs
    {
        auto costs = Costs();
        for (std::size_t n = 0; n < PoolCount; ++n) {
            const auto part = play(n, TurnTime);
            costs.hostSeconds += part.hostSeconds;
            costs.waiting += part.waiting;
            costs.moves += part.moves;
        }
        return costs;
    }

private:
    auto step(std::size_t peakPool, Costs &costs) -> void
    {
        const auto seconds = std::chrono::duration<double>(StepTime).count();
        m_now += StepTime;
        for (auto &it : m_hosts) {
            if (it.report.state == HostState::Moving && m_now >= m_arrivals[it.report.host])
                it.report.state = HostState::Up;
            if (it.otherRuns > 0 && m_now >= m_taskEnds[it.report.host])
                it.otherRuns = 0;
        }
        for (std::size_t n = 0; n < PoolCount; ++n) {
            auto &load = m_loads[poolName(n)];
            auto &waiting = m_waiting[n];
            const auto tasks = n == peakPool
                ? static_cast<std::size_t>(static_cast<double>(PeakHosts) * seconds)
                : 0;
            waiting += tasks;
            load.acceptedJobs += tasks;
            load.acceptedWork +=
                Resources{CoresPerHost * 1'000, 0, 0} * static_cast<std::int64_t>(tasks);
            auto used = std::int64_t{0};
            for (auto &it : m_hosts) {
                if (it.report.pool != poolName(n) || it.report.state != HostState::Up)
                    continue;
                if (it.otherRuns == 0 && waiting > 0) {
                    --waiting;
                    it.otherRuns = 1;
                    m_taskEnds[it.report.host] = m_now + 1s;
                }
                used += it.otherRuns > 0 ? 1 : 0;
            }
            load.used = {CoresPerHost * used, 0, 0};
            load.waiting = {CoresPerHost * static_cast<std::int64_t>(waiting), 0, 0};
            costs.waiting += static_cast<double>(waiting) * seconds;
        }
        for (const auto &move : m_sizer.step(m_hosts, m_loads, m_rules, {}, m_now)) {
            const auto it = std::ranges::find(m_hosts, move.host,
                                              [](const auto &host) { return host.report.host; });
            it->report.pool = move.to;
            it->report.state = HostState::Moving;
            m_arrivals[move.host] = m_now + MoveTime;
            ++costs.moves;
        }
        costs.hostSeconds +=
            seconds * static_cast<double>(std::ranges::count_if(m_hosts, [](const auto &it) {
                return it.report.pool != PoolName("standby");
            }));
    }

    PoolSizer m_sizer;
    SchedulingRules m_rules;
    std::vector<HostView> m_hosts;
    std::map<PoolName, PoolLoad> m_loads;
    std::array<std::size_t, PoolCount> m_waiting{};
    std::map<HostName, BootTime> m_arrivals;
    std::map<HostName, BootTime> m_taskEnds;
    BootTime m_now{1h};
};

} // namespace

TEST(PoolTurns, HostsArriveAsATurnBeginsAndLeaveWhenItIsOver)
{
    auto fleet = FleetWithTurns();
    fleet.play(PoolCount, 4s);
    const auto unforeseen = fleet.playRound();
    fleet.playRound();
    const auto foreseen = fleet.playRound();
    EXPECT_LT(foreseen.waiting, unforeseen.waiting / 10);
    EXPECT_LT(foreseen.hostSeconds, unforeseen.hostSeconds * 0.9);
    EXPECT_LE(foreseen.moves, unforeseen.moves);
}

// The turns end, and later come in another order: hosts that were sent for nothing leave at once,
// and the first turns are served as if none had been seen.
TEST(PoolTurns, AWrongForecastCostsLittle)
{
    auto fleet = FleetWithTurns();
    auto other = FleetWithTurns();
    for (auto *it : {&fleet, &other})
        it->play(PoolCount, 4s);
    fleet.playRound();
    fleet.playRound();
    other.play(0, TurnTime);
    const auto foreseen = fleet.play(PoolCount, 10s);
    const auto unforeseen = other.play(PoolCount, 10s);
    constexpr auto SecondsForNothing = 5;
    EXPECT_LE(foreseen.hostSeconds - unforeseen.hostSeconds, 1.5 * PeakHosts * SecondsForNothing);
    for (const auto pool : {std::size_t{2}, std::size_t{0}}) {
        const auto relearned = fleet.play(pool, TurnTime);
        const auto first = other.play(pool, TurnTime);
        EXPECT_LE(relearned.waiting, first.waiting);
    }
}

} // namespace shallotproxy
