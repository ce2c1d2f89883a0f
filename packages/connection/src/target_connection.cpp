#include <QHostAddress>

#include "shallotproxy/connection/target/target_connection.hpp"

namespace shallotproxy {

auto TargetError::name() const -> std::string_view
{
    switch (kind) {
    case Kind::NotConnected:
        return "target-not-connected";
    case Kind::ClosedUnanswered:
        return "target-closed-unanswered";
    case Kind::CutAnswer:
        return "target-cut-answer";
    case Kind::UnknownEnd:
        return "target-answer-without-end";
    case Kind::BadAnswer:
        return "target-bad-answer";
    case Kind::TimedOut:
        return "target-timed-out";
    case Kind::Withheld:
        break;
    }
    return "request-withheld";
}

auto TargetError::message() const -> std::string
{
    return std::string(name());
}

TargetConnection::TargetConnection(std::string endpoint, HttpBounds bounds, QObject *parent)
    : QObject(parent)
    , m_endpoint(std::move(endpoint))
    , m_bounds(bounds)
{
    m_timeout.setSingleShot(true);
    connect(&m_socket, &QTcpSocket::connected, this, [this] {
        m_socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
        write();
    });
    connect(&m_socket, &QTcpSocket::readyRead, this, [this] { read(); });
    connect(&m_socket, &QTcpSocket::disconnected, this, [this] { handleDisconnect(); });
    connect(&m_socket, &QTcpSocket::errorOccurred, this, [this] { handleDisconnect(); });
    m_progress.setSingleShot(true);
    const auto timeOut = [this] {
        fail(m_isWritten ? TargetError::Kind::TimedOut : TargetError::Kind::NotConnected);
    };
    connect(&m_timeout, &QTimer::timeout, this, timeOut);
    connect(&m_progress, &QTimer::timeout, this, timeOut);
}

// The socket says that it closes while the members that handle this are gone already.
TargetConnection::~TargetConnection()
{
    m_socket.disconnect(this);
}

auto TargetConnection::send(const HttpRequest &request, int timeoutMilliseconds, Callback callback,
                            Guard guard) -> void
{
    m_callback = std::move(callback);
    m_guard = std::move(guard);
    m_parser = std::make_unique<HttpResponseParser>(m_bounds);
    if (request.method == "HEAD")
        m_parser->expectNoBody();
    m_waiting = serializeRequest(request, m_endpoint);
    m_isWritten = false;
    m_timeout.start(timeoutMilliseconds);
    if (m_socket.state() == QAbstractSocket::ConnectedState) {
        write();
        return;
    }
    const auto colon = m_endpoint.rfind(':');
    const auto address = QHostAddress(QString::fromStdString(m_endpoint.substr(0, colon)));
    const auto port = QString::fromStdString(m_endpoint.substr(colon + 1)).toUShort();
    m_progress.start(m_bounds.connectTimeoutMilliseconds);
    m_socket.connectToHost(address, port);
}

auto TargetConnection::isReusable() const -> bool
{
    return m_isReusable && !m_callback && m_socket.state() == QAbstractSocket::ConnectedState;
}

auto TargetConnection::write() -> void
{
    if (!m_callback || m_isWritten)
        return;
    if (m_guard && !m_guard()) {
        fail(TargetError::Kind::Withheld);
        return;
    }
    // From here on the target may have the request, whatever happens to the connection.
    m_isWritten = true;
    m_progress.stop();
    m_socket.write(m_waiting);
    m_waiting.clear();
    // At once: waiting for the event loop to find the socket writable costs a wake-up a request.
    m_socket.flush();
}

auto TargetConnection::read() -> void
{
    if (!m_callback) {
        // Bytes that answer no request would be taken for the next request's answer.
        m_isReusable = false;
        m_socket.abort();
        return;
    }
    m_parser->append(m_socket.readAll());
    auto parsed = m_parser->next();
    if (!parsed) {
        fail(TargetError::Kind::BadAnswer);
        return;
    }
    if (!*parsed) {
        // A target may work for long before it answers; an answer that has begun must go on.
        if (m_parser->hasBegun())
            m_progress.start(m_bounds.progressTimeoutMilliseconds);
        return;
    }
    if (!(*parsed)->isKeepAlive || (*parsed)->hasBytesLeft)
        m_isReusable = false;
    finish(std::move((*parsed)->response));
}

auto TargetConnection::handleDisconnect() -> void
{
    m_isReusable = false;
    if (!m_callback)
        return;
    if (m_socket.bytesAvailable() > 0)
        read();
    if (!m_callback)
        return;
    if (!m_isWritten) {
        fail(TargetError::Kind::NotConnected);
        return;
    }
    if (!m_parser->hasBegun()) {
        fail(TargetError::Kind::ClosedUnanswered);
        return;
    }
    const auto isUnknownEnd = m_parser->endOfStream().kind == HttpError::Kind::UnknownEnd;
    fail(isUnknownEnd ? TargetError::Kind::UnknownEnd : TargetError::Kind::CutAnswer);
}

auto TargetConnection::fail(TargetError::Kind kind) -> void
{
    // Taken first: abort() calls handleDisconnect(), which must not find the request again.
    const auto callback = std::exchange(m_callback, nullptr);
    m_isReusable = false;
    m_timeout.stop();
    m_progress.stop();
    m_socket.abort();
    if (callback)
        callback(tl::unexpected(TargetError{kind}));
}

auto TargetConnection::finish(HttpResponse response) -> void
{
    m_timeout.stop();
    m_progress.stop();
    const auto callback = std::exchange(m_callback, nullptr);
    callback(std::move(response));
}

} // namespace shallotproxy
