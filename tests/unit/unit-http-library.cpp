#include <gtest/gtest.h>

#include <QHttpServer>
#include <QHttpServerResponder>
#include <QNetworkAccessManager>
#include <QNetworkReply>

#include "fake_target.hpp"
#include "shallotproxy/connection.hpp"

// Shows why HttpServer and TargetConnection are used instead of the HTTP classes of Qt: the tests
// of the Qt classes document faults on input that callers and targets can cause, and the other
// tests check the same input on the replacements. If a test of a Qt class fails with a later Qt,
// the fault is gone and the choice can be reconsidered.

namespace shallotproxy::test {

namespace {

using namespace Qt::StringLiterals;

constexpr auto Pipelined =
    "GET /slow HTTP/1.1\r\nHost: x\r\n\r\nGET /fast HTTP/1.1\r\nHost: x\r\n\r\n";
constexpr auto SlowMilliseconds = 100;

/// Writes both requests at once and returns the received bytes once both responses have arrived.
auto exchangePipelined(quint16 port) -> QByteArray
{
    auto socket = QTcpSocket();
    auto received = QByteArray();
    QObject::connect(&socket, &QTcpSocket::readyRead, &socket,
                     [&] { received += socket.readAll(); });
    socket.connectToHost(QHostAddress(QHostAddress::LocalHost), port);
    runUntil([&socket] { return socket.state() == QAbstractSocket::ConnectedState; });
    socket.write(Pipelined);
    runUntil([&received] {
        return received.contains("slow-answer") && received.contains("fast-answer");
    });
    return received;
}

TEST(QHttpServer, SwapsTheResponsesOfPipelinedRequests)
{
    ensureApplication();
    auto server = QHttpServer();
    auto pending = std::vector<std::unique_ptr<QHttpServerResponder>>();
    server.route(u"/slow"_s, [&pending](QHttpServerResponder &&responder) {
        pending.push_back(std::make_unique<QHttpServerResponder>(std::move(responder)));
        QTimer::singleShot(SlowMilliseconds,
                           [&pending] { pending.back()->write("slow-answer", "text/plain"); });
    });
    server.route(u"/fast"_s, [](QHttpServerResponder &&responder) {
        responder.write("fast-answer", "text/plain");
    });
    const auto received = exchangePipelined(server.listen(QHostAddress::LocalHost));
    ASSERT_TRUE(received.contains("slow-answer"));
    EXPECT_LT(received.indexOf("fast-answer"), received.indexOf("slow-answer"));
}

TEST(HttpServerComparedToQt, KeepsTheResponsesOfPipelinedRequestsInOrder)
{
    ensureApplication();
    auto pending = std::make_shared<HttpResponder>();
    auto server = HttpServer({}, [&pending](const HttpRequest &request, HttpResponder responder) {
        if (request.path == "/fast") {
            responder.answer({200, {}, "fast-answer"});
            return;
        }
        *pending = std::move(responder);
        QTimer::singleShot(SlowMilliseconds, [&pending] {
            pending->answer({200, {}, "slow-answer"});
        });
    });
    ASSERT_TRUE(server.listen("127.0.0.1:0").has_value());
    const auto received = exchangePipelined(server.port());
    ASSERT_TRUE(received.contains("fast-answer"));
    EXPECT_LT(received.indexOf("slow-answer"), received.indexOf("fast-answer"));
}

/// Answers the first request and keeps the connection open; closes it after each further request.
auto closeAfterFirst(QTcpSocket &socket, int number) -> void
{
    if (number == 1) {
        socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    } else {
        socket.disconnectFromHost();
    }
}

auto post(QNetworkAccessManager &manager, const std::string &endpoint)
    -> QNetworkReply::NetworkError
{
    auto request = QNetworkRequest(QUrl(u"http://"_s + QString::fromStdString(endpoint)));
    request.setHeader(QNetworkRequest::ContentTypeHeader, u"text/plain"_s);
    auto *reply = manager.post(request, "test body");
    runUntil([reply] { return reply->isFinished(); });
    reply->deleteLater();
    return reply->error();
}

TEST(QNetworkAccessManager, ResendsARequestThatTheTargetHasReceived)
{
    auto target = FakeTarget(closeAfterFirst);
    auto manager = QNetworkAccessManager();
    EXPECT_EQ(post(manager, target.endpoint()), QNetworkReply::NoError);
    post(manager, target.endpoint());
    runFor(100);
    EXPECT_GE(target.requests(), 3) << "the first request is answered, the second is sent again";
}

TEST(QNetworkAccessManager, AcceptsATruncatedResponse)
{
    auto target = FakeTarget([](QTcpSocket &socket, int) {
        socket.write("HTTP/1.1 200 OK\r\n\r\npartial");
        socket.flush();
        QTimer::singleShot(20, &socket, [&socket] { socket.abort(); });
    });
    auto manager = QNetworkAccessManager();
    EXPECT_EQ(post(manager, target.endpoint()), QNetworkReply::NoError);
}

TEST(TargetConnectionComparedToQt, DoesNotResendARequestThatTheTargetHasReceived)
{
    auto target = FakeTarget(closeAfterFirst);
    auto connection = TargetConnection(target.endpoint(), {});
    auto outcomes = std::vector<bool>();
    const auto send = [&] {
        const auto before = outcomes.size();
        connection.send(
            {"POST", "/", {}, "test body"}, 1'000,
            [&outcomes](const TargetReply &reply) { outcomes.push_back(reply.has_value()); });
        runUntil([&outcomes, before] { return outcomes.size() > before; });
    };
    send();
    send();
    runFor(100);
    EXPECT_EQ(outcomes, (std::vector<bool>{true, false}));
    EXPECT_EQ(target.requests(), 2);
}

} // namespace

} // namespace shallotproxy::test
