#include <sys/socket.h>

#include <QHostAddress>

#include "shallotproxy/connection/target/target_connection.hpp"

namespace shallotproxy {

namespace {

/// Closes the connection without sending what the peer hasn't received yet. Behind a partition, the
/// kernel would deliver an order long after its sender has given it up.
auto discard(QTcpSocket &socket) -> void
{
    const auto option = linger{1, 0};
    if (socket.socketDescriptor() >= 0) {
        setsockopt(static_cast<int>(socket.socketDescriptor()), SOL_SOCKET, SO_LINGER, &option,
                   sizeof(option));
    }
    socket.abort();
}

} // namespace

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
    m_responseTimer.setSingleShot(true);
    // A coarse timer may fire early by 5 % of its time.
    m_responseTimer.setTimerType(Qt::PreciseTimer);
    connect(&m_socket, &QTcpSocket::connected, this, [this] {
        m_socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
        write();
    });
    connect(&m_socket, &QTcpSocket::readyRead, this, [this] { read(); });
    connect(&m_socket, &QTcpSocket::disconnected, this, [this] { handleDisconnect(); });
    connect(&m_socket, &QTcpSocket::errorOccurred, this, [this] { handleDisconnect(); });
    m_progressTimer.setSingleShot(true);
    const auto failOnTimeout = [this] {
        fail(m_isWritten ? TargetError::Kind::TimedOut : TargetError::Kind::NotConnected);
    };
    connect(&m_responseTimer, &QTimer::timeout, this, failOnTimeout);
    connect(&m_progressTimer, &QTimer::timeout, this, failOnTimeout);
}

// The socket emits signals while it closes, when the members that handle them are already
// destroyed.
TargetConnection::~TargetConnection()
{
    m_socket.disconnect(this);
    if (m_callback)
        discard(m_socket);
}

auto TargetConnection::send(const HttpRequest &request, int timeoutMilliseconds, Callback callback,
                            Guard guard) -> void
{
    m_callback = std::move(callback);
    m_guard = std::move(guard);
    m_parser = std::make_unique<HttpResponseParser>(m_bounds);
    if (request.method == "HEAD")
        m_parser->expectNoBody();
    m_requestBytes = serializeRequest(request, m_endpoint);
    m_isWritten = false;
    m_responseTimer.start(timeoutMilliseconds);
    if (m_socket.state() == QAbstractSocket::ConnectedState) {
        write();
        return;
    }
    const auto colon = m_endpoint.rfind(':');
    const auto address = QHostAddress(QString::fromStdString(m_endpoint.substr(0, colon)));
    const auto port = QString::fromStdString(m_endpoint.substr(colon + 1)).toUShort();
    m_progressTimer.start(m_bounds.connectTimeoutMilliseconds);
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
    // From here on the target may have received the request, whatever happens to the connection.
    m_isWritten = true;
    m_progressTimer.stop();
    m_socket.write(m_requestBytes);
    m_requestBytes.clear();
    // Flushed at once: waiting for the event loop to report the socket writable costs one wake-up
    // per request.
    m_socket.flush();
}

auto TargetConnection::read() -> void
{
    if (!m_callback) {
        // Bytes that belong to no request would be parsed as the response to the next one.
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
        // A target may take long to respond; a response that has started must make progress.
        if (m_parser->hasStarted())
            m_progressTimer.start(m_bounds.progressTimeoutMilliseconds);
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
    // The other errors are time-outs of the kernel, or of the network on the way.
    const auto isClosedByTarget = m_socket.error() == QAbstractSocket::ConnectionRefusedError
        || m_socket.error() == QAbstractSocket::RemoteHostClosedError;
    if (!m_isWritten) {
        fail(TargetError::Kind::NotConnected, isClosedByTarget);
        return;
    }
    if (!m_parser->hasStarted()) {
        fail(TargetError::Kind::ClosedUnanswered, isClosedByTarget);
        return;
    }
    const auto isUnknownEnd = m_parser->endOfStream().kind == HttpError::Kind::UnknownEnd;
    fail(isUnknownEnd ? TargetError::Kind::UnknownEnd : TargetError::Kind::CutAnswer,
         isClosedByTarget);
}

auto TargetConnection::fail(TargetError::Kind kind, bool isClosedByTarget) -> void
{
    // Cleared first: abort() calls handleDisconnect(), which must not fail the request again.
    const auto callback = std::exchange(m_callback, nullptr);
    m_isReusable = false;
    m_responseTimer.stop();
    m_progressTimer.stop();
    discard(m_socket);
    if (callback)
        callback(tl::unexpected(TargetError{kind, isClosedByTarget}));
}

auto TargetConnection::finish(HttpResponse response) -> void
{
    m_responseTimer.stop();
    m_progressTimer.stop();
    const auto callback = std::exchange(m_callback, nullptr);
    callback(std::move(response));
}

} // namespace shallotproxy
