#include <QElapsedTimer>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QProcess>

#include <gtest/gtest.h>

#include "fleet.hpp"
#include "shallotproxy/process.hpp"

namespace shallotproxy::test {

namespace {

using namespace Qt::StringLiterals;

constexpr auto InForceMilliseconds = 5'000; // bound for a change to be in force on every member

auto outcomeOf(Fleet &fleet, int member, const std::string &key) -> std::string
{
    const auto reply = fleet.request(member, Fleet::queueRequest("quotes", key, 1, "pane"), 1'000);
    return reply ? std::string(reply->header("Shallotproxy-Outcome")) : "none";
}

auto isAnswered(Fleet &fleet, int member, const std::string &key) -> bool
{
    return outcomeOf(fleet, member, key) == "answered";
}

/// Plans an additional key of a team and returns the id of the intent.
auto planKey(Fleet &fleet, const QString &team) -> QString
{
    const auto intent = QStringLiteral(R"({"kind":"add-key","team":"%1","key":"k","digest":"0"})");
    const auto plan =
        fleet.ctl({u"--output"_s, u"json"_s, u"intent"_s, u"plan"_s, intent.arg(team)});
    const auto json = QJsonDocument::fromJson(QByteArray::fromStdString(plan.output)).object();
    return json.value("id"_L1).toString();
}

/// Returns the name of a key: the part of its text before the first dot.
auto keyName(const std::string &key) -> QString
{
    return toQString(key.substr(0, key.find('.')));
}

auto withdraw(Fleet &fleet, const std::string &key) -> CommandResult
{
    return fleet.ctl({u"--yes"_s, u"key"_s, u"withdraw"_s, u"red"_s, keyName(key)});
}

TEST(ProcessConfiguration, RefusesAWithdrawnKeyOnEveryMemberIncludingAPausedOne)
{
    auto fleet = Fleet({});
    const auto key = fleet.createKey("red");
    for (auto i = 0; i < 3; ++i)
        ASSERT_TRUE(isAnswered(fleet, i, key));
    fleet.pauseMember(2);
    auto timer = QElapsedTimer();
    timer.start();
    const auto result = withdraw(fleet, key);
    EXPECT_EQ(result.exitCode, 0) << result.errors;
    EXPECT_LT(timer.elapsed(), InForceMilliseconds);
    EXPECT_FALSE(isAnswered(fleet, 0, key));
    EXPECT_FALSE(isAnswered(fleet, 1, key));
    fleet.resumeMember(2);
    EXPECT_FALSE(isAnswered(fleet, 2, key));
}

TEST(ProcessConfiguration, RefusesAWithdrawnKeyOnAMemberPartitionedFromTheStore)
{
    auto options = FleetOptions();
    options.relayedMember = 2;
    auto fleet = Fleet(options);
    const auto key = fleet.createKey("red");
    ASSERT_TRUE(isAnswered(fleet, 2, key));
    fleet.partitionFromStore(true);
    auto timer = QElapsedTimer();
    timer.start();
    ASSERT_TRUE(waitUntil([&timer] { return timer.elapsed() > 4'000; }, 5'000));
    EXPECT_TRUE(isAnswered(fleet, 2, key)); // its peers confirm its configuration
    timer.restart();
    const auto result = withdraw(fleet, key);
    EXPECT_EQ(result.exitCode, 0) << result.errors;
    EXPECT_LT(timer.elapsed(), InForceMilliseconds);
    for (auto i = 0; i < 3; ++i)
        EXPECT_FALSE(isAnswered(fleet, i, key));
}

TEST(ProcessConfiguration, KeepsServingWhileTheStoreIsDownAndRefusesChanges)
{
    auto fleet = Fleet({});
    const auto key = fleet.createKey("red");
    fleet.injectStoreFault(R"({"mode":"down"})");
    auto timer = QElapsedTimer();
    timer.start();
    auto refused = 0;
    for (auto i = 0; timer.elapsed() < 10'000; ++i)
        refused += isAnswered(fleet, i % 3, key) ? 0 : 1;
    EXPECT_EQ(refused, 0);
    EXPECT_NE(withdraw(fleet, key).exitCode, 0);
    fleet.injectStoreFault(R"({"mode":"none"})");
    EXPECT_TRUE(waitUntil([&] { return withdraw(fleet, key).exitCode == 0; }, 5'000));
    EXPECT_FALSE(isAnswered(fleet, 0, key));
}

TEST(ProcessConfiguration, ReportsAppliedWhenTheResponseToTheCompareAndSwapIsLost)
{
    auto fleet = Fleet({});
    const auto id = planKey(fleet, u"red"_s);
    ASSERT_FALSE(id.isEmpty());
    fleet.injectStoreFault(R"({"mode":"lose-answer","count":1,"match":"config/head"})");
    const auto result = fleet.ctl({u"intent"_s, u"confirm"_s, id});
    EXPECT_EQ(result.exitCode, 0) << result.errors;
    EXPECT_NE(result.output.find("applied as version 2"), std::string::npos) << result.output;
    const auto status = fleet.ctl({u"intent"_s, u"status"_s, id});
    EXPECT_NE(status.output.find("applied as version 2"), std::string::npos) << status.output;
    // A repeated confirmation, through any member, changes nothing and reports the same.
    const auto again = fleet.ctl({u"intent"_s, u"confirm"_s, id});
    EXPECT_EQ(again.output, result.output);
}

TEST(ProcessConfiguration, AppliesExactlyOneOfTwoRacingIntentsAndReportsTheChangeToTheOther)
{
    auto fleet = Fleet({});
    const auto ids = QStringList{planKey(fleet, u"red"_s), planKey(fleet, u"blue"_s)};
    auto firstProcess = fleet.startCtl({u"intent"_s, u"confirm"_s, ids[0]}, 0);
    auto secondProcess = fleet.startCtl({u"intent"_s, u"confirm"_s, ids[1]}, 1);
    const auto first = fleet.finishCtl(*firstProcess);
    const auto second = fleet.finishCtl(*secondProcess);
    EXPECT_EQ((first.exitCode == 0 ? 1 : 0) + (second.exitCode == 0 ? 1 : 0), 1)
        << first.errors << second.errors;
    const auto &refused = first.exitCode == 0 ? second : first;
    EXPECT_EQ(refused.exitCode, 1);
    EXPECT_NE(refused.errors.find("stale-plan"), std::string::npos) << refused.errors;
    EXPECT_NE(refused.errors.find("key k given"), std::string::npos) << refused.errors;
    const auto history = fleet.ctl({u"config"_s, u"history"_s});
    EXPECT_NE(history.output.find("version 2 at"), std::string::npos) << history.output;
    EXPECT_EQ(history.output.find("version 3 at"), std::string::npos) << history.output;
}

} // namespace

} // namespace shallotproxy::test
