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

constexpr auto InForceMilliseconds = 5'000; // shared target

auto outcomeOf(Fleet &fleet, int member, const std::string &key) -> std::string
{
    const auto reply = fleet.request(member, Fleet::queueRequest("quotes", key, 1, "pane"), 1'000);
    return reply ? std::string(reply->header("Shallotproxy-Outcome")) : "none";
}

auto isAnswered(Fleet &fleet, int member, const std::string &key) -> bool
{
    return outcomeOf(fleet, member, key) == "answered";
}

/// Plans a further key of a team and returns the intent's id.
auto planKey(Fleet &fleet, const QString &team) -> QString
{
    const auto intent = QStringLiteral(R"({"kind":"add-key","team":"%1","key":"k","digest":"0"})");
    const auto plan =
        fleet.ctl({u"--output"_s, u"json"_s, u"intent"_s, u"plan"_s, intent.arg(team)});
    const auto json = QJsonDocument::fromJson(QByteArray::fromStdString(plan.output)).object();
    return json.value("id"_L1).toString();
}

/// Name of a key, the part of its text before the point.
auto keyName(const std::string &key) -> QString
{
    return toQString(key.substr(0, key.find('.')));
}

auto withdraw(Fleet &fleet, const std::string &key) -> CommandResult
{
    return fleet.ctl({u"--yes"_s, u"key"_s, u"withdraw"_s, u"red"_s, keyName(key)});
}

TEST(ProcessConfiguration, RefusesAWithdrawnKeyOnEveryMemberAlsoOnOneThatWasPaused)
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

TEST(ProcessConfiguration, RefusesAWithdrawnKeyOnAMemberThatIsCutFromTheStore)
{
    auto options = FleetOptions();
    options.relayedMember = 2;
    auto fleet = Fleet(options);
    const auto key = fleet.createKey("red");
    ASSERT_TRUE(isAnswered(fleet, 2, key));
    fleet.cutFromStore(true);
    auto timer = QElapsedTimer();
    timer.start();
    ASSERT_TRUE(waitUntil([&timer] { return timer.elapsed() > 4'000; }, 5'000));
    EXPECT_TRUE(isAnswered(fleet, 2, key)); // its peers vouch for it
    timer.restart();
    const auto result = withdraw(fleet, key);
    EXPECT_EQ(result.exitCode, 0) << result.errors;
    EXPECT_LT(timer.elapsed(), InForceMilliseconds);
    for (auto i = 0; i < 3; ++i)
        EXPECT_FALSE(isAnswered(fleet, i, key));
}

TEST(ProcessConfiguration, ServesOnWhileTheStoreIsDownAndTellsThatNoChangeCanBeMade)
{
    auto fleet = Fleet({});
    const auto key = fleet.createKey("red");
    fleet.storeFault(R"({"mode":"down"})");
    auto timer = QElapsedTimer();
    timer.start();
    auto refused = 0;
    for (auto i = 0; timer.elapsed() < 10'000; ++i)
        refused += isAnswered(fleet, i % 3, key) ? 0 : 1;
    EXPECT_EQ(refused, 0);
    EXPECT_NE(withdraw(fleet, key).exitCode, 0);
    fleet.storeFault(R"({"mode":"none"})");
    EXPECT_TRUE(waitUntil([&] { return withdraw(fleet, key).exitCode == 0; }, 5'000));
    EXPECT_FALSE(isAnswered(fleet, 0, key));
}

TEST(ProcessConfiguration, TellsAppliedWhenTheAnswerToTheSwapWasLost)
{
    auto fleet = Fleet({});
    const auto id = planKey(fleet, u"red"_s);
    ASSERT_FALSE(id.isEmpty());
    fleet.storeFault(R"({"mode":"lose-answer","count":1,"match":"config/head"})");
    const auto result = fleet.ctl({u"intent"_s, u"confirm"_s, id});
    EXPECT_EQ(result.exitCode, 0) << result.errors;
    EXPECT_NE(result.output.find("applied as version 2"), std::string::npos) << result.output;
    const auto status = fleet.ctl({u"intent"_s, u"status"_s, id});
    EXPECT_NE(status.output.find("applied as version 2"), std::string::npos) << status.output;
    // A repeat, through any member, changes nothing and tells the same.
    const auto again = fleet.ctl({u"intent"_s, u"confirm"_s, id});
    EXPECT_EQ(again.output, result.output);
}

TEST(ProcessConfiguration, AppliesExactlyOneOfTwoRacingOperatorsAndTellsTheOtherWhatChanged)
{
    auto fleet = Fleet({});
    const auto ids = QStringList{planKey(fleet, u"red"_s), planKey(fleet, u"blue"_s)};
    auto first = fleet.startCtl({u"intent"_s, u"confirm"_s, ids[0]}, 0);
    auto second = fleet.startCtl({u"intent"_s, u"confirm"_s, ids[1]}, 1);
    const auto one = fleet.finishCtl(*first);
    const auto two = fleet.finishCtl(*second);
    EXPECT_EQ((one.exitCode == 0 ? 1 : 0) + (two.exitCode == 0 ? 1 : 0), 1)
        << one.errors << two.errors;
    const auto &loser = one.exitCode == 0 ? two : one;
    EXPECT_EQ(loser.exitCode, 1);
    EXPECT_NE(loser.errors.find("stale-plan"), std::string::npos) << loser.errors;
    EXPECT_NE(loser.errors.find("key k given"), std::string::npos) << loser.errors;
    const auto history = fleet.ctl({u"config"_s, u"history"_s});
    EXPECT_NE(history.output.find("version 2 at"), std::string::npos) << history.output;
    EXPECT_EQ(history.output.find("version 3 at"), std::string::npos) << history.output;
}

} // namespace

} // namespace shallotproxy::test
