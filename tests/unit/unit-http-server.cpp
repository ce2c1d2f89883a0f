#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <QHostAddress>
#include <QTcpSocket>

#include "qt_loop.hpp"
#include "shallotproxy/connection.hpp"

namespace shallotproxy::test {

namespace {

/// A server on loopback that keeps every request until the test answers it, or echoes the path.
class DeferredServer
{
public:
    explicit DeferredServer(HttpBounds bounds = {}, bool isEcho = false)
        : server(bounds, [this, isEcho](const HttpRequest &request, HttpResponder responder) {
            requests.push_back(request);
            if (isEcho) {
                responder.answer({200, {}, request.path});
            } else {
                responders.push_back(std::move(responder));
            }
        })
    {
        ensureApplication();
        EXPECT_TRUE(server.listen("127.0.0.1:0").has_value());
    }

    std::vector<HttpRequest> requests;
    std::vector<HttpResponder> responders;
    HttpServer server;
};

/// A client that writes raw bytes and collects the received bytes.
class RawClient
{
public:
    explicit RawClient(const HttpServer &server)
    {
        QObject::connect(&m_socket, &QTcpSocket::readyRead, &m_socket,
                         [this] { received += m_socket.readAll(); });
        m_socket.connectToHost(QHostAddress(QHostAddress::LocalHost), server.port());
        runUntil([this] { return m_socket.state() == QAbstractSocket::ConnectedState; });
    }

    auto write(const QByteArray &bytes) -> void
    {
        m_socket.write(bytes);
        m_socket.flush();
    }
    auto abort() -> void { m_socket.abort(); }
    auto waitFor(const char *text, int timeout = 3'000) -> bool
    {
        return runUntil([this, text] { return received.contains(text); }, timeout);
    }
    auto waitForClose(int timeout = 3'000) -> bool
    {
        return runUntil([this] { return m_socket.state() == QAbstractSocket::UnconnectedState; },
                        timeout);
    }

    QByteArray received;

private:
    QTcpSocket m_socket;
};

TEST(HttpServer, AnswersPipelinedRequestsInOrder)
{
    auto deferred = DeferredServer();
    auto client = RawClient(deferred.server);
    client.write("GET /first HTTP/1.1\r\nHost: x\r\n\r\nGET /second HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(runUntil([&deferred] { return deferred.requests.size() == 1; }));
    runFor(50);
    EXPECT_EQ(deferred.requests.size(), 1U)
        << "the second request waits for the response to the first";
    deferred.responders[0].answer({200, {}, "answer-1"});
    ASSERT_TRUE(runUntil([&deferred] { return deferred.requests.size() == 2; }));
    deferred.responders[1].answer({200, {}, "answer-2"});
    ASSERT_TRUE(client.waitFor("answer-2"));
    EXPECT_LT(client.received.indexOf("answer-1"), client.received.indexOf("answer-2"));
}

TEST(HttpServer, ReportsADisconnectedClientOnceAndIgnoresALateResponse)
{
    auto deferred = DeferredServer();
    auto disconnects = 0;
    {
        auto client = RawClient(deferred.server);
        client.write("GET /x HTTP/1.1\r\nHost: x\r\n\r\n");
        ASSERT_TRUE(runUntil([&deferred] { return deferred.requests.size() == 1; }));
        deferred.responders[0].onClientDisconnected([&disconnects] { ++disconnects; });
        client.abort();
    }
    EXPECT_TRUE(runUntil([&disconnects] { return disconnects == 1; }));
    deferred.responders[0].answer({200, {}, "late"});
    runFor(20);
    EXPECT_EQ(disconnects, 1);
    EXPECT_EQ(deferred.server.connectionCount(), 0U);
}

TEST(HttpServer, AnswersExpectContinueAndThenTheRequest)
{
    auto deferred = DeferredServer({}, true);
    auto client = RawClient(deferred.server);
    client.write("POST /e HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
                 "Expect: 100-continue\r\n\r\n");
    ASSERT_TRUE(client.waitFor("100 Continue"));
    client.write("abc");
    ASSERT_TRUE(client.waitFor("200 OK"));
    EXPECT_EQ(deferred.requests.at(0).body, "abc");
}

TEST(HttpServer, ClosesAConnectionWhoseRequestStalls)
{
    auto bounds = HttpBounds();
    bounds.progressTimeoutMilliseconds = 100;
    auto deferred = DeferredServer(bounds);
    auto client = RawClient(deferred.server);
    client.write("POST /h HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc");
    EXPECT_TRUE(client.waitForClose());
    EXPECT_TRUE(deferred.requests.empty());
}

TEST(HttpServer, ServesAnHttp10RequestAndClosesTheConnection)
{
    auto deferred = DeferredServer({}, true);
    auto client = RawClient(deferred.server);
    client.write("GET /old HTTP/1.0\r\n\r\n");
    EXPECT_TRUE(client.waitFor("200 OK"));
    EXPECT_TRUE(client.waitForClose());
}

/// A request that must be rejected with a 4xx status and never reach the handler.
struct BadInput
{
    const char *name;
    QByteArray bytes;
    const char *answer;
};

class BadRequest : public testing::TestWithParam<BadInput>
{ };

TEST_P(BadRequest, ReceivesItsStatusAndAClosedConnection)
{
    auto bounds = HttpBounds();
    bounds.bodyBytes = 100'000;
    auto deferred = DeferredServer(bounds, true);
    auto client = RawClient(deferred.server);
    client.write(GetParam().bytes);
    EXPECT_TRUE(client.waitFor(GetParam().answer)) << client.received.toStdString();
    EXPECT_TRUE(client.received.contains("\"outcome\":\"not-run\""));
    EXPECT_TRUE(client.waitForClose());
    EXPECT_TRUE(deferred.requests.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Refused, BadRequest,
    testing::Values(
        BadInput{"NoHttp", "hello there\r\n\r\n", "HTTP/1.1 400"},
        BadInput{"NegativeLength", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n",
                 "HTTP/1.1 400"},
        BadInput{"TwoLengths",
                 "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
                 "HTTP/1.1 400"},
        BadInput{"SameLengthTwice",
                 "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab",
                 "HTTP/1.1 400"},
        BadInput{"LengthAndChunks",
                 "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                 "HTTP/1.1 400"},
        BadInput{"BadChunk",
                 "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
                 "HTTP/1.1 400"},
        BadInput{"LongHeader",
                 "GET / HTTP/1.1\r\nHost: x\r\nA: " + QByteArray(20'000, 'a') + "\r\n\r\n",
                 "HTTP/1.1 431"},
        BadInput{"LongBodyDeclared",
                 "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2000000000\r\n\r\nabc",
                 "HTTP/1.1 413"},
        BadInput{"LongBodySent",
                 "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n30d40\r\n"
                     + QByteArray(200'000, 'a') + "\r\n0\r\n\r\n",
                 "HTTP/1.1 413"}),
    [](const auto &it) { return std::string(it.param.name); });

TEST(HttpServer, ChecksARequestByItsHeadBeforeTheBodyIsRead)
{
    auto deferred = DeferredServer({}, true);
    deferred.server.setHeadCheck([](const HttpRequest &head) {
        return head.header("Authorization").empty()
            ? std::optional(HttpResponse{401, {}, "unauthorized"})
            : std::nullopt;
    });
    auto unauthorized = RawClient(deferred.server);
    unauthorized.write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 900000\r\n\r\nabc");
    EXPECT_TRUE(unauthorized.waitFor("HTTP/1.1 401"));
    EXPECT_TRUE(unauthorized.waitForClose());
    EXPECT_TRUE(deferred.requests.empty());
    auto authorized = RawClient(deferred.server);
    authorized.write(
        "POST / HTTP/1.1\r\nHost: x\r\nAuthorization: k\r\nContent-Length: 6\r\n\r\nabc");
    authorized.write("def");
    EXPECT_TRUE(authorized.waitFor("200 OK"));
}

TEST(HttpServer, LimitsTheBytesOfAllIncompleteRequests)
{
    auto bounds = HttpBounds();
    bounds.totalBytes = 300'000;
    auto deferred = DeferredServer(bounds, true);
    auto clients = std::vector<std::unique_ptr<RawClient>>();
    const auto part =
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 900000\r\n\r\n" + QByteArray(100'000, 'a');
    for (auto i = 0; i < 5; ++i) {
        clients.push_back(std::make_unique<RawClient>(deferred.server));
        clients.back()->write(part);
    }
    EXPECT_TRUE(runUntil([&clients] {
        return std::ranges::count_if(
                   clients, [](const auto &it) { return it->received.contains("HTTP/1.1 503"); })
            >= 2;
    }));
    // The bytes buffered for the rejected requests no longer count.
    clients.clear();
    runFor(50);
    auto client = RawClient(deferred.server);
    client.write("GET /after HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_TRUE(client.waitFor("200 OK"));
}

TEST(HttpServer, ClosesAnIdleConnectionForANewClientAtTheConnectionLimit)
{
    auto bounds = HttpBounds();
    bounds.connections = 4;
    auto deferred = DeferredServer(bounds, true);
    auto idleClients = std::vector<std::unique_ptr<RawClient>>();
    for (auto i = 0; i < 4; ++i)
        idleClients.push_back(std::make_unique<RawClient>(deferred.server));
    ASSERT_TRUE(runUntil([&deferred] { return deferred.server.connectionCount() == 4; }));
    auto client = RawClient(deferred.server);
    client.write("GET /in HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_TRUE(client.waitFor("200 OK"));
    EXPECT_LE(deferred.server.connectionCount(), 4U);
}

TEST(HttpServer, LimitsTheRequestRateOfAConnection)
{
    auto bounds = HttpBounds();
    bounds.requestsPerSecond = 10;
    auto deferred = DeferredServer(bounds, true);
    auto client = RawClient(deferred.server);
    for (auto i = 0; i < 25; ++i)
        client.write("GET /r HTTP/1.1\r\nHost: x\r\n\r\n");
    runFor(400);
    EXPECT_LE(deferred.requests.size(), 10U);
    EXPECT_TRUE(runUntil([&deferred] { return deferred.requests.size() == 25; }, 4'000));
}

TEST(HttpServer, SendsALongResponseCompletelyBeforeItClosesTheConnection)
{
    auto deferred = DeferredServer();
    auto client = RawClient(deferred.server);
    client.write("GET /long HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    ASSERT_TRUE(runUntil([&deferred] { return deferred.requests.size() == 1; }));
    deferred.responders[0].answer({200, {}, std::string(8'000'000, 'l') + "end"});
    EXPECT_TRUE(client.waitFor("end"));
    EXPECT_TRUE(client.waitForClose());
    EXPECT_GT(client.received.size(), 8'000'000);
}

TEST(HttpServer, AcceptsNewConnectionsAndClosesEachAfterItsResponseWhenItDrains)
{
    auto deferred = DeferredServer({}, true);
    auto idle = RawClient(deferred.server);
    runFor(20);
    deferred.server.closeAfterAnswers();
    runFor(50);
    idle.write("GET /idle HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_TRUE(idle.waitFor("Connection: close"));
    EXPECT_TRUE(idle.waitForClose());
    auto fresh = RawClient(deferred.server);
    fresh.write("GET /fresh HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_TRUE(fresh.waitFor("Connection: close"));
}

RC_GTEST_PROP(HttpRequestParser, NeverCrashesOrBuffersMoreThanItReceives,
              (const std::string &bytes))
{
    auto bounds = HttpBounds();
    bounds.headerBytes = 64;
    bounds.bodyBytes = 64;
    auto parser = HttpRequestParser(bounds);
    parser.append(QByteArray::fromStdString(bytes));
    const auto parsed = parser.next();
    RC_ASSERT(!parsed.has_value() || parser.bufferedBytes() <= bytes.size());
}

/// Returns a valid request with some bytes changed, inserted or removed.
auto mutatedRequest() -> QByteArray
{
    auto bytes = QByteArray("POST /queues/orders/x?y=1 HTTP/1.1\r\nHost: a\r\n"
                            "Authorization: Bearer a.b\r\nIdempotency-Key: k\r\n"
                            "Content-Length: 4\r\nX: y\r\n\r\nbody");
    const auto changes = *rc::gen::inRange(0, 6);
    for (auto i = 0; i < changes; ++i) {
        const auto at = *rc::gen::inRange<qsizetype>(0, bytes.size());
        const auto byte = *rc::gen::arbitrary<char>();
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            bytes[at] = byte;
            break;
        case 1:
            bytes.insert(at, byte);
            break;
        default:
            bytes.remove(at, 1);
        }
    }
    return bytes;
}

// A caller that ends its lines with a line feed alone is refused at once, not after a timeout.
TEST(HttpRequestParser, RejectsABareLineFeedBeforeTheEndOfTheHead)
{
    auto parser = HttpRequestParser({});
    parser.append("GET / HTTP/1.1\r\n");
    EXPECT_TRUE(parser.next().has_value());
    parser.append("Host: a\n");
    EXPECT_FALSE(parser.next().has_value());
}

RC_GTEST_PROP(HttpRequestParser, ParsesTheSameRequestsHoweverTheBytesAreSplit, ())
{
    const auto bytes = mutatedRequest() + mutatedRequest();
    const auto parse = [](const std::vector<QByteArray> &parts) {
        auto parser = HttpRequestParser({});
        auto seen = std::vector<std::string>();
        for (const auto &part : parts) {
            parser.append(part);
            while (true) {
                auto parsed = parser.next();
                if (!parsed) {
                    seen.emplace_back("error");
                    return seen;
                }
                if (!*parsed)
                    break;
                seen.push_back((*parsed)->request.path + (*parsed)->request.body);
            }
        }
        return seen;
    };
    const auto split = *rc::gen::inRange<qsizetype>(0, bytes.size());
    RC_ASSERT(parse({bytes}) == parse({bytes.first(split), bytes.mid(split)}));
}

TEST(HttpServer, ServesAClientWhileAnotherSendsMutatedRequests)
{
    auto bounds = HttpBounds();
    bounds.progressTimeoutMilliseconds = 20;
    auto deferred = DeferredServer(bounds, true);
    auto client = RawClient(deferred.server);
    auto requestNumber = 0;
    EXPECT_TRUE(rc::check("mutated requests never affect the responses to another client", [&] {
        {
            auto mutatingClient = RawClient(deferred.server);
            mutatingClient.write(mutatedRequest());
            mutatingClient.write(QByteArray::fromStdString(*rc::gen::arbitrary<std::string>()));
            runFor(1);
        }
        client.received.clear();
        const auto path = "/own" + QByteArray::number(++requestNumber);
        client.write("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
        RC_ASSERT(client.waitFor("\r\n\r\n"));
        RC_ASSERT(client.received.endsWith(path));
    }));
    EXPECT_TRUE(runUntil([&deferred] { return deferred.server.connectionCount() <= 1; }, 5'000));
}

TEST(HttpHeaders, NamedByTheConnectionHeaderAreDropped)
{
    auto headers = std::vector<HttpHeader>{
        {"Connection", "close, X-Own"}, {"x-own", "1"}, {"Kept", "2"}, {"TE", "trailers"}};
    dropHopByHop(headers);
    ASSERT_EQ(headers.size(), 1U);
    EXPECT_EQ(headers[0].name, "Kept");
}

} // namespace

} // namespace shallotproxy::test
