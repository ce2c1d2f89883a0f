#include <algorithm>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <fmt/format.h>

#include "shallotproxy/connection/http/http_parser.hpp"
#include "shallotproxy/connection/http/http_server.hpp"
#include "shallotproxy/process/base/text.hpp"

namespace shallotproxy {

/// One client's connection. Holds one request at a time, so answers can't cross.
class HttpServerConnection : public QObject,
                             public std::enable_shared_from_this<HttpServerConnection>
{
public:
    HttpServerConnection(HttpServer &server, QTcpSocket *socket)
        : m_server(&server)
        , m_socket(socket)
        , m_parser(server.m_bounds)
    {
        // While a request is being worked on nothing is read, so the kernel's window and this
        // buffer bound what a client can leave with us.
        socket->setParent(this);
        socket->setReadBufferSize(ReadBufferBytes);
        socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        m_timer.setSingleShot(true);
        connect(socket, &QTcpSocket::readyRead, this, [this] { read(); });
        connect(socket, &QTcpSocket::disconnected, this, [this] { close(); });
        connect(&m_timer, &QTimer::timeout, this, [this] { close(); });
        m_timer.start(server.m_bounds.idleMilliseconds);
    }

    auto answer(const HttpResponse &response) -> void
    {
        if (!m_isBusy || !m_socket)
            return;
        m_isBusy = false;
        const auto isKept = m_isKeepAlive && m_server->m_isAccepting;
        m_socket->write(serializeResponse(response, isKept));
        if (!isKept) {
            m_socket->disconnectFromHost();
            return;
        }
        m_timer.start(m_server->m_bounds.idleMilliseconds);
        // Not called directly: the answer may have been given inside the handler.
        QMetaObject::invokeMethod(
            this, [this] { read(); }, Qt::QueuedConnection);
    }

    auto abandon() -> void
    {
        if (m_isBusy)
            close();
    }

    auto closeWhenIdle() -> void
    {
        if (!m_isBusy && m_socket && !m_parser.isMidRequest())
            m_socket->disconnectFromHost();
    }

    [[nodiscard]] auto isConnected() const -> bool
    {
        return m_socket && m_socket->state() == QAbstractSocket::ConnectedState;
    }

private:
    static constexpr qint64 ReadBufferBytes = qint64{64} * 1024;

    auto read() -> void
    {
        if (m_isBusy || !m_socket)
            return;
        m_parser.append(m_socket->readAll());
        auto parsed = m_parser.next();
        if (!parsed) {
            refuse(parsed.error());
            return;
        }
        if (!*parsed) {
            if (m_parser.takeExpectContinue())
                m_socket->write("HTTP/1.1 100 Continue\r\n\r\n");
            if (m_parser.isMidRequest() && !m_isMidRequest)
                m_timer.start(m_server->m_bounds.progressMilliseconds);
            m_isMidRequest = m_parser.isMidRequest();
            return;
        }
        m_isBusy = true;
        m_isMidRequest = false;
        m_timer.stop();
        m_isKeepAlive = (*parsed)->isKeepAlive;
        m_server->m_handler(std::move((*parsed)->request), HttpResponder(weak_from_this()));
    }

    auto refuse(const HttpError &ec) -> void
    {
        const auto body = fmt::format(R"({{"error":{},"name":"{}","outcome":"not-run"}})",
                                      ec.number(), ec.name());
        m_socket->write(serializeResponse(jsonResponse(ec.status(), body), false));
        m_isBusy = true;
        m_socket->disconnectFromHost();
    }

    auto close() -> void
    {
        if (!m_socket)
            return;
        m_socket->disconnect(this);
        m_socket->abort();
        m_socket->deleteLater();
        m_socket = nullptr;
        m_server->remove(this);
    }

    HttpServer *m_server;
    QTcpSocket *m_socket;
    HttpRequestParser m_parser;
    QTimer m_timer;
    bool m_isBusy = false;
    bool m_isMidRequest = false;
    bool m_isKeepAlive = true;
};

HttpResponder::HttpResponder(std::weak_ptr<HttpServerConnection> connection)
    : m_connection(std::move(connection))
{ }

HttpResponder::HttpResponder(HttpResponder &&other) noexcept = default;

auto HttpResponder::operator=(HttpResponder &&other) noexcept -> HttpResponder &
{
    std::swap(m_connection, other.m_connection);
    return *this;
}

HttpResponder::~HttpResponder()
{
    if (const auto connection = m_connection.lock())
        connection->abandon();
}

auto HttpResponder::answer(const HttpResponse &response) -> void
{
    if (const auto connection = m_connection.lock())
        connection->answer(response);
    m_connection.reset();
}

auto HttpResponder::isConnected() const -> bool
{
    const auto connection = m_connection.lock();
    return connection && connection->isConnected();
}

auto ListenError::name() const -> std::string_view
{
    return kind == Kind::AddressInUse ? "address-in-use" : "bad-address";
}

auto ListenError::message() const -> std::string
{
    return fmt::format("{}: {}: {}", name(), endpoint, detail);
}

HttpServer::HttpServer(HttpBounds bounds, Handler handler, QObject *parent)
    : QObject(parent)
    , m_bounds(bounds)
    , m_handler(std::move(handler))
    , m_server(new QTcpServer(this))
{
    connect(m_server, &QTcpServer::newConnection, this, [this] { acceptWaiting(); });
}

HttpServer::~HttpServer() = default;

auto HttpServer::listen(std::string_view endpoint) -> Expected<void, ListenError>
{
    const auto colon = endpoint.rfind(':');
    if (colon == std::string_view::npos) {
        return tl::unexpected(
            ListenError{ListenError::Kind::BadAddress, std::string(endpoint), "no ADDRESS:PORT"});
    }
    const auto address = QHostAddress(toQString(endpoint.substr(0, colon)));
    const auto port = toQString(endpoint.substr(colon + 1)).toUShort();
    if (m_server->listen(address, port))
        return {};
    const auto kind = m_server->serverError() == QAbstractSocket::AddressInUseError
        ? ListenError::Kind::AddressInUse
        : ListenError::Kind::BadAddress;
    return tl::unexpected(
        ListenError{kind, std::string(endpoint), m_server->errorString().toStdString()});
}

auto HttpServer::stopAccepting() -> void
{
    m_isAccepting = false;
    m_server->close();
    const auto connections = m_connections;
    for (const auto &it : connections)
        it->closeWhenIdle();
}

auto HttpServer::connectionCount() const -> std::size_t
{
    return m_connections.size();
}

auto HttpServer::port() const -> quint16
{
    return m_server->serverPort();
}

auto HttpServer::acceptWaiting() -> void
{
    while (auto *socket = m_server->nextPendingConnection()) {
        if (m_connections.size() >= m_bounds.connections) {
            socket->abort();
            socket->deleteLater();
            continue;
        }
        m_connections.push_back(std::make_shared<HttpServerConnection>(*this, socket));
    }
}

auto HttpServer::remove(HttpServerConnection *connection) -> void
{
    const auto it = std::ranges::find_if(
        m_connections, [connection](const auto &entry) { return entry.get() == connection; });
    if (it == m_connections.end())
        return;
    // Destroyed from the event loop: a member function of the connection is still running.
    auto kept = std::move(*it);
    m_connections.erase(it);
    QMetaObject::invokeMethod(
        this, [kept = std::move(kept)] {}, Qt::QueuedConnection);
}

} // namespace shallotproxy
