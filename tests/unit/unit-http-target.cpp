#include <array>
#include <cerrno>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fake_target.hpp"
#include "shallotproxy/connection.hpp"

namespace shallotproxy::test {

namespace {

constexpr auto CompleteResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

auto shortTimeouts() -> HttpBounds
{
    auto bounds = HttpBounds();
    bounds.progressTimeoutMilliseconds = 100;
    bounds.connectTimeoutMilliseconds = 200;
    return bounds;
}

auto makeRequest() -> HttpRequest
{
    return {"POST", "/order", {{"Content-Type", "text/plain"}}, "test body"};
}

/// Sends one request and waits for its outcome; fails the test if the callback is called twice.
auto exchange(TargetConnection &connection, const HttpRequest &request, int timeout = 1'000)
    -> TargetReply
{
    auto result = std::optional<TargetReply>();
    auto calls = 0;
    connection.send(request, timeout, [&](TargetReply reply) {
        ++calls;
        result = std::move(reply);
    });
    runUntil([&] { return calls > 0; }, timeout + 2'000);
    runFor(20);
    EXPECT_EQ(calls, 1);
    return result.value_or(tl::unexpected(TargetError{TargetError::Kind::BadAnswer}));
}

auto writeAndClose(QTcpSocket &socket, const char *bytes) -> void
{
    socket.write(bytes);
    socket.flush();
    socket.disconnectFromHost();
}

/// A way in which a target fails after it has received the request, and the expected error.
struct Fault
{
    const char *name;
    std::function<void(QTcpSocket &)> act;
    TargetError::Kind kind;
};

class TargetFault : public testing::TestWithParam<Fault>
{ };

TEST_P(TargetFault, IsReportedWithUnknownOutcomeAndTheRequestIsSentOnce)
{
    auto target = FakeTarget([](QTcpSocket &socket, int) { GetParam().act(socket); });
    auto connection = TargetConnection(target.endpoint(), shortTimeouts());
    const auto reply = exchange(connection, makeRequest(), 400);
    ASSERT_FALSE(reply.has_value());
    EXPECT_EQ(reply.error().name(), TargetError{GetParam().kind}.name());
    EXPECT_FALSE(reply.error().isNotSent());
    EXPECT_FALSE(connection.isReusable());
    runFor(50);
    EXPECT_EQ(target.requests(), 1);
}

INSTANTIATE_TEST_SUITE_P(
    AfterReceiving, TargetFault,
    testing::Values(
        Fault{"Close", [](QTcpSocket &it) { it.disconnectFromHost(); },
              TargetError::Kind::ClosedUnanswered},
        Fault{"Reset", [](QTcpSocket &it) { it.abort(); }, TargetError::Kind::ClosedUnanswered},
        Fault{"PartialHead", [](QTcpSocket &it) { writeAndClose(it, "HTTP/1.1 200 O"); },
              TargetError::Kind::CutAnswer},
        Fault{"PartialBody",
              [](QTcpSocket &it) {
                  writeAndClose(it, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
              },
              TargetError::Kind::CutAnswer},
        Fault{"PartialChunks",
              [](QTcpSocket &it) {
                  writeAndClose(
                      it, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
              },
              TargetError::Kind::CutAnswer},
        Fault{"NoEnd", [](QTcpSocket &it) { writeAndClose(it, "HTTP/1.1 200 OK\r\n\r\nabc"); },
              TargetError::Kind::UnknownEnd},
        Fault{"TwoLengths",
              [](QTcpSocket &it) {
                  it.write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd");
              },
              TargetError::Kind::BadAnswer},
        Fault{"LengthAndChunks",
              [](QTcpSocket &it) {
                  it.write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
              },
              TargetError::Kind::BadAnswer},
        Fault{"NegativeLength",
              [](QTcpSocket &it) { it.write("HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabc"); },
              TargetError::Kind::BadAnswer},
        Fault{"NotHttp", [](QTcpSocket &it) { it.write("hello\r\n\r\n"); },
              TargetError::Kind::BadAnswer},
        Fault{"UnrequestedUpgrade",
              [](QTcpSocket &it) { it.write("HTTP/1.1 101 Switching Protocols\r\n\r\n"); },
              TargetError::Kind::BadAnswer},
        Fault{"NoResponse", [](QTcpSocket &) {}, TargetError::Kind::TimedOut},
        Fault{"NoResponseAfterInterim",
              [](QTcpSocket &it) { it.write("HTTP/1.1 102 Processing\r\n\r\n"); },
              TargetError::Kind::TimedOut},
        Fault{"StalledBody",
              [](QTcpSocket &it) { it.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"); },
              TargetError::Kind::TimedOut}),
    [](const auto &it) { return std::string(it.param.name); });

TEST(TargetConnection, SkipsInterimResponsesAndReturnsTheFinalOne)
{
    auto target = FakeTarget([](QTcpSocket &socket, int) {
        socket.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
        socket.write(CompleteResponse);
    });
    auto connection = TargetConnection(target.endpoint(), shortTimeouts());
    const auto reply = exchange(connection, makeRequest());
    ASSERT_TRUE(reply.has_value());
    EXPECT_EQ(reply->status, 200U);
    EXPECT_EQ(reply->body, "whole");
}

TEST(TargetConnection, DoesNotParseExcessBytesAsTheNextResponse)
{
    auto target = FakeTarget([](QTcpSocket &socket, int) {
        socket.write(CompleteResponse);
        socket.write("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\ncrossed");
    });
    auto connection = TargetConnection(target.endpoint(), shortTimeouts());
    const auto reply = exchange(connection, makeRequest());
    ASSERT_TRUE(reply.has_value());
    EXPECT_EQ(reply->body, "whole");
    EXPECT_FALSE(connection.isReusable());
}

TEST(TargetConnection, IsNotReusedAfterUnexpectedBytes)
{
    auto *targetSocket = static_cast<QTcpSocket *>(nullptr);
    auto target = FakeTarget([&targetSocket](QTcpSocket &socket, int) {
        targetSocket = &socket;
        socket.write(CompleteResponse);
    });
    auto connection = TargetConnection(target.endpoint(), shortTimeouts());
    ASSERT_TRUE(exchange(connection, makeRequest()).has_value());
    EXPECT_TRUE(connection.isReusable());
    targetSocket->write("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\ncrossed");
    EXPECT_TRUE(runUntil([&connection] { return !connection.isReusable(); }));
}

TEST(TargetConnection, ReturnsTheResponseToHeadWithoutABody)
{
    auto target = FakeTarget([](QTcpSocket &socket, int) {
        socket.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
    });
    auto connection = TargetConnection(target.endpoint(), shortTimeouts());
    const auto reply = exchange(connection, {"HEAD", "/", {}, ""});
    ASSERT_TRUE(reply.has_value());
    EXPECT_EQ(reply->body, "");
}

TEST(TargetConnection, ReportsNotSentIfNoConnectionWasEstablished)
{
    auto port = quint16{0};
    {
        ensureApplication();
        auto closed = QTcpServer();
        closed.listen(QHostAddress::LocalHost);
        port = closed.serverPort();
    }
    auto connection = TargetConnection("127.0.0.1:" + std::to_string(port), shortTimeouts());
    const auto reply = exchange(connection, makeRequest());
    ASSERT_FALSE(reply.has_value());
    EXPECT_TRUE(reply.error().isNotSent());
}

TEST(TargetConnection, WithholdsARequestThatTheGuardRejectsOnceConnected)
{
    auto target = FakeTarget([](QTcpSocket &socket, int) { socket.write(CompleteResponse); });
    auto connection = TargetConnection(target.endpoint(), shortTimeouts());
    auto result = std::optional<TargetReply>();
    connection.send(
        makeRequest(), 1'000, [&result](TargetReply reply) { result = std::move(reply); },
        [] { return false; });
    ASSERT_TRUE(runUntil([&result] { return result.has_value(); }));
    ASSERT_FALSE(result->has_value());
    EXPECT_TRUE(result->error().isNotSent());
    runFor(50);
    EXPECT_EQ(target.requests(), 0);
}

TEST(TargetConnection, DoesNotCallBackWhenDestroyedDuringARequest)
{
    auto target = FakeTarget([](QTcpSocket & /*socket*/, int) {});
    auto connection = std::make_unique<TargetConnection>(target.endpoint(), shortTimeouts());
    auto calls = 0;
    connection->send(makeRequest(), 1'000, [&calls](const TargetReply & /*reply*/) { ++calls; });
    runUntil([&target] { return target.requests() == 1; }, 1'000);
    connection.reset();
    runFor(20);
    EXPECT_EQ(calls, 0);
}

// Answers late in the time that the caller grants were lost to a timer that fired early.
TEST(TargetConnection, DoesNotTimeOutEarly)
{
    constexpr auto TimeoutMilliseconds = 4'000;
    constexpr auto ToleranceMilliseconds = 5;
    constexpr auto OffsetMilliseconds = 70;
    constexpr auto Connections = 8;
    auto target = FakeTarget([](QTcpSocket & /*socket*/, int) {});
    auto connections = std::vector<std::unique_ptr<TargetConnection>>();
    auto waited = std::vector<std::int64_t>();
    for (auto n = 0; n < Connections; ++n) {
        connections.push_back(std::make_unique<TargetConnection>(target.endpoint(), HttpBounds()));
        const auto sentAt = std::chrono::steady_clock::now();
        connections.back()->send(makeRequest(), TimeoutMilliseconds, [&waited, sentAt](auto) {
            const auto time = std::chrono::steady_clock::now() - sentAt;
            waited.push_back(std::chrono::ceil<std::chrono::milliseconds>(time).count());
        });
        runFor(OffsetMilliseconds);
    }
    runUntil([&waited] { return waited.size() == Connections; }, 2 * TimeoutMilliseconds);
    ASSERT_EQ(waited.size(), std::size_t{Connections});
    for (const auto it : waited)
        EXPECT_GE(it, TimeoutMilliseconds - ToleranceMilliseconds);
}

/// Accepts connections on loopback and reads nothing until it is told to.
class UnreadTarget
{
public:
    UnreadTarget()
    {
        ensureApplication();
        auto address = sockaddr_in{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto length = socklen_t{sizeof(address)};
        auto *generic = reinterpret_cast<sockaddr *>(&address);
        EXPECT_EQ(bind(m_listener, generic, length), 0);
        EXPECT_EQ(listen(m_listener, 1), 0);
        EXPECT_EQ(getsockname(m_listener, generic, &length), 0);
        m_port = ntohs(address.sin_port);
    }
    ~UnreadTarget() { close(m_listener); }
    UnreadTarget(const UnreadTarget &) = delete;
    auto operator=(const UnreadTarget &) -> UnreadTarget & = delete;

    [[nodiscard]] auto endpoint() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }
    /// Reads the first connection to its end and returns the error that ended it; 0 if the sender
    /// closed it after all bytes.
    [[nodiscard]] auto readToEnd() const -> int
    {
        const auto connection = accept(m_listener, nullptr, nullptr);
        auto buf = std::array<char, 65'536>();
        auto n = ssize_t{0};
        do {
            n = recv(connection, buf.data(), buf.size(), 0);
        } while (n > 0);
        const auto ec = n < 0 ? errno : 0;
        close(connection);
        return ec;
    }

private:
    int m_listener = socket(AF_INET, SOCK_STREAM, 0);
    std::uint16_t m_port = 0;
};

// The bytes of a request that was given up stayed in the kernel behind a partition: an order
// reached its receiver two seconds after the sender's successor had given one.
TEST(TargetConnection, DeliversNothingMoreOfARequestThatHasTimedOut)
{
    const auto target = UnreadTarget();
    auto connection = TargetConnection(target.endpoint(), shortTimeouts());
    auto request = makeRequest();
    request.body.assign(1'000'000, 'x');
    const auto reply = exchange(connection, request, 300);
    ASSERT_FALSE(reply.has_value());
    EXPECT_EQ(reply.error().name(), TargetError{TargetError::Kind::TimedOut}.name());
    EXPECT_EQ(target.readToEnd(), ECONNRESET);
}

TEST(TargetConnection, WaitsBeyondTheProgressTimeoutForAResponseThatHasNotStarted)
{
    auto target = FakeTarget([](QTcpSocket &socket, int) {
        QTimer::singleShot(400, &socket, [&socket] { socket.write(CompleteResponse); });
    });
    auto connection = TargetConnection(target.endpoint(), shortTimeouts());
    EXPECT_TRUE(exchange(connection, makeRequest()).has_value());
}

RC_GTEST_PROP(TargetConnection, ReturnsACompleteResponseHoweverItIsSplit, ())
{
    const auto body = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    const auto isChunked = *rc::gen::arbitrary<bool>();
    auto bytes = QByteArray("HTTP/1.1 200 OK\r\n");
    if (isChunked && !body.empty()) {
        bytes += "Transfer-Encoding: chunked\r\n\r\n" + QByteArray::number(qint64(body.size()), 16)
            + "\r\n" + QByteArray::fromStdString(body) + "\r\n0\r\n\r\n";
    } else {
        bytes += "Content-Length: " + QByteArray::number(qint64(body.size())) + "\r\n\r\n"
            + QByteArray::fromStdString(body);
    }
    auto parser = HttpResponseParser({});
    auto parsedResponse = std::optional<HttpResponseParser::Parsed>();
    while (!bytes.isEmpty()) {
        RC_ASSERT(!parsedResponse.has_value());
        const auto n = *rc::gen::inRange<qsizetype>(1, bytes.size() + 1);
        parser.append(bytes.first(n));
        bytes.remove(0, n);
        auto parsed = parser.next();
        RC_ASSERT(parsed.has_value());
        parsedResponse = std::move(*parsed);
    }
    RC_ASSERT(parsedResponse.has_value());
    RC_ASSERT(parsedResponse->response.body == body);
    RC_ASSERT(!parsedResponse->hasBytesLeft);
}

RC_GTEST_PROP(HttpResponseParser, NeverReturnsATruncatedResponse, (std::uint8_t length))
{
    const auto size = static_cast<qsizetype>(length) + 1;
    const auto bytes = "HTTP/1.1 200 OK\r\nContent-Length: " + QByteArray::number(size) + "\r\n\r\n"
        + QByteArray(size, 'x');
    const auto truncatedSize = *rc::gen::inRange<qsizetype>(0, bytes.size());
    auto parser = HttpResponseParser({});
    parser.append(bytes.first(truncatedSize));
    const auto parsed = parser.next();
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(!parsed->has_value());
}

} // namespace

} // namespace shallotproxy::test
