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

/// Why a target gave no whole answer.
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

    [[nodiscard]] auto number() const -> int { return static_cast<int>(kind); }
    [[nodiscard]] auto name() const -> std::string_view;
    [[nodiscard]] auto message() const -> std::string;
    /// Whether no byte of the request can have reached the target.
    [[nodiscard]] auto isNotSent() const -> bool
    {
        return kind == Kind::NotConnected || kind == Kind::Withheld;
    }
};

using TargetReply = Expected<HttpResponse, TargetError>;

/// One connection to a target; carries one request at a time and sends each at most once.
class TargetConnection : public QObject
{
public:
    using Callback = std::function<void(TargetReply)>;
    /// Asked right before the first byte is written; `false` withholds the request.
    using Guard = std::function<bool()>;

    TargetConnection(std::string endpoint, HttpBounds bounds, QObject *parent = nullptr);
    /// Drops an open request; its callback isn't called.
    ~TargetConnection() override;
    TargetConnection(const TargetConnection &) = delete;
    auto operator=(const TargetConnection &) -> TargetConnection & = delete;

    /// Sends the request once and hands the outcome to `callback`, exactly once. Ends with an error
    /// if the connection doesn't stand within its bound, if an answer that has begun makes no
    /// progress within its bound, or if there is no whole answer within `timeoutMilliseconds`.
    auto send(const HttpRequest &request, int timeoutMilliseconds, Callback callback,
              Guard guard = {}) -> void;
    /// Whether another request may use this connection.
    [[nodiscard]] auto isReusable() const -> bool;

private:
    auto write() -> void;
    auto read() -> void;
    auto fail(TargetError::Kind kind) -> void;
    auto finish(HttpResponse response) -> void;
    auto handleDisconnect() -> void;

    std::string m_endpoint;
    HttpBounds m_bounds;
    QTcpSocket m_socket;
    QTimer m_timeout;
    QTimer m_progress; // until the connection stands, then between parts of the answer
    std::unique_ptr<HttpResponseParser> m_parser;
    QByteArray m_waiting;
    bool m_isWritten = false;
    bool m_isReusable = true;
    Callback m_callback;
    Guard m_guard;
};

} // namespace shallotproxy
