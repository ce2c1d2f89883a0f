#include <fmt/format.h>
#include <gtest/gtest.h>

#include "shallotproxy/job.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

const auto oldPool = PoolName("old");
const auto newPool = PoolName("new");
constexpr auto HostSize = Resources{10'000, 100'000, 0};

auto reportOf(const std::string &host, const PoolName &pool) -> HostReport
{
    auto report = HostReport();
    report.host = HostName(host);
    report.pool = pool;
    report.state = HostState::Up;
    report.capacity = HostSize;
    return report;
}

/// A pool whose hosts work on the late rest of its peak, and one whose peak begins.
class TwoPools
{
public:
    explicit TwoPools(std::size_t oldHosts)
    {
        rules.pools[oldPool] = {};
        rules.pools[newPool] = {};
        for (std::size_t n = 0; n < oldHosts; ++n) {
            auto host = HostView();
            host.report = reportOf(fmt::format("old-{}", n), oldPool);
            host.otherRuns = 10 - n % 5;
            host.isLoadKnown = true;
            hosts.push_back(host);
        }
        auto host = hosts.front();
        host.report.host = HostName("new-0");
        host.report.pool = newPool;
        hosts.push_back(host);
        const auto count = static_cast<std::int64_t>(oldHosts);
        loads[oldPool].used = HostSize * count;
        loads[oldPool].lateUsed = loads[oldPool].used;
        loads[oldPool].waiting = HostSize * 50;
        loads[oldPool].lateWaiting = loads[oldPool].waiting;
        loads[newPool].used = HostSize;
        loads[newPool].waiting = HostSize * 4;
    }

    auto step() -> ReclaimOrders
    {
        auto orders = reclaim.step(hosts, loads, rules, blocked, now);
        for (const auto &it : orders.drain)
            find(it).isDraining = true;
        for (const auto &it : orders.release)
            find(it).isDraining = false;
        return orders;
    }

    auto find(const HostName &name) -> HostView &
    {
        return *std::ranges::find(hosts, name, [](const HostView &it) { return it.report.host; });
    }

    HostReclaim reclaim;
    SchedulingRules rules;
    std::vector<HostView> hosts;
    std::map<PoolName, PoolLoad> loads;
    std::set<HostName> blocked;
    BootTime now = BootTime(1h);
};

TEST(HostReclaim, TakesHostsFromLateWorkForAPeakThatBegins)
{
    auto pools = TwoPools(10);
    const auto first = pools.step();
    ASSERT_EQ(first.drain.size(), 5U); // five hosts in use at 85 % are six
    EXPECT_TRUE(first.moves.empty());
    EXPECT_EQ(pools.find(first.drain.front()).otherRuns, 6U); // the fewest runs
    EXPECT_TRUE(pools.step().drain.empty());
    pools.find(first.drain.front()).otherRuns = 0;
    const auto second = pools.step();
    ASSERT_EQ(second.moves.size(), 1U);
    EXPECT_EQ(second.moves.front().host, first.drain.front());
    EXPECT_EQ(second.moves.front().to, newPool);
}

TEST(HostReclaim, LeavesHostsThatWorkInTimeOrRunLongRunningTasks)
{
    auto inTime = TwoPools(10);
    inTime.loads[oldPool].lateUsed = {};
    inTime.loads[oldPool].lateWaiting = {};
    EXPECT_TRUE(inTime.step().drain.empty());

    auto pinned = TwoPools(10);
    for (auto &it : pinned.hosts)
        it.longRunningRuns = 1;
    EXPECT_TRUE(pinned.step().drain.empty());

    auto ordered = TwoPools(10);
    for (const auto &it : ordered.hosts)
        ordered.blocked.insert(it.report.host);
    EXPECT_TRUE(ordered.step().drain.empty());
}

TEST(HostReclaim, LeavesTheRestToAStandbyHost)
{
    auto pools = TwoPools(10);
    const auto standby = PoolName("standby");
    pools.rules.pools[standby].isStandby = true;
    for (auto n = 0; n < 8; ++n) {
        auto host = HostView();
        host.report = reportOf(fmt::format("standby-{}", n), standby);
        pools.hosts.push_back(host);
    }
    EXPECT_TRUE(pools.step().drain.empty());
}

// A peak that is over before the hosts are free costs their pool a few seconds of them at most.
TEST(HostReclaim, GivesHostsBackThatArentNeededOrAreNeverFree)
{
    auto over = TwoPools(10);
    const auto taken = over.step().drain;
    over.loads[newPool].waiting = {};
    EXPECT_EQ(over.step().release.size(), taken.size());

    auto busy = TwoPools(10);
    const auto drained = busy.step().drain;
    busy.now += HostReclaim::MaxDrainTime;
    EXPECT_EQ(busy.step().release.size(), drained.size());
}

// A move that wasn't sent, or an upkeep that wasn't begun, left the host drained for ever.
TEST(HostReclaim, GivesHostsBackWhoseOrdersComeToNothing)
{
    auto pools = TwoPools(10);
    const auto host = pools.step().drain.front();
    pools.find(host).otherRuns = 0;
    EXPECT_EQ(pools.step().moves.size(), 1U);
    EXPECT_EQ(pools.step().moves.size(), 1U);
    pools.blocked.insert(host);
    pools.now += HostReclaim::MaxDrainTime;
    EXPECT_EQ(std::ranges::count(pools.step().release, host), 0);
    pools.blocked.clear();
    EXPECT_EQ(std::ranges::count(pools.step().release, host), 1);
}

} // namespace

} // namespace shallotproxy
