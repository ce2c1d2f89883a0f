#include "loop.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <random>
#include <string_view>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace stand3 {

namespace {

constexpr std::string_view Base64Digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

auto socketAddress(const std::string &address) -> sockaddr_in
{
    const auto colon = address.rfind(':');
    auto result = sockaddr_in();
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

auto newSocket() -> int
{
    const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

auto lower(std::string text) -> std::string
{
    std::ranges::transform(text, text.begin(), [](unsigned char it) { return std::tolower(it); });
    return text;
}

auto unescape(std::string_view text) -> std::string
{
    auto result = std::string();
    for (std::size_t n = 0; n < text.size(); ++n) {
        if (text[n] == '%' && n + 2 < text.size()) {
            result += static_cast<char>(std::stoi(std::string(text.substr(n + 1, 2)), nullptr, 16));
            n += 2;
        } else {
            result += text[n];
        }
    }
    return result;
}

/// Splits a message into its head and body. Returns its length, or 0 while it isn't complete.
auto parseMessage(const std::string &bytes, std::string &firstLine,
                  std::map<std::string, std::string> &headers, std::string &body) -> std::size_t
{
    const auto end = bytes.find("\r\n\r\n");
    if (end == std::string::npos)
        return 0;
    headers.clear();
    auto at = bytes.find("\r\n");
    firstLine = bytes.substr(0, at);
    while (at < end) {
        const auto next = bytes.find("\r\n", at + 2);
        const auto line = bytes.substr(at + 2, next - at - 2);
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            const auto value = line.find_first_not_of(' ', colon + 1);
            headers[lower(line.substr(0, colon))] =
                value == std::string::npos ? std::string() : line.substr(value);
        }
        at = next;
    }
    const auto length = headers.find("content-length");
    const auto size = length == headers.end() ? 0U : std::stoul(length->second);
    if (bytes.size() < end + 4 + size)
        return 0;
    body = bytes.substr(end + 4, size);
    return end + 4 + size;
}

auto parseTarget(const std::string &target, Request &request) -> void
{
    const auto mark = target.find('?');
    request.path = target.substr(0, mark);
    auto at = mark;
    while (at != std::string::npos) {
        const auto next = target.find('&', at + 1);
        const auto pair = target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
        const auto equals = pair.find('=');
        if (equals != std::string::npos)
            request.query[pair.substr(0, equals)] = unescape(pair.substr(equals + 1));
        at = next;
    }
}

} // namespace

auto steadyMilliseconds() -> std::int64_t
{
    static const auto start = Clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start).count();
}

auto wallMilliseconds() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

auto Loop::after(std::int64_t milliseconds, Function function) -> void
{
    m_timers.emplace(steadyMilliseconds() + milliseconds, std::move(function));
}

auto Loop::watch(int fd, short events, Function function) -> void
{
    m_watches[fd] = {events, std::move(function)};
}

auto Loop::unwatch(int fd) -> void
{
    m_watches.erase(fd);
}

auto Loop::run() -> void
{
    while (!m_isStopped) {
        while (!m_timers.empty() && m_timers.begin()->first <= steadyMilliseconds()) {
            const auto function = std::move(m_timers.begin()->second);
            m_timers.erase(m_timers.begin());
            function();
            if (m_isStopped)
                return;
        }
        auto wait = std::int64_t{100};
        if (!m_timers.empty())
            wait = std::clamp<std::int64_t>(m_timers.begin()->first - steadyMilliseconds(), 0, 100);
        auto fds = std::vector<pollfd>();
        for (const auto &[fd, entry] : m_watches)
            fds.push_back({fd, entry.events, 0});
        if (poll(fds.data(), fds.size(), static_cast<int>(wait)) <= 0)
            continue;
        for (const auto &it : fds) {
            if (it.revents == 0)
                continue;
            if (const auto entry = m_watches.find(it.fd); entry != m_watches.end()) {
                const auto function = entry->second.function;
                function();
            }
        }
    }
}

struct Server::Connection
{
    int fd = -1;
    std::string in;
    bool isBusy = false;
};

Server::Server(Loop &loop, std::string address, Handler handler)
    : m_loop(loop)
    , m_address(std::move(address))
    , m_handler(std::move(handler))
{
    open();
}

Server::~Server()
{
    close();
}

auto Server::open() -> void
{
    if (m_listener >= 0)
        return;
    m_listener = newSocket();
    const auto on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = socketAddress(m_address);
    if (bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || listen(m_listener, 256) != 0) {
        const auto text = "can't listen at " + m_address + ": " + std::strerror(errno) + '\n';
        [[maybe_unused]] const auto n = write(STDERR_FILENO, text.data(), text.size());
        _exit(2);
    }
    m_loop.watch(m_listener, POLLIN, [this] { accept(); });
}

auto Server::close() -> void
{
    if (m_listener >= 0) {
        m_loop.unwatch(m_listener);
        ::close(m_listener);
        m_listener = -1;
    }
    while (!m_connections.empty()) {
        const auto connection = m_connections.begin()->second;
        // A process that ends with unread bytes resets its connections.
        const auto option = linger{1, 0};
        setsockopt(connection->fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
        drop(connection);
    }
}

auto Server::cut() -> void
{
    m_loop.unwatch(m_listener);
    for (const auto &[fd, connection] : m_connections)
        m_loop.unwatch(fd);
    // Once the queue of new connections is full, the kernel drops opening packets.
    constexpr auto Fillers = 4;
    listen(m_listener, 0);
    const auto address = socketAddress(m_address);
    for (auto n = 0; n < Fillers; ++n) {
        m_fillers.push_back(newSocket());
        static_cast<void>(connect(m_fillers.back(), reinterpret_cast<const sockaddr *>(&address),
                                  sizeof address));
    }
}

auto Server::heal() -> void
{
    close();
    for (const auto it : std::exchange(m_fillers, {}))
        ::close(it);
    open();
}

auto Server::accept() -> void
{
    const auto fd = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0)
        return;
    const auto on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto connection = std::make_shared<Connection>();
    connection->fd = fd;
    m_connections[fd] = connection;
    m_loop.watch(fd, POLLIN, [this, connection] { read(connection); });
}

auto Server::read(const std::shared_ptr<Connection> &connection) -> void
{
    auto buf = std::array<char, 65'536>();
    const auto n = recv(connection->fd, buf.data(), buf.size(), 0);
    if (n == 0 || (n < 0 && errno != EAGAIN)) {
        drop(connection);
        return;
    }
    if (n > 0)
        connection->in.append(buf.data(), static_cast<std::size_t>(n));
    serve(connection);
}

auto Server::serve(const std::shared_ptr<Connection> &connection) -> void
{
    if (connection->isBusy || connection->fd < 0)
        return;
    auto request = Request();
    auto line = std::string();
    const auto size = parseMessage(connection->in, line, request.headers, request.body);
    if (size == 0)
        return;
    connection->in.erase(0, size);
    const auto first = line.find(' ');
    request.method = line.substr(0, first);
    parseTarget(line.substr(first + 1, line.find(' ', first + 1) - first - 1), request);
    connection->isBusy = true;
    m_handler(request,
              [this, weak = std::weak_ptr(connection)](int status, const std::string &body) {
                  const auto target = weak.lock();
                  if (!target || target->fd < 0 || !std::exchange(target->isBusy, false))
                      return;
                  const auto answer = "HTTP/1.1 " + std::to_string(status)
                      + " X\r\nContent-Type: application/json\r\nContent-Length: "
                      + std::to_string(body.size()) + "\r\n\r\n" + body;
                  // All answers fit into the socket's buffer.
                  ::send(target->fd, answer.data(), answer.size(), MSG_NOSIGNAL);
                  m_loop.after(0, [this, weak] {
                      if (const auto next = weak.lock())
                          serve(next);
                  });
              });
}

auto Server::drop(const std::shared_ptr<Connection> &connection) -> void
{
    if (connection->fd < 0)
        return;
    m_loop.unwatch(connection->fd);
    ::close(connection->fd);
    m_connections.erase(std::exchange(connection->fd, -1));
}

auto findPorts(int count) -> int
{
    constexpr auto FirstPort = 20'000; // below those that the kernel gives to clients
    constexpr auto Ranges = 400;
    auto random = std::random_device();
    for (auto attempt = 0; attempt < Ranges; ++attempt) {
        const auto first = FirstPort + static_cast<int>(random() % Ranges) * 25;
        auto sockets = std::vector<int>();
        auto isFree = true;
        for (auto n = 0; n < count; ++n) {
            sockets.push_back(newSocket());
            const auto address = socketAddress("0.0.0.0:" + std::to_string(first + n));
            isFree = isFree
                && bind(sockets.back(), reinterpret_cast<const sockaddr *>(&address),
                        sizeof address)
                    == 0;
        }
        for (const auto it : sockets)
            ::close(it);
        if (isFree)
            return first;
    }
    _exit(2);
}

auto send(Loop &loop, const std::string &address, const std::string &method,
          const std::string &path, const std::map<std::string, std::string> &headers,
          const std::string &body, std::int64_t timeoutMilliseconds,
          std::function<void(int status, const std::string &body)> reply) -> void
{
    struct Call
    {
        int fd = -1;
        std::string out;
        std::string in;
        std::function<void(int, const std::string &)> reply;
    };
    auto call = std::make_shared<Call>();
    call->reply = std::move(reply);
    call->out = method + ' ' + path + " HTTP/1.1\r\nConnection: close\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n";
    for (const auto &[name, value] : headers)
        call->out.append(name).append(": ").append(value).append("\r\n");
    call->out += "\r\n" + body;
    call->fd = newSocket();
    const auto finish = [&loop, call](int status, const std::string &answer) {
        if (call->fd < 0)
            return;
        loop.unwatch(call->fd);
        ::close(std::exchange(call->fd, -1));
        call->reply(status, answer);
    };
    const auto target = socketAddress(address);
    // A failure shows as soon as the request is written.
    static_cast<void>(
        connect(call->fd, reinterpret_cast<const sockaddr *>(&target), sizeof target));
    loop.after(timeoutMilliseconds, [finish] { finish(0, {}); });
    loop.watch(call->fd, POLLOUT, [&loop, call, finish] {
        const auto sent = ::send(call->fd, call->out.data(), call->out.size(), MSG_NOSIGNAL);
        if (sent != static_cast<ssize_t>(call->out.size())) {
            finish(0, {});
            return;
        }
        loop.watch(call->fd, POLLIN, [call, finish] {
            auto buf = std::array<char, 65'536>();
            const auto n = recv(call->fd, buf.data(), buf.size(), 0);
            if (n < 0 && errno == EAGAIN)
                return;
            if (n > 0)
                call->in.append(buf.data(), static_cast<std::size_t>(n));
            auto line = std::string();
            auto answerHeaders = std::map<std::string, std::string>();
            auto answer = std::string();
            if (parseMessage(call->in, line, answerHeaders, answer) > 0) {
                finish(std::stoi(line.substr(line.find(' ') + 1)), answer);
            } else if (n <= 0) {
                finish(0, {});
            }
        });
    });
}

auto toBase64(const std::string &bytes) -> std::string
{
    auto result = std::string();
    for (std::size_t n = 0; n < bytes.size(); n += 3) {
        auto group = std::uint32_t{0};
        for (std::size_t i = 0; i < 3; ++i) {
            const auto byte = n + i < bytes.size() ? static_cast<unsigned char>(bytes[n + i]) : 0U;
            group = group << 8U | byte;
        }
        for (std::size_t i = 0; i < 4; ++i) {
            const auto isPadding = n + i > bytes.size();
            result += isPadding ? '=' : Base64Digits[group >> (18 - 6 * i) & 63U];
        }
    }
    return result;
}

auto fromBase64(const std::string &text) -> std::string
{
    auto result = std::string();
    auto group = std::uint32_t{0};
    auto bits = 0U;
    for (const auto it : text) {
        const auto digit = Base64Digits.find(it);
        if (digit == std::string_view::npos)
            break;
        group = group << 6U | static_cast<std::uint32_t>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            result += static_cast<char>(group >> bits & 255U);
        }
    }
    return result;
}

} // namespace stand3
