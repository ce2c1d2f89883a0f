#pragma once

#include <functional>
#include <memory>
#include <string>

#include <QObject>
#include <QTcpSocket>
#include <QTimer>

#include "../http/http_message.hpp"
#include "../http/http_parser.hpp"

namespace shallotproxy {

/// Why no complete response of a target has been received.
struct TargetError
{
    enum class Kind {
        NotConnected = 321,
        ClosedUnanswered = 322,
        CutAnswer = 323,
        UnknownEnd = 324,
        BadAnswer = 325,
        TimedOut = 326,
        Withheld = 327,
    };

    Kind kind = Kind::NotConnected;
    /// The target refused or closed the connection; otherwise it didn't answer in time.
    bool isClosedByTarget = false;

    [[nodiscard]] auto number() const -> int { return static_cast<int>(kind); }
    [[nodiscard]] auto name() const -> std::string_view;
    [[nodiscard]] auto message() const -> std::string;
    /// Returns whether it is certain that no byte of the request reached the target.
    [[nodiscard]] auto isNotSent() const -> bool
    {
        return kind == Kind::NotConnected || kind == Kind::Withheld;
    }
};

using TargetReply = Expected<HttpResponse, TargetError>;

/// A connection to a target. Carries one request at a time and sends each at most once.
class TargetConnection : public QObject
{
public:
    using Callback = std::function<void(TargetReply)>;
    /// Called right before the first byte is written; the request is not sent if it returns false.
    using Guard = std::function<bool()>;

    TargetConnection(std::string endpoint, HttpBounds bounds, QObject *parent = nullptr);
    /// Drops the request in progress without calling its callback.
    ~TargetConnection() override;
    TargetConnection(const TargetConnection &) = delete;
    auto operator=(const TargetConnection &) -> TargetConnection & = delete;

    /// Sends the request once and passes the outcome to `callback` exactly once. Fails if the
    /// connection is not established within its timeout, if a response that has started makes no
    /// progress within its timeout, or if the response is incomplete after `timeoutMilliseconds`.
    auto send(const HttpRequest &request, int timeoutMilliseconds, Callback callback,
              Guard guard = {}) -> void;
    /// Returns whether another request may use this connection.
    [[nodiscard]] auto isReusable() const -> bool;

private:
    auto write() -> void;
    auto read() -> void;
    auto fail(TargetError::Kind kind, bool isClosedByTarget = false) -> void;
    auto finish(HttpResponse response) -> void;
    auto handleDisconnect() -> void;

    std::string m_endpoint;
    HttpBounds m_bounds;
    QTcpSocket m_socket;
    QTimer m_responseTimer;
    QTimer m_progressTimer; // limits connecting, then the time between parts of the response
    std::unique_ptr<HttpResponseParser> m_parser;
    QByteArray m_requestBytes;
    bool m_isWritten = false;
    bool m_isReusable = true;
    Callback m_callback;
    Guard m_guard;
};

} // namespace shallotproxy
