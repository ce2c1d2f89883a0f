#pragma once

#include <memory>
#include <string>

#include <QTcpServer>
#include <QTcpSocket>

namespace shallotproxy::test {

/// Passes TCP bytes between a port of its own and another endpoint on loopback until it is
/// silenced: then connections stay open and carry nothing. Runs in the test's event loop.
class Relay
{
public:
    explicit Relay(quint16 targetPort)
        : m_targetPort(targetPort)
    {
        QObject::connect(&m_server, &QTcpServer::newConnection, &m_server,
                         [this] { acceptWaiting(); });
        m_server.listen(QHostAddress::LocalHost);
    }

    [[nodiscard]] auto port() const -> quint16 { return m_server.serverPort(); }
    auto setSilent(bool isSilent) -> void { m_isSilent = isSilent; }

private:
    auto acceptWaiting() -> void
    {
        while (auto *near = m_server.nextPendingConnection()) {
            auto *far = new QTcpSocket(near);
            far->connectToHost(QHostAddress::LocalHost, m_targetPort);
            pass(near, far);
            pass(far, near);
        }
    }

    auto pass(QTcpSocket *from, QTcpSocket *to) -> void
    {
        QObject::connect(from, &QTcpSocket::readyRead, to, [this, from, to] {
            const auto bytes = from->readAll();
            if (!m_isSilent)
                to->write(bytes);
        });
        QObject::connect(from, &QTcpSocket::disconnected, to, [to] { to->disconnectFromHost(); });
    }

    quint16 m_targetPort = 0;
    bool m_isSilent = false;
    QTcpServer m_server;
};

} // namespace shallotproxy::test
