#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <poll.h>

namespace stand3 {

using Clock = std::chrono::steady_clock;

/// Steady milliseconds since this process started.
auto steadyMilliseconds() -> std::int64_t;
auto wallMilliseconds() -> std::int64_t;

/// Timers and file descriptors of one thread.
class Loop
{
public:
    using Function = std::function<void()>;

    auto after(std::int64_t milliseconds, Function function) -> void;
    auto watch(int fd, short events, Function function) -> void;
    auto unwatch(int fd) -> void;
    auto run() -> void;
    auto stop() -> void { m_isStopped = true; }

private:
    struct Watch
    {
        short events = 0;
        Function function;
    };

    std::multimap<std::int64_t, Function> m_timers;
    std::map<int, Watch> m_watches;
    bool m_isStopped = false;
};

struct Request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Answers one request. Does nothing once the connection is gone.
using Respond = std::function<void(int status, const std::string &body)>;

/// An HTTP/1.1 server at one address, with keep-alive.
class Server
{
public:
    using Handler = std::function<void(const Request &, Respond)>;

    Server(Loop &loop, std::string address, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    auto operator=(const Server &) -> Server & = delete;

    /// Closes all connections and refuses new ones until `open()`.
    auto close() -> void;
    auto open() -> void;
    /// Behaves as behind a cut until `heal()`: nothing is read or answered, and new connections
    /// stay without an answer.
    auto cut() -> void;
    /// Ends the cut. The connections from before it are reset.
    auto heal() -> void;

private:
    struct Connection;

    auto accept() -> void;
    auto read(const std::shared_ptr<Connection> &connection) -> void;
    auto serve(const std::shared_ptr<Connection> &connection) -> void;
    auto drop(const std::shared_ptr<Connection> &connection) -> void;

    Loop &m_loop;
    std::string m_address;
    Handler m_handler;
    int m_listener = -1;
    std::vector<int> m_fillers;
    std::map<int, std::shared_ptr<Connection>> m_connections;
};

/// Returns the first of `count` ports in a row that are free at all loopback addresses.
auto findPorts(int count) -> int;

/// Sends one request on a connection of its own. Reports status 0 if there is no complete answer in
/// time.
auto send(Loop &loop, const std::string &address, const std::string &method,
          const std::string &path, const std::map<std::string, std::string> &headers,
          const std::string &body, std::int64_t timeoutMilliseconds,
          std::function<void(int status, const std::string &body)> reply) -> void;

auto toBase64(const std::string &bytes) -> std::string;
auto fromBase64(const std::string &text) -> std::string;

} // namespace stand3
