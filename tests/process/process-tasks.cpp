#include <QJsonDocument>
#include <QJsonObject>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "fleet.hpp"
#include "shallotproxy/request.hpp"

namespace shallotproxy::test {

namespace {

using namespace Qt::StringLiterals;

auto twoWorkerOptions() -> FleetOptions
{
    auto options = FleetOptions();
    options.targets = 2;
    options.workers = 2;
    return options;
}

auto jsonOf(const TargetReply &reply) -> QJsonObject
{
    return reply ? QJsonDocument::fromJson(QByteArray::fromStdString(reply->body)).object()
                 : QJsonObject();
}

auto apiRequest(const std::string &method, const std::string &path, const std::string &key,
                const std::string &body = "") -> HttpRequest
{
    return {method, path, {{"Authorization", "Bearer " + key}}, body};
}

auto submit(Fleet &fleet, int member, const std::string &key, double seconds) -> std::string
{
    const auto body = fmt::format(
        R"({{"pool":"main","cores":2,"memory":1000000,"seconds":{},"kind":"match"}})", seconds);
    const auto reply = fleet.request(member, apiRequest("POST", "/tasks", key, body));
    return jsonOf(reply).value("id"_L1).toString().toStdString();
}

auto stateOf(Fleet &fleet, int member, const std::string &key, const std::string &id) -> std::string
{
    const auto reply = fleet.request(member, apiRequest("GET", "/tasks/" + id, key));
    return jsonOf(reply).value("state"_L1).toString().toStdString();
}

auto waitForState(Fleet &fleet, int member, const std::string &key, const std::string &id,
                  const std::string &state) -> bool
{
    constexpr auto TimeoutMilliseconds = 20'000;
    return waitUntil([&] { return stateOf(fleet, member, key, id) == state; }, TimeoutMilliseconds);
}

TEST(ProcessTasks, RunToCompletionAndAreVisibleToTheirTeamOnly)
{
    auto fleet = Fleet(twoWorkerOptions());
    const auto red = fleet.createKey("red");
    const auto blue = fleet.createKey("blue");
    const auto id = submit(fleet, 0, red, 1);
    ASSERT_FALSE(id.empty());
    EXPECT_TRUE(waitForState(fleet, 1, red, id, "done"));
    EXPECT_EQ(fleet.workerCount("starts"), 1);

    const auto queried = fleet.request(2, apiRequest("GET", "/tasks/" + id, blue));
    ASSERT_TRUE(queried.has_value());
    EXPECT_EQ(queried->status, 404U);
    const auto cancelled = fleet.request(2, apiRequest("DELETE", "/tasks/" + id, blue));
    ASSERT_TRUE(cancelled.has_value());
    EXPECT_EQ(cancelled->status, 404U);
}

TEST(ProcessTasks, AreCancelledWhileTheyRun)
{
    auto fleet = Fleet(twoWorkerOptions());
    const auto key = fleet.createKey("red");
    const auto id = submit(fleet, 0, key, 60);
    EXPECT_TRUE(waitForState(fleet, 1, key, id, "running"));
    const auto reply = fleet.request(2, apiRequest("DELETE", "/tasks/" + id, key));
    ASSERT_TRUE(reply.has_value());
    EXPECT_EQ(reply->status, 202U);
    EXPECT_TRUE(waitForState(fleet, 1, key, id, "cancelled"));
}

TEST(ProcessTasks, ContinueUnderTheNextStewardWithoutASecondStart)
{
    auto fleet = Fleet(twoWorkerOptions());
    const auto key = fleet.createKey("red");
    const auto members =
        std::vector{MemberName("entry-0"), MemberName("entry-1"), MemberName("entry-2")};
    const auto steward = stewardOf("tasks/main", members).value().back() - '0';
    const auto other = (steward + 1) % 3;
    const auto id = submit(fleet, other, key, 4);
    EXPECT_TRUE(waitForState(fleet, other, key, id, "running"));
    fleet.killMember(steward);
    EXPECT_TRUE(waitForState(fleet, other, key, id, "done"));
    EXPECT_EQ(fleet.workerCount("starts"), 1);
    EXPECT_EQ(fleet.workerCount("doubleStarts"), 0);
}

TEST(ProcessTasks, AreRefusedWithATypedErrorWhenNoWorkerCanEverFitThem)
{
    auto fleet = Fleet(twoWorkerOptions());
    const auto key = fleet.createKey("red");
    const auto reply = fleet.request(
        0,
        apiRequest("POST", "/tasks", key, R"({"pool":"main","cores":17,"memory":1,"seconds":1})"));
    ASSERT_TRUE(reply.has_value());
    EXPECT_EQ(reply->status, 422U);
    EXPECT_EQ(jsonOf(reply).value("error"_L1).toInt(), 803);
}

} // namespace

} // namespace shallotproxy::test
