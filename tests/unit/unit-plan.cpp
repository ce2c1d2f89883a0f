#include <algorithm>

#include <gtest/gtest.h>

#include "shallotproxy/version.hpp"

namespace shallotproxy {

namespace {

/// Two pools of six targets each over three data centres; `small` allows one unavailable host,
/// `wide` two.
auto fleet() -> Configuration
{
    auto configuration = Configuration();
    configuration.version = 5;
    for (const auto *it : {"north", "south", "west"})
        configuration.dataCentres.emplace(it, DataCentre{DataCentreName(it), ServiceState::In});
    configuration.pools.emplace("small", Pool{PoolName("small"), 1});
    configuration.pools.emplace("wide", Pool{PoolName("wide"), 2});
    static const auto dataCentreNames = std::vector<std::string>{"north", "south", "west"};
    for (const auto *pool : {"small", "wide"}) {
        for (std::size_t i = 0; i < 6; ++i) {
            auto host = Host();
            host.name = HostName(std::string(pool) + "-" + std::to_string(i));
            host.dataCentre = DataCentreName(dataCentreNames[i % dataCentreNames.size()]);
            host.pool = PoolName(pool);
            host.slots = 8;
            configuration.hosts.emplace(host.name, host);
        }
    }
    return configuration;
}

auto contains(const std::vector<std::string> &lines, std::string_view text) -> bool
{
    return std::ranges::any_of(
        lines, [text](const auto &it) { return it.find(text) != std::string::npos; });
}

TEST(Plan, RejectsADataCentreOutThatBreaksABudgetAndNamesPoolAndMargin)
{
    const auto plan =
        planIntent(fleet(), SetDataCentreState{DataCentreName("north"), ServiceState::Out, false});
    ASSERT_FALSE(plan.has_value());
    EXPECT_EQ(plan.error().kind, IntentError::Kind::BreaksBudget);
    EXPECT_EQ(plan.error().subject, "small");
    EXPECT_NE(plan.error().detail.find("margin -1"), std::string::npos);
}

TEST(Plan, WarnsOfABrokenBudgetWhenTheOperatorAllowsIt)
{
    const auto plan =
        planIntent(fleet(), SetDataCentreState{DataCentreName("north"), ServiceState::Out, true});
    ASSERT_TRUE(plan.has_value());
    EXPECT_TRUE(contains(plan->warnings, "breaks the budget of pool small"));
    EXPECT_FALSE(contains(plan->warnings, "pool wide"));
}

TEST(Plan, BringsADataCentreBackRegardlessOfBudgets)
{
    auto current = fleet();
    current.dataCentres.at(DataCentreName("north")).state = ServiceState::Out;
    current.dataCentres.at(DataCentreName("south")).state = ServiceState::Out;
    EXPECT_TRUE(
        planIntent(current, SetDataCentreState{DataCentreName("north"), ServiceState::In, false})
            .has_value());
}

TEST(Plan, CountsFailedHostsAgainstTheBudget)
{
    const auto drain = SetHostState{HostName("small-1"), ServiceState::Leaving, false};
    EXPECT_TRUE(planIntent(fleet(), drain).has_value());
    const auto plan = planIntent(fleet(), drain, {HostName("small-4")});
    ASSERT_FALSE(plan.has_value());
    EXPECT_EQ(plan.error().kind, IntentError::Kind::BreaksBudget);
}

TEST(Plan, DrainsAFailedHostWithoutReducingTheMargin)
{
    const auto drain = SetHostState{HostName("small-4"), ServiceState::Leaving, false};
    const auto failed = HostSet{HostName("small-4"), HostName("small-5")};
    EXPECT_TRUE(planIntent(fleet(), drain, failed).has_value());
}

TEST(Plan, ShowsWavesCapacityDurationAndSmallestMargin)
{
    const auto plan = planIntent(fleet(), RebootHosts{}, {}, IntentId("reboot-1"));
    ASSERT_TRUE(plan.has_value());
    EXPECT_EQ(plan->id, IntentId("reboot-1"));
    EXPECT_TRUE(contains(plan->changes, "wave 1 of 6"));
    EXPECT_TRUE(contains(plan->changes, "wave 6 of 6"));
    EXPECT_TRUE(contains(plan->changes, "in service"));
    EXPECT_TRUE(contains(plan->changes, "12 hosts; least margin: pool"));
    // Confirming the plan starts no wave: each wave is granted by a later version.
    EXPECT_TRUE(plan->result.hosts.at(HostName("small-0")).state == ServiceState::In);
}

TEST(Plan, GrowsAPoolAsFarAsOtherPoolsCanSpareHosts)
{
    auto current = fleet();
    current.pools.emplace("new", Pool{PoolName("new"), 1});
    const auto plan =
        planIntent(current, GrowPool{PoolName("new"), HostRole::Target, 3}, {}, IntentId("grow-1"));
    ASSERT_TRUE(plan.has_value());
    EXPECT_EQ(plan->result.maintenance.at(IntentId("grow-1")).waiting.size(), 3U);
    const auto tooMany = planIntent(current, GrowPool{PoolName("new"), HostRole::Target, 11});
    ASSERT_FALSE(tooMany.has_value());
    EXPECT_EQ(tooMany.error().kind, IntentError::Kind::BreaksBudget);
}

TEST(Plan, KeepsMaintenanceInProgressWhenDeclarationsAreApplied)
{
    auto current = fleet();
    current.maintenance[IntentId("a")].name = IntentId("a");
    auto declared = fleet();
    declared.pools.at(PoolName("small")).maxUnavailable = 3;
    const auto plan = planIntent(current, ApplyDeclarations{declared});
    ASSERT_TRUE(plan.has_value());
    EXPECT_TRUE(plan->result.maintenance.contains(IntentId("a")));
}

TEST(Plan, RoundTripsMaintenanceInAnEncodedConfiguration)
{
    auto current = fleet();
    auto &job = current.maintenance[IntentId("a")];
    job.name = IntentId("a");
    job.waiting = {HostName("small-1")};
    job.active = {{HostName("small-2"), ServiceState::In}};
    const auto decoded = decodeConfiguration(encodeConfiguration(current));
    ASSERT_TRUE(decoded.has_value());
    const auto &read = decoded->maintenance.at(IntentId("a"));
    EXPECT_EQ(read.waiting, job.waiting);
    ASSERT_EQ(read.active.size(), 1U);
    EXPECT_EQ(read.active.front().host, HostName("small-2"));
}

TEST(Plan, ReturnsAHostToServiceOnlyWhenItsMaintenanceEnds)
{
    auto current = fleet();
    auto &job = current.maintenance[IntentId("a")];
    job.name = IntentId("a");
    job.active = {{HostName("small-2"), ServiceState::Out}};
    current.hosts.at(HostName("small-2")).state = ServiceState::Leaving;
    const auto plan =
        planIntent(current, SetHostState{HostName("small-2"), ServiceState::In, false});
    ASSERT_TRUE(plan.has_value());
    EXPECT_TRUE(plan->result.hosts.at(HostName("small-2")).state == ServiceState::Leaving);
    EXPECT_TRUE(plan->result.maintenance.at(IntentId("a")).active.front().previousState
                == ServiceState::In);
}

TEST(Plan, StopsMaintenanceButLetsActiveHostsFinish)
{
    auto current = fleet();
    auto &job = current.maintenance[IntentId("a")];
    job.name = IntentId("a");
    job.waiting = {HostName("small-1")};
    job.active = {{HostName("small-2"), ServiceState::In}};
    const auto plan = planIntent(current, StopMaintenance{IntentId("a")});
    ASSERT_TRUE(plan.has_value());
    const auto &remaining = plan->result.maintenance.at(IntentId("a"));
    EXPECT_TRUE(remaining.waiting.empty());
    EXPECT_EQ(remaining.active.size(), 1U);
}

} // namespace

} // namespace shallotproxy
