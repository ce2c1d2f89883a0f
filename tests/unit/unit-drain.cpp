#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "shallotproxy/version.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr Duration MaxRequestTime = 30s;
const auto host = HostName("target-1");

auto fleet(ConfigurationVersion version, ServiceState state) -> Configuration
{
    auto configuration = Configuration();
    configuration.version = version;
    configuration.dataCentres.emplace("north",
                                      DataCentre{DataCentreName("north"), ServiceState::In});
    auto target = Host();
    target.name = host;
    target.dataCentre = DataCentreName("north");
    target.state = state;
    configuration.hosts.emplace(host, target);
    return configuration;
}

auto members(int count) -> std::vector<MemberName>
{
    auto names = std::vector<MemberName>();
    for (auto i = 0; i < count; ++i)
        names.emplace_back("entry-" + std::to_string(i));
    return names;
}

TEST(Drain, WaitsForAnUnconfirmedMemberUntilTheMaxRequestTimeHasPassed)
{
    const auto now = BootTime(1h);
    auto tracker = DrainTracker();
    tracker.applyConfiguration(fleet(4, ServiceState::Leaving), members(2), now);
    tracker.applyReply(MemberName("entry-0"), 4, {host}, {});
    EXPECT_FALSE(tracker.isDrained(host, MaxRequestTime, now + 20s));
    EXPECT_TRUE(
        tracker.isDrained(host, MaxRequestTime, now + MaxVersionActivationTime + MaxRequestTime));
}

TEST(Drain, EndsOnceEveryMemberHasConfirmedAndTheVersionIsInForce)
{
    const auto now = BootTime(1h);
    auto tracker = DrainTracker();
    tracker.applyConfiguration(fleet(4, ServiceState::Leaving), members(2), now);
    tracker.applyReply(MemberName("entry-0"), 4, {host}, {});
    tracker.applyReply(MemberName("entry-1"), 5, {host}, {});
    EXPECT_FALSE(tracker.isDrained(host, MaxRequestTime, now + 1s));
    EXPECT_TRUE(tracker.isDrained(host, MaxRequestTime, now + MaxVersionActivationTime));
}

TEST(Drain, IgnoresAReplyOfAMemberThatServesAnOlderVersion)
{
    const auto now = BootTime(1h);
    auto tracker = DrainTracker();
    tracker.applyConfiguration(fleet(4, ServiceState::Leaving), members(1), now);
    tracker.applyReply(MemberName("entry-0"), 3, {host}, {});
    EXPECT_FALSE(tracker.isDrained(host, MaxRequestTime, now + MaxVersionActivationTime));
}

TEST(Drain, WaitsForAMemberThatLeavesTheDirectory)
{
    const auto now = BootTime(1h);
    auto tracker = DrainTracker();
    tracker.applyConfiguration(fleet(4, ServiceState::Leaving), members(2), now);
    tracker.applyReply(MemberName("entry-0"), 4, {host}, {});
    tracker.applyConfiguration(fleet(4, ServiceState::Leaving), members(1), now + 1s);
    EXPECT_FALSE(tracker.isDrained(host, MaxRequestTime, now + 20s));
}

TEST(Drain, RestartsWhenTheHostReturnedToServiceInBetween)
{
    const auto now = BootTime(1h);
    auto tracker = DrainTracker();
    tracker.applyConfiguration(fleet(4, ServiceState::Leaving), members(1), now);
    tracker.applyReply(MemberName("entry-0"), 4, {host}, {});
    tracker.applyConfiguration(fleet(5, ServiceState::In), members(1), now + 10s);
    tracker.applyConfiguration(fleet(6, ServiceState::Leaving), members(1), now + 20s);
    EXPECT_FALSE(tracker.isDrained(host, MaxRequestTime, now + 26s));
}

RC_GTEST_PROP(Drain, NeverEndsWhileAMemberRunsRequestsOnTheHost, ())
{
    const auto now = BootTime(1h);
    const auto count = *rc::gen::inRange(1, 6);
    const auto busyMember = *rc::gen::inRange(0, count);
    const auto replies = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, count), rc::gen::inRange(2, 7)));
    auto tracker = DrainTracker();
    tracker.applyConfiguration(fleet(4, ServiceState::Leaving), members(count), now);
    for (const auto &[member, version] : replies) {
        const auto isBusy = member == busyMember;
        tracker.applyReply(MemberName("entry-" + std::to_string(member)),
                           static_cast<ConfigurationVersion>(version), {host},
                           isBusy ? HostSet{host} : HostSet());
    }
    RC_ASSERT(!tracker.isDrained(host, MaxRequestTime, now + MaxVersionActivationTime + 20s));
}

} // namespace

} // namespace shallotproxy
