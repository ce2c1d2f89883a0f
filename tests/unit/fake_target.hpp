#pragma once

#include <functional>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>

#include "qt_loop.hpp"

namespace shallotproxy::test {

/// A server on loopback. Calls the handler once for each request head that arrives, with the number
/// of the request; the handler writes the reply.
class FakeTarget
{
public:
    using Handler = std::function<void(QTcpSocket &socket, int requestNumber)>;

    explicit FakeTarget(Handler handler)
        : m_handler(std::move(handler))
    {
        ensureApplication();
        m_server.listen(QHostAddress::LocalHost);
        QObject::connect(&m_server, &QTcpServer::newConnection, &m_server, [this] { accept(); });
    }

    [[nodiscard]] auto endpoint() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(m_server.serverPort());
    }
    /// Returns the number of requests received over all connections.
    [[nodiscard]] auto requests() const -> int { return m_requests; }
    [[nodiscard]] auto connections() const -> int { return m_connections; }

private:
    auto accept() -> void
    {
        while (auto *socket = m_server.nextPendingConnection()) {
            ++m_connections;
            QObject::connect(socket, &QTcpSocket::readyRead, &m_server, [this, socket] {
                const auto bytes = socket->readAll();
                for (auto at = bytes.indexOf("HTTP/1.1\r\n"); at >= 0;
                     at = bytes.indexOf("HTTP/1.1\r\n", at + 1))
                    m_handler(*socket, ++m_requests);
            });
        }
    }

    QTcpServer m_server;
    Handler m_handler;
    int m_requests = 0;
    int m_connections = 0;
};

} // namespace shallotproxy::test
