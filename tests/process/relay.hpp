#pragma once

#include <memory>
#include <string>

#include <QTcpServer>
#include <QTcpSocket>

namespace shallotproxy::test {

/// Forwards TCP bytes between a port of its own and another port on loopback. While it drops
/// traffic, connections stay open and carry nothing. Runs in the test's event loop.
class Relay
{
public:
    explicit Relay(quint16 serverPort)
        : m_serverPort(serverPort)
    {
        QObject::connect(&m_server, &QTcpServer::newConnection, &m_server,
                         [this] { acceptPending(); });
        m_server.listen(QHostAddress::LocalHost);
    }

    [[nodiscard]] auto port() const -> quint16 { return m_server.serverPort(); }
    auto setDropping(bool isDropping) -> void { m_isDropping = isDropping; }

private:
    auto acceptPending() -> void
    {
        while (auto *client = m_server.nextPendingConnection()) {
            auto *server = new QTcpSocket(client);
            server->connectToHost(QHostAddress::LocalHost, m_serverPort);
            forward(client, server);
            forward(server, client);
        }
    }

    auto forward(QTcpSocket *from, QTcpSocket *to) -> void
    {
        QObject::connect(from, &QTcpSocket::readyRead, to, [this, from, to] {
            const auto bytes = from->readAll();
            if (!m_isDropping)
                to->write(bytes);
        });
        QObject::connect(from, &QTcpSocket::disconnected, to, [to] { to->disconnectFromHost(); });
    }

    quint16 m_serverPort = 0;
    bool m_isDropping = false;
    QTcpServer m_server;
};

} // namespace shallotproxy::test
