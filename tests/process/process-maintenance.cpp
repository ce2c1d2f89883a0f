#include <algorithm>

#include <QJsonDocument>
#include <QJsonObject>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "fleet.hpp"
#include "shallotproxy/request.hpp"

namespace shallotproxy::test {

namespace {

using namespace Qt::StringLiterals;

/// Returns the declarations of one pool of workers that run no tasks and need no processes: the
/// platform stand-in reboots any address.
auto declarations(int hosts, int budget) -> std::string
{
    auto text = fmt::format("dataCentres: [{{name: north}}, {{name: south}}]\n"
                            "pools: [{{name: spare, maxUnavailable: {}}}]\nhosts:\n",
                            budget);
    for (auto i = 0; i < hosts; ++i) {
        text += fmt::format("  - {{name: spare-{}, dataCentre: {}, rack: r, pool: spare, "
                            "role: worker, address: '127.0.0.1:{}', cores: 4, memory: 1 GiB, "
                            "accelerators: 0}}\n",
                            i, i % 2 == 0 ? "north" : "south", i + 1);
    }
    return text;
}

auto jsonOf(const CommandResult &result) -> QJsonObject
{
    return QJsonDocument::fromJson(QByteArray::fromStdString(result.output)).object();
}

/// Plans and confirms the reboot of all hosts. Returns the id of the intent.
auto reboot(Fleet &fleet) -> std::string
{
    const auto plan =
        fleet.ctl({u"--output"_s, u"json"_s, u"intent"_s, u"plan"_s, uR"({"kind":"reboot"})"_s});
    const auto id = jsonOf(plan).value("id"_L1).toString();
    EXPECT_EQ(fleet.ctl({u"intent"_s, u"confirm"_s, id}).exitCode, 0);
    return id.toStdString();
}

auto waitForReboots(Fleet &fleet, int count) -> bool
{
    constexpr auto TimeoutMilliseconds = 30'000;
    return waitUntil([&] { return fleet.workerCount("reboots") == count; }, TimeoutMilliseconds);
}

TEST(ProcessMaintenance, RebootsAPoolInWavesThatItsBudgetAllows)
{
    auto fleet = Fleet({3, 1, 0, declarations(4, 2)});
    fleet.injectWorkerFault(R"({"rebootMilliseconds":300})");
    const auto started = BootClock::now();
    reboot(fleet);
    EXPECT_TRUE(waitForReboots(fleet, 4));
    // Each of the two waves waits until its version is in force everywhere.
    EXPECT_GE(BootClock::now() - started, std::chrono::seconds(10));
    EXPECT_TRUE(fleet.waitForVersion(5)); // declared, confirmed, first wave, second wave, all back
    EXPECT_EQ(fleet.workerCount("reboots"), 4);
}

TEST(ProcessMaintenance, ContinuesWhenTheDrivingMemberIsKilled)
{
    auto fleet = Fleet({3, 1, 0, declarations(2, 2)});
    const auto id = reboot(fleet);
    const auto members =
        std::vector{MemberName("entry-0"), MemberName("entry-1"), MemberName("entry-2")};
    EXPECT_TRUE(fleet.waitForVersion(3)); // the wave is granted
    fleet.killMember(stewardOf("maintenance/" + id, members).value().back() - '0');
    EXPECT_TRUE(waitForReboots(fleet, 2));
    EXPECT_TRUE(fleet.waitForVersion(4)); // all back
    EXPECT_EQ(fleet.workerCount("reboots"), 2);
}

TEST(ProcessMaintenance, RebootsNoTargetWhileARequestRunsOnIt)
{
    constexpr auto WorkMilliseconds = 7'500; // longer than an idle target takes to drain
    constexpr auto TimeoutMilliseconds = 10'000;
    constexpr auto Targets = 2; // each gets one of the requests
    auto fleet = Fleet({1, Targets});
    const auto key = fleet.createKey("red");
    auto answered = 0;
    auto connections = std::vector<std::unique_ptr<TargetConnection>>();
    for (auto n = 0; n < Targets; ++n) {
        connections.push_back(
            std::make_unique<TargetConnection>(fleet.callersEndpoint(0), HttpBounds()));
        connections.back()->send(Fleet::queueRequest("orders", key, WorkMilliseconds, "pane"),
                                 TimeoutMilliseconds, [&answered](const TargetReply &reply) {
                                     EXPECT_TRUE(reply.has_value() && reply->status == 200);
                                     ++answered;
                                 });
    }
    EXPECT_TRUE(
        waitUntil([&fleet] { return fleet.targetCount("runs") == Targets; }, TimeoutMilliseconds));
    reboot(fleet);
    auto rebootsBeforeReply = std::int64_t{-1};
    EXPECT_TRUE(waitUntil(
        [&] {
            if (answered == 0)
                rebootsBeforeReply = fleet.workerCount("reboots");
            return answered == Targets;
        },
        TimeoutMilliseconds));
    EXPECT_EQ(rebootsBeforeReply, 0);
    EXPECT_TRUE(waitForReboots(fleet, Targets));
}

TEST(ProcessMaintenance, RefusesADrainThatBreaksABudgetAndNamesThePool)
{
    auto fleet = Fleet({3, 1, 0, declarations(4, 1)});
    const auto refused = fleet.ctl({u"--yes"_s, u"data-centre"_s, u"out"_s, u"north"_s});
    EXPECT_NE(refused.exitCode, 0);
    EXPECT_NE(refused.errors.find("breaks-budget (603): spare"), std::string::npos);
    const auto allowed =
        fleet.ctl({u"--yes"_s, u"--may-break-budget"_s, u"data-centre"_s, u"out"_s, u"north"_s});
    EXPECT_EQ(allowed.exitCode, 0);
    EXPECT_NE(allowed.output.find("breaks the budget of pool spare"), std::string::npos);
}

} // namespace

} // namespace shallotproxy::test
