#include <algorithm>
#include <chrono>
#include <utility>

#include <sys/socket.h>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <fmt/format.h>

#include "shallotproxy/connection/http/http_parser.hpp"
#include "shallotproxy/connection/http/http_server.hpp"
#include "shallotproxy/process/base/boot_clock.hpp"
#include "shallotproxy/process/base/text.hpp"

namespace shallotproxy {

/// A connection of one client. Handles one request at a time, so responses cannot change order.
class HttpServerConnection : public QObject,
                             public std::enable_shared_from_this<HttpServerConnection>
{
public:
    HttpServerConnection(HttpServer &server, QTcpSocket *socket)
        : m_server(&server)
        , m_socket(socket)
        , m_parser(server.m_bounds)
    {
        // Nothing is read while a request is being handled, so the kernel's receive window and
        // this buffer limit how many bytes a client can leave unread.
        socket->setParent(this);
        socket->setReadBufferSize(ReadBufferBytes);
        socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        m_timer.setSingleShot(true);
        connect(socket, &QTcpSocket::readyRead, this, [this] { read(); });
        connect(socket, &QTcpSocket::disconnected, this, [this] { close(); });
        connect(&m_timer, &QTimer::timeout, this, [this] { close(); });
        m_timer.start(server.m_bounds.idleTimeoutMilliseconds);
    }

    auto answer(const HttpResponse &response) -> void
    {
        if (!m_isBusy || !m_socket)
            return;
        m_isBusy = false;
        m_disconnectHandler = nullptr;
        const auto isKeptOpen = m_isKeepAlive && m_server->m_isKeepAliveAllowed;
        m_socket->write(serializeResponse(response, isKeptOpen));
        m_socket->flush();
        if (!isKeptOpen) {
            linger();
            return;
        }
        m_timer.start(m_server->m_bounds.idleTimeoutMilliseconds);
        // Not called directly: the handler may have answered before it returned.
        QMetaObject::invokeMethod(
            this, [this] { read(); }, Qt::QueuedConnection);
    }

    /// Closes the connection if the request being handled has not been answered.
    auto closeIfUnanswered() -> void
    {
        if (m_isBusy)
            close();
    }

    auto onClientDisconnected(std::function<void()> handler) -> void
    {
        m_disconnectHandler = std::move(handler);
    }

    [[nodiscard]] auto isIdle() const -> bool
    {
        return !m_isBusy && !m_isLingering && !m_parser.isMidRequest();
    }

    auto close() -> void
    {
        if (!m_socket)
            return;
        m_socket->disconnect(this);
        m_socket->abort();
        m_socket->deleteLater();
        m_socket = nullptr;
        const auto handler = m_isBusy ? std::exchange(m_disconnectHandler, nullptr) : nullptr;
        m_isBusy = false;
        setBufferedBytes(0);
        m_server->remove(this);
        if (handler)
            handler();
    }

    [[nodiscard]] auto isConnected() const -> bool
    {
        return m_socket && m_socket->state() == QAbstractSocket::ConnectedState;
    }

private:
    static constexpr qint64 ReadBufferBytes = qint64{64} * 1024;
    static constexpr int LingerMilliseconds = 1'000; // reading after the write side is shut down

    auto read() -> void
    {
        if (m_isBusy || !m_socket)
            return;
        if (m_isLingering) {
            m_socket->readAll();
            return;
        }
        if (deferIfRateLimited())
            return;
        m_parser.append(m_socket->readAll());
        auto parsed = m_parser.next();
        setBufferedBytes(m_parser.bufferedBytes());
        if (!parsed) {
            refuse(parsed.error());
            return;
        }
        if (!*parsed) {
            if (refuseByHead())
                return;
            if (m_server->m_bufferedBytes > m_server->m_bounds.totalBytes) {
                refuse({HttpError::Kind::TooManyBytes});
                return;
            }
            if (m_parser.consumeExpectContinue())
                m_socket->write("HTTP/1.1 100 Continue\r\n\r\n");
            if (m_parser.isMidRequest() && !m_isMidRequest)
                m_timer.start(m_server->m_bounds.progressTimeoutMilliseconds);
            m_isMidRequest = m_parser.isMidRequest();
            return;
        }
        m_isBusy = true;
        m_isMidRequest = false;
        ++m_requestsInWindow;
        m_timer.stop();
        m_isKeepAlive = (*parsed)->isKeepAlive;
        m_server->m_handler(std::move((*parsed)->request), HttpResponder(weak_from_this()));
    }

    /// Returns whether this connection has used up its requests of the current second; further
    /// requests then stay unread until the next one.
    auto deferIfRateLimited() -> bool
    {
        const auto now = BootClock::now();
        if (now >= m_rateWindowEnd) {
            m_rateWindowEnd = now + std::chrono::seconds(1);
            m_requestsInWindow = 0;
        }
        if (m_requestsInWindow < m_server->m_bounds.requestsPerSecond)
            return false;
        const auto wait = std::chrono::ceil<std::chrono::milliseconds>(m_rateWindowEnd - now);
        QTimer::singleShot(wait, this, [this] { read(); });
        return true;
    }

    /// Sets the bytes buffered by this connection and updates the total of the server.
    auto setBufferedBytes(std::size_t bytes) -> void
    {
        m_server->m_bufferedBytes += bytes;
        m_server->m_bufferedBytes -= std::exchange(m_bufferedBytes, bytes);
    }

    /// Reports the error to the client and closes the connection.
    auto refuse(const HttpError &ec) -> void
    {
        const auto body = errorBody(ec.number(), ec.name(), "not-run");
        m_socket->write(serializeResponse(jsonResponse(ec.status(), body), false));
        linger();
    }

    /// Rejects the request if the head check does; returns whether it did.
    auto refuseByHead() -> bool
    {
        if (!m_server->m_headCheck)
            return false;
        const auto head = m_parser.consumeHead();
        const auto response = head ? m_server->m_headCheck(*head) : std::nullopt;
        if (!response)
            return false;
        m_socket->write(serializeResponse(*response, false));
        linger();
        return true;
    }

    /// Closes the connection after what was written. Reads and discards the remaining bytes of the
    /// client for a while: closing with unread bytes resets the connection, and the response would
    /// be lost.
    auto linger() -> void
    {
        m_isLingering = true;
        setBufferedBytes(0);
        m_socket->readAll();
        m_timer.start(m_server->m_bounds.progressTimeoutMilliseconds);
        connect(m_socket, &QTcpSocket::bytesWritten, this, [this] { shutdownAfterWriting(); });
        m_socket->flush();
        shutdownAfterWriting();
    }

    /// Shuts down the write side once everything is written.
    auto shutdownAfterWriting() -> void
    {
        if (!m_socket || m_socket->bytesToWrite() > 0)
            return;
        shutdown(static_cast<int>(m_socket->socketDescriptor()), SHUT_WR);
        m_timer.start(LingerMilliseconds);
    }

    HttpServer *m_server;
    QTcpSocket *m_socket;
    HttpRequestParser m_parser;
    QTimer m_timer;
    std::function<void()> m_disconnectHandler;
    std::size_t m_bufferedBytes = 0;
    unsigned m_requestsInWindow = 0;
    BootTime m_rateWindowEnd;
    bool m_isBusy = false;
    bool m_isLingering = false;
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
        connection->closeIfUnanswered();
}

auto HttpResponder::answer(const HttpResponse &response) -> void
{
    if (const auto connection = m_connection.lock())
        connection->answer(response);
    m_connection.reset();
}

auto HttpResponder::onClientDisconnected(std::function<void()> handler) -> void
{
    if (const auto connection = m_connection.lock())
        connection->onClientDisconnected(std::move(handler));
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
    connect(m_server, &QTcpServer::newConnection, this, [this] { acceptPending(); });
}

HttpServer::~HttpServer() = default;

auto HttpServer::listen(std::string_view endpoint) -> Expected<void, ListenError>
{
    const auto colon = endpoint.rfind(':');
    if (colon == std::string_view::npos) {
        return tl::unexpected(ListenError{ListenError::Kind::BadAddress, std::string(endpoint),
                                          "not of the form ADDRESS:PORT"});
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

auto HttpServer::setHeadCheck(HeadCheck check) -> void
{
    m_headCheck = std::move(check);
}

// Idle connections stay open: a request may be in transit on any of them, and is answered.
auto HttpServer::closeAfterAnswers() -> void
{
    m_isKeepAliveAllowed = false;
}

auto HttpServer::connectionCount() const -> std::size_t
{
    return m_connections.size();
}

auto HttpServer::port() const -> quint16
{
    return m_server->serverPort();
}

auto HttpServer::acceptPending() -> void
{
    while (auto *socket = m_server->nextPendingConnection()) {
        if (m_connections.size() >= m_bounds.connections && !closeOldestIdle()) {
            socket->abort();
            socket->deleteLater();
            continue;
        }
        m_connections.push_back(std::make_shared<HttpServerConnection>(*this, socket));
    }
}

/// Closes the oldest idle connection, so that clients which connect and send nothing cannot keep
/// out clients with requests. Returns whether there was one.
auto HttpServer::closeOldestIdle() -> bool
{
    const auto it =
        std::ranges::find_if(m_connections, [](const auto &entry) { return entry->isIdle(); });
    if (it == m_connections.end())
        return false;
    (*it)->close();
    return true;
}

auto HttpServer::remove(HttpServerConnection *connection) -> void
{
    const auto it = std::ranges::find_if(
        m_connections, [connection](const auto &entry) { return entry.get() == connection; });
    if (it == m_connections.end())
        return;
    // Destroyed by the event loop: a member function of the connection is still running.
    auto removed = std::move(*it);
    m_connections.erase(it);
    QMetaObject::invokeMethod(
        this, [removed = std::move(removed)] {}, Qt::QueuedConnection);
}

} // namespace shallotproxy
