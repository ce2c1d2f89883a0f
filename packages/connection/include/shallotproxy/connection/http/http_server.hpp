#pragma once

#include <functional>
#include <memory>
#include <string>

#include <QObject>

#include "http_message.hpp"

class QTcpServer;

namespace shallotproxy {

class HttpServerConnection;

/// Answers one request at most once; used on the server's thread only. Answering after the client
/// has disconnected has no effect; destroying a responder that has not answered closes the
/// connection.
class HttpResponder
{
public:
    HttpResponder() = default;
    explicit HttpResponder(std::weak_ptr<HttpServerConnection> connection);
    ~HttpResponder();
    HttpResponder(HttpResponder &&other) noexcept;
    auto operator=(HttpResponder &&other) noexcept -> HttpResponder &;
    HttpResponder(const HttpResponder &) = delete;
    auto operator=(const HttpResponder &) -> HttpResponder & = delete;

    auto answer(const HttpResponse &response) -> void;
    /// Calls `handler` once if the client disconnects before it is answered.
    auto onClientDisconnected(std::function<void()> handler) -> void;
    /// Returns whether the client is still connected.
    [[nodiscard]] auto isConnected() const -> bool;

private:
    std::weak_ptr<HttpServerConnection> m_connection;
};

struct ListenError
{
    enum class Kind { AddressInUse = 311, BadAddress = 312 };

    Kind kind = Kind::BadAddress;
    std::string endpoint;
    std::string detail;

    [[nodiscard]] auto number() const -> int { return static_cast<int>(kind); }
    [[nodiscard]] auto name() const -> std::string_view;
    [[nodiscard]] auto message() const -> std::string;
};

/// HTTP/1.1 server that handles the requests of a connection one at a time, in order.
class HttpServer : public QObject
{
public:
    using Handler = std::function<void(HttpRequest, HttpResponder)>;

    /// Checks a request by its head, before its body is read; a returned response rejects it.
    using HeadCheck = std::function<std::optional<HttpResponse>(const HttpRequest &)>;

    HttpServer(HttpBounds bounds, Handler handler, QObject *parent = nullptr);
    ~HttpServer() override;

    /// Sets the check of request heads; call before listen().
    auto setHeadCheck(HeadCheck check) -> void;
    /// Listens on `ADDRESS:PORT`.
    auto listen(std::string_view endpoint) -> Expected<void, ListenError>;
    /// Closes each connection after its next response; new connections are still accepted.
    auto closeAfterAnswers() -> void;
    [[nodiscard]] auto connectionCount() const -> std::size_t;
    [[nodiscard]] auto port() const -> quint16;

private:
    friend class HttpServerConnection;

    auto acceptPending() -> void;
    auto closeOldestIdle() -> bool;
    auto remove(HttpServerConnection *connection) -> void;

    HttpBounds m_bounds;
    Handler m_handler;
    HeadCheck m_headCheck;
    QTcpServer *m_server;
    bool m_isKeepAliveAllowed = true;
    std::size_t m_bufferedBytes = 0; // of all connections
    std::vector<std::shared_ptr<HttpServerConnection>> m_connections;
};

} // namespace shallotproxy
