#include <gtest/gtest.h>

#include "fake_target.hpp"
#include "host_client.hpp"
#include "store_client.hpp"
#include "worker_client.hpp"

namespace shallotproxy::platform {

namespace {

using namespace std::chrono_literals;
using test::FakeTarget;
using test::runUntil;

/// Returns a handler that sends the same response to each request, or closes the connection if
/// `status` is empty.
auto respondingWith(const std::string &status, const std::string &body) -> FakeTarget::Handler
{
    return [status, body](QTcpSocket &socket, int) {
        if (status.empty()) {
            socket.abort();
            return;
        }
        socket.write(QByteArray::fromStdString(fmt::format(
            "HTTP/1.1 {} X\r\nContent-Length: {}\r\n\r\n{}", status, body.size(), body)));
        socket.flush();
    };
}

auto commitTo(FakeTarget &target) -> Expected<std::uint64_t, StoreFailure>
{
    auto metrics = Metrics();
    auto store = StoreClient(target.endpoint(), metrics);
    auto result = std::optional<Expected<std::uint64_t, StoreFailure>>();
    auto commit = StoreCommit();
    commit.compares.push_back({"a", 3});
    commit.puts.push_back({"a", std::string("\0\x01", 2), 0});
    store.commit(commit, [&result](auto reply) { result = std::move(reply); });
    EXPECT_TRUE(runUntil([&result] { return result.has_value(); }));
    return *result;
}

TEST(StoreClient, ReportsTheOutcomeOfACommit)
{
    auto done = FakeTarget(respondingWith("200", R"({"revision":412})"));
    EXPECT_EQ(commitTo(done).value(), 412U);
    auto refused = FakeTarget(respondingWith("503", "{}"));
    EXPECT_EQ(commitTo(refused).error().kind, StoreFailure::Kind::NotApplied);
    auto tooMany = FakeTarget(respondingWith("429", "{}"));
    EXPECT_EQ(commitTo(tooMany).error().kind, StoreFailure::Kind::NotApplied);
    for (const auto *it : {"500", "502", "504"}) {
        auto failing = FakeTarget(respondingWith(it, "{}"));
        EXPECT_EQ(commitTo(failing).error().kind, StoreFailure::Kind::Unknown);
    }
    auto noLease = FakeTarget(respondingWith("404", "{}"));
    EXPECT_EQ(commitTo(noLease).error().kind, StoreFailure::Kind::LeaseExpired);
    auto disconnected = FakeTarget(respondingWith("", ""));
    EXPECT_EQ(commitTo(disconnected).error().kind, StoreFailure::Kind::Unknown);
    // The client itself never repeats a write after a lost reply.
    EXPECT_EQ(disconnected.requests(), 1);
    auto unreadable = FakeTarget(respondingWith("200", "{]"));
    EXPECT_EQ(commitTo(unreadable).error().kind, StoreFailure::Kind::Unknown);
}

TEST(StoreClient, ReturnsTheRecordsOfAConflict)
{
    auto target = FakeTarget(respondingWith(
        "412", R"({"items":[{"key":"a","value":"AAE=","revision":9,"created":2}]})"));
    const auto reply = commitTo(target);
    ASSERT_FALSE(reply.has_value());
    EXPECT_EQ(reply.error().kind, StoreFailure::Kind::Conflict);
    ASSERT_EQ(reply.error().records.size(), 1U);
    EXPECT_EQ(reply.error().records[0].revision, 9U);
    EXPECT_EQ(reply.error().records[0].value, std::string("\0\x01", 2));
}

TEST(StoreClient, ReadsAllPages)
{
    auto target = FakeTarget([](QTcpSocket &socket, int number) {
        const auto body = number == 1
            ? std::string(
                R"({"items":[{"key":"a/1","value":"","revision":5}],"has_more":true,"as_of":7})")
            : std::string(
                R"({"items":[{"key":"a/2","value":"","revision":8}],"has_more":false,"as_of":9})");
        respondingWith("200", body)(socket, number);
    });
    auto metrics = Metrics();
    auto store = StoreClient(target.endpoint(), metrics);
    auto result = std::optional<StoreRead>();
    store.readAll("a/", [&result](auto reply) { result = reply.value(); });
    ASSERT_TRUE(runUntil([&result] { return result.has_value(); }));
    EXPECT_EQ(result->records.size(), 2U);
    EXPECT_EQ(result->revision, 7U); // a watch must start before the second page's revision
}

TEST(StoreClient, ReportsThatTheHistoryOfAWatchIsCompacted)
{
    auto target = FakeTarget(respondingWith("410", "{}"));
    auto metrics = Metrics();
    auto store = StoreClient(target.endpoint(), metrics);
    auto kind = std::optional<StoreFailure::Kind>();
    store.watch("a/", 3, 10ms, [&kind](auto reply) { kind = reply.error().kind; });
    ASSERT_TRUE(runUntil([&kind] { return kind.has_value(); }));
    EXPECT_EQ(kind, StoreFailure::Kind::HistoryCompacted);
}

auto startAt(FakeTarget &target) -> OrderOutcome
{
    auto workers = WorkerClient();
    auto report = WorkerReport();
    report.name = WorkerName("w");
    report.address = target.endpoint();
    auto order = steward_action::StartRun();
    order.task = {"0123456789abcdef", 0, 0, 0};
    order.payload = "a \"quoted\" \xff text";
    auto result = std::optional<OrderReply>();
    workers.start(report, 7, order, [&result](const OrderReply &reply) { result = reply; });
    EXPECT_TRUE(runUntil([&result] { return result.has_value(); }));
    return result->outcome;
}

TEST(WorkerClient, ReportsTheOutcomeOfAnOrder)
{
    const auto outcomeOf = [](const char *status, const char *body) {
        auto target = FakeTarget(respondingWith(status, body));
        return startAt(target);
    };
    EXPECT_EQ(outcomeOf("200", R"({"clock_ms":5})"), OrderOutcome::Accepted);
    EXPECT_EQ(outcomeOf("409", R"({"reason":"fence"})"), OrderOutcome::Superseded);
    EXPECT_EQ(outcomeOf("409", R"({"reason":"old"})"), OrderOutcome::StaleRun);
    EXPECT_EQ(outcomeOf("409", R"({"reason":"late"})"), OrderOutcome::LeaseExpired);
    EXPECT_EQ(outcomeOf("409", R"({"reason":"room"})"), OrderOutcome::InsufficientResources);
    EXPECT_EQ(outcomeOf("421", "{}"), OrderOutcome::StaleIncarnation);
    EXPECT_EQ(outcomeOf("503", "{}"), OrderOutcome::Unhealthy);
    EXPECT_EQ(outcomeOf("500", "{}"), OrderOutcome::Unanswered);
    EXPECT_EQ(outcomeOf("", ""), OrderOutcome::Unanswered);
}

TEST(WorkerClient, ReportsAnOrderThatWasNeverSent)
{
    auto address = std::string();
    {
        auto closedTarget = FakeTarget(respondingWith("200", "{}"));
        address = closedTarget.endpoint();
    }
    auto workers = WorkerClient();
    auto report = WorkerReport();
    report.address = address;
    auto outcome = std::optional<OrderOutcome>();
    workers.stop(report, 7, {}, [&outcome](const OrderReply &reply) { outcome = reply.outcome; });
    ASSERT_TRUE(runUntil([&outcome] { return outcome.has_value(); }));
    EXPECT_EQ(outcome, OrderOutcome::NotSent);
}

TEST(HostClient, ReadsHostsAndReportsTheOutcomeOfAMove)
{
    auto list = FakeTarget(respondingWith(
        "200", R"({"machines":[{"machine":"m1","pool":"s1","state":"upkeep","id":null},
                  {"machine":"m2","pool":"s1","state":"up","id":"i-2","capacity":{"cpu":5}}],
                  "next_page_token":null})"));
    auto hosts = HostClient(list.endpoint(), "member");
    auto read = std::optional<std::vector<HostReport>>();
    auto isAnswered = false;
    hosts.list([&](auto reply) {
        read = std::move(reply);
        isAnswered = true;
    });
    ASSERT_TRUE(runUntil([&isAnswered] { return isAnswered; }));
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->at(0).state, HostState::InUpkeep);
    EXPECT_EQ(read->at(1).worker, WorkerName("i-2"));

    const auto outcomeOf = [](const char *status, const char *body = "{}") {
        auto target = FakeTarget(respondingWith(status, body));
        auto client = HostClient(target.endpoint(), "member");
        auto outcome = std::optional<HostOutcome>();
        client.move({HostName("m1"), PoolName("s2")}, 3, [&outcome](auto it) { outcome = it; });
        EXPECT_TRUE(runUntil([&outcome] { return outcome.has_value(); }));
        return *outcome;
    };
    EXPECT_EQ(outcomeOf("200"), HostOutcome::Accepted);
    EXPECT_EQ(outcomeOf("409"), HostOutcome::Busy);
    EXPECT_EQ(outcomeOf("409", R"({"reason":"busy"})"), HostOutcome::Busy);
    EXPECT_EQ(outcomeOf("409", R"({"reason":"fence"})"), HostOutcome::Superseded);
    EXPECT_EQ(outcomeOf("429"), HostOutcome::Refused);
    EXPECT_EQ(outcomeOf(""), HostOutcome::Unanswered);
}

TEST(HttpClient, LimitsConcurrentRequestsAndReusesConnections)
{
    auto openSockets = std::vector<QTcpSocket *>();
    auto target =
        FakeTarget([&openSockets](QTcpSocket &socket, int) { openSockets.push_back(&socket); });
    auto client = HttpClient(HttpBounds(), 2);
    auto answered = 0;
    for (auto n = 0; n < 5; ++n) {
        client.send(target.endpoint(), {"GET", "/", {}, {}}, 2'000,
                    [&answered](const TargetReply &reply) { answered += reply ? 1 : 0; });
    }
    ASSERT_TRUE(runUntil([&target] { return target.requests() == 2; }));
    test::runFor(50);
    EXPECT_EQ(target.requests(), 2);
    for (auto n = 0; n < 5; ++n) {
        ASSERT_TRUE(runUntil([&openSockets] { return !openSockets.empty(); }));
        auto *socket = openSockets.front();
        openSockets.erase(openSockets.begin());
        respondingWith("200", "{}")(*socket, 0);
        ASSERT_TRUE(runUntil([&answered, n] { return answered == n + 1; }));
    }
    EXPECT_EQ(target.connections(), 2);
}

TEST(HttpClient, FailsARequestThatQueuedUntilItsTimeoutAsNotSent)
{
    auto target = FakeTarget([](QTcpSocket &, int) {});
    auto client = HttpClient(HttpBounds(), 1);
    auto kinds = std::map<int, TargetError::Kind>();
    for (auto n = 0; n < 2; ++n) {
        client.send(target.endpoint(), {"GET", "/", {}, {}}, n == 0 ? 200 : 50,
                    [&kinds, n](const TargetReply &reply) { kinds[n] = reply.error().kind; });
    }
    ASSERT_TRUE(runUntil([&kinds] { return kinds.size() == 2; }));
    EXPECT_EQ(kinds[0], TargetError::Kind::TimedOut);
    EXPECT_EQ(kinds[1], TargetError::Kind::NotConnected);
    EXPECT_EQ(target.requests(), 1);
}

// Whether a worker has ended or is silent decides what the loss of its runs proves (issue 65).
TEST(HttpClient, TellsAClosedConnectionFromSilence)
{
    const auto errorOf = [](const std::string &endpoint) {
        auto client = HttpClient(HttpBounds(), 1);
        auto error = std::optional<TargetError>();
        client.send(endpoint, {"GET", "/", {}, {}}, 200,
                    [&error](const TargetReply &reply) { error = reply.error(); });
        EXPECT_TRUE(runUntil([&error] { return error.has_value(); }));
        return error.value_or(TargetError());
    };
    auto silent = FakeTarget([](QTcpSocket &, int) {});
    EXPECT_EQ(errorOf(silent.endpoint()).kind, TargetError::Kind::TimedOut);
    EXPECT_FALSE(errorOf(silent.endpoint()).isClosedByTarget);
    auto resetting = FakeTarget([](QTcpSocket &socket, int) { socket.abort(); });
    EXPECT_EQ(errorOf(resetting.endpoint()).kind, TargetError::Kind::ClosedUnanswered);
    EXPECT_TRUE(errorOf(resetting.endpoint()).isClosedByTarget);
    auto closing = FakeTarget([](QTcpSocket &socket, int) { socket.disconnectFromHost(); });
    EXPECT_TRUE(errorOf(closing.endpoint()).isClosedByTarget);
    auto refusing = std::string();
    {
        auto ended = FakeTarget([](QTcpSocket &, int) {});
        refusing = ended.endpoint();
    }
    EXPECT_EQ(errorOf(refusing).kind, TargetError::Kind::NotConnected);
    EXPECT_TRUE(errorOf(refusing).isClosedByTarget);
}

} // namespace

} // namespace shallotproxy::platform
