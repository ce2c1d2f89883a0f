#include <random>

#include <QElapsedTimer>
#include <QHostAddress>
#include <QTcpSocket>

#include <gtest/gtest.h>

#include "fleet.hpp"

namespace shallotproxy::test {

namespace {

constexpr auto CloseTimeoutMilliseconds = 5'000;

auto connectToPeersEndpoint(QTcpSocket &socket, const Fleet &fleet) -> bool
{
    const auto endpoint = fleet.peersEndpoint(0);
    const auto port = std::stoi(endpoint.substr(endpoint.rfind(':') + 1));
    socket.connectToHost(QHostAddress::LocalHost, static_cast<quint16>(port));
    return socket.waitForConnected();
}

auto isClosed(const QTcpSocket &socket) -> bool
{
    return waitUntil([&socket] { return socket.state() == QAbstractSocket::UnconnectedState; },
                     CloseTimeoutMilliseconds);
}

TEST(ProcessPeers, CloseUnauthenticatedConnectionsAndKeepServing)
{
    auto fleet = Fleet({});
    const auto key = fleet.createKey("red");
    auto idleSocket = QTcpSocket();
    ASSERT_TRUE(connectToPeersEndpoint(idleSocket, fleet));
    const auto seed = std::random_device()();
    SCOPED_TRACE(seed);
    auto random = std::mt19937(seed);
    constexpr auto Connections = 20;
    constexpr auto MaxBytes = 5'000;
    for (auto i = 0; i < Connections; ++i) {
        auto socket = QTcpSocket();
        ASSERT_TRUE(connectToPeersEndpoint(socket, fleet));
        auto bytes = QByteArray(std::uniform_int_distribution<int>(1, MaxBytes)(random), '\0');
        for (auto &it : bytes)
            it = static_cast<char>(std::uniform_int_distribution<int>(0, 255)(random));
        socket.write(bytes);
        EXPECT_TRUE(isClosed(socket));
    }
    EXPECT_TRUE(isClosed(idleSocket));
    const auto reply = fleet.request(0, Fleet::queueRequest("orders", key, 1, "pane"));
    ASSERT_TRUE(reply.has_value());
    EXPECT_EQ(reply->header("Shallotproxy-Outcome"), "answered");
    EXPECT_TRUE(fleet.waitForVersion(2));
}

} // namespace

} // namespace shallotproxy::test
