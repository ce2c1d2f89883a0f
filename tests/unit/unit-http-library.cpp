#include <gtest/gtest.h>

#include <QHttpServer>
#include <QHttpServerResponder>
#include <QNetworkAccessManager>
#include <QNetworkReply>

#include "fake_target.hpp"
#include "shallotproxy/connection.hpp"

// What Qt's HTTP classes do on input that callers and targets bring about, and what ours do on the
// same input. If a later Qt makes one of the first tests fail, the choice may be looked at again.

namespace shallotproxy::test {

namespace {

using namespace Qt::StringLiterals;

constexpr auto Pipelined =
    "GET /slow HTTP/1.1\r\nHost: x\r\n\r\nGET /fast HTTP/1.1\r\nHost: x\r\n\r\n";
constexpr auto SlowMilliseconds = 100;

/// Writes both requests at once and returns what has come when both answers have.
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

TEST(QHttpServer, CrossesTheAnswersOfPipelinedRequests)
{
    ensureApplication();
    auto server = QHttpServer();
    auto held = std::vector<std::unique_ptr<QHttpServerResponder>>();
    server.route(u"/slow"_s, [&held](QHttpServerResponder &&responder) {
        held.push_back(std::make_unique<QHttpServerResponder>(std::move(responder)));
        QTimer::singleShot(SlowMilliseconds,
                           [&held] { held.back()->write("slow-answer", "text/plain"); });
    });
    server.route(u"/fast"_s, [](QHttpServerResponder &&responder) {
        responder.write("fast-answer", "text/plain");
    });
    const auto received = exchangePipelined(server.listen(QHostAddress::LocalHost));
    ASSERT_TRUE(received.contains("slow-answer"));
    EXPECT_LT(received.indexOf("fast-answer"), received.indexOf("slow-answer"));
}

TEST(OurHttpServer, KeepsTheAnswersOfPipelinedRequestsInOrder)
{
    ensureApplication();
    auto held = std::make_shared<HttpResponder>();
    auto server = HttpServer({}, [&held](const HttpRequest &request, HttpResponder responder) {
        if (request.path == "/fast") {
            responder.answer({200, {}, "fast-answer"});
            return;
        }
        *held = std::move(responder);
        QTimer::singleShot(SlowMilliseconds, [&held] { held->answer({200, {}, "slow-answer"}); });
    });
    ASSERT_TRUE(server.listen("127.0.0.1:0").has_value());
    const auto received = exchangePipelined(server.port());
    ASSERT_TRUE(received.contains("fast-answer"));
    EXPECT_LT(received.indexOf("slow-answer"), received.indexOf("fast-answer"));
}

/// Answers the first request and keeps the connection, then closes after each one it receives.
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
    auto *reply = manager.post(request, "one pane");
    runUntil([reply] { return reply->isFinished(); });
    reply->deleteLater();
    return reply->error();
}

TEST(QNetworkAccessManager, SendsARequestAgainThatTheTargetHasReceived)
{
    auto target = FakeTarget(closeAfterFirst);
    auto manager = QNetworkAccessManager();
    EXPECT_EQ(post(manager, target.endpoint()), QNetworkReply::NoError);
    post(manager, target.endpoint());
    runFor(100);
    EXPECT_GE(target.requests(), 3) << "one answered, one repeated";
}

TEST(QNetworkAccessManager, TakesACutAnswerForAWholeOne)
{
    auto target = FakeTarget([](QTcpSocket &socket, int) {
        socket.write("HTTP/1.1 200 OK\r\n\r\npartial");
        socket.flush();
        QTimer::singleShot(20, &socket, [&socket] { socket.abort(); });
    });
    auto manager = QNetworkAccessManager();
    EXPECT_EQ(post(manager, target.endpoint()), QNetworkReply::NoError);
}

TEST(OurTargetConnection, SendsARequestOnceThatTheTargetHasReceived)
{
    auto target = FakeTarget(closeAfterFirst);
    auto connection = TargetConnection(target.endpoint(), {});
    auto outcomes = std::vector<bool>();
    const auto send = [&] {
        const auto before = outcomes.size();
        connection.send(
            {"POST", "/", {}, "one pane"}, 1'000,
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
