#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace review {

using Milliseconds = std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

struct HttpRequest
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    /// Names are in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    [[nodiscard]] auto header(const std::string &name) const -> std::string;
};

struct HttpResponse
{
    int status = 200;
    std::string body = "{}";
};

/// Serves HTTP/1.1 on a free port of 127.0.0.1 with one thread for each connection.
class HttpServer
{
public:
    using Handler = std::function<HttpResponse(const HttpRequest &)>;

    /// `Silent`: nothing is read or answered, as behind a partition. `Refusing`: connections are
    /// reset, as by a host whose process is not running.
    enum class Mode { Serving, Silent, Refusing };

    explicit HttpServer(Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    auto operator=(const HttpServer &) -> HttpServer & = delete;

    [[nodiscard]] auto address() const -> std::string;
    auto setMode(Mode mode) -> void { m_mode = mode; }

private:
    struct Connection
    {
        std::thread thread;
        std::atomic<bool> isDone = false;
    };

    auto acceptLoop() -> void;
    auto serve(int socket) -> void;

    Handler m_handler;
    int m_listener = -1;
    int m_port = 0;
    std::atomic<Mode> m_mode = Mode::Serving;
    std::atomic<bool> m_isStopping = false;
    std::list<Connection> m_connections;
    std::thread m_acceptor;
};

/// Sends one request on a new connection. Returns no value if there is no whole answer in time.
auto httpCall(const std::string &address, const HttpRequest &request, Milliseconds timeout)
    -> std::optional<HttpResponse>;

/// Returns the first of `count` successive ports of 127.0.0.1 that were free at the time of the
/// call. They lie below the range from which the system takes ports for connections, and no call
/// returns one again.
auto freePorts(int count) -> int;

} // namespace review
