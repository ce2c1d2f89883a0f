#pragma once

#include <functional>
#include <memory>
#include <string>

#include <QObject>

#include "http_message.hpp"

class QTcpServer;

namespace shallotproxy {

class HttpServerConnection;

/// Answers one request, on the server's thread, at most once. Answering after the client has gone
/// does nothing; a responder that is dropped unanswered closes the connection.
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
    /// Calls `handler` once if the client goes before it is answered.
    auto onClientDisconnected(std::function<void()> handler) -> void;
    /// Whether the client is still connected.
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

/// HTTP/1.1 server that answers the requests of a connection one after the other.
class HttpServer : public QObject
{
public:
    using Handler = std::function<void(HttpRequest, HttpResponder)>;

    /// Judges a request by its head, before its body is read; a response refuses it.
    using HeadCheck = std::function<std::optional<HttpResponse>(const HttpRequest &)>;

    HttpServer(HttpBounds bounds, Handler handler, QObject *parent = nullptr);
    ~HttpServer() override;

    /// Sets the check of heads; call before listen().
    auto setHeadCheck(HeadCheck check) -> void;
    /// Listens on `ADDRESS:PORT`.
    auto listen(std::string_view endpoint) -> Expected<void, ListenError>;
    /// Closes each connection after its next answer; new ones are still taken.
    auto closeAfterAnswers() -> void;
    [[nodiscard]] auto connectionCount() const -> std::size_t;
    [[nodiscard]] auto port() const -> quint16;

private:
    friend class HttpServerConnection;

    auto acceptWaiting() -> void;
    auto closeOldestIdle() -> bool;
    auto remove(HttpServerConnection *connection) -> void;

    HttpBounds m_bounds;
    Handler m_handler;
    HeadCheck m_headCheck;
    QTcpServer *m_server;
    bool m_isKeepingAlive = true;
    std::size_t m_heldBytes = 0; // by all connections
    std::vector<std::shared_ptr<HttpServerConnection>> m_connections;
};

} // namespace shallotproxy
