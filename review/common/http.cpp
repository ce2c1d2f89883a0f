#include "http.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int PollMilliseconds = 20;
constexpr int Backlog = 64;
constexpr std::size_t ReadBytes = 65'536;
constexpr int FirstPort = 20'000;
constexpr int PortOffsets = 100;
constexpr int PortsPerOffset = 100;

auto loopback(int port) -> sockaddr_in
{
    auto address = sockaddr_in();
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

auto lower(std::string text) -> std::string
{
    std::ranges::transform(text, text.begin(),
                           [](unsigned char it) { return static_cast<char>(std::tolower(it)); });
    return text;
}

auto number(std::string_view text, int base = 10) -> long
{
    auto value = 0L;
    std::from_chars(text.data(), text.data() + text.size(), value, base);
    return value;
}

auto decodePercent(std::string_view text) -> std::string
{
    auto result = std::string();
    for (std::size_t n = 0; n < text.size(); ++n) {
        if (text[n] == '%' && n + 2 < text.size()) {
            result += static_cast<char>(number(text.substr(n + 1, 2), 16));
            n += 2;
        } else {
            result += text[n];
        }
    }
    return result;
}

auto parseQuery(std::string_view text) -> std::map<std::string, std::string>
{
    auto query = std::map<std::string, std::string>();
    while (!text.empty()) {
        const auto part = text.substr(0, text.find('&'));
        text.remove_prefix(std::min(text.size(), part.size() + 1));
        const auto equals = part.find('=');
        if (equals != std::string_view::npos)
            query[std::string(part.substr(0, equals))] = decodePercent(part.substr(equals + 1));
    }
    return query;
}

/// The first line, the headers and the body of a message.
struct Message
{
    std::string start;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Takes a whole message with a Content-Length from the front of `buf`.
auto takeMessage(std::string &buf) -> std::optional<Message>
{
    const auto end = buf.find("\r\n\r\n");
    if (end == std::string::npos)
        return std::nullopt;
    auto message = Message();
    auto head = std::string_view(buf).substr(0, end + 2);
    message.start = head.substr(0, head.find("\r\n"));
    head.remove_prefix(message.start.size() + 2);
    while (!head.empty()) {
        const auto line = head.substr(0, head.find("\r\n"));
        head.remove_prefix(line.size() + 2);
        const auto colon = line.find(':');
        auto value = line.substr(std::min(line.size(), colon + 1));
        while (value.starts_with(' '))
            value.remove_prefix(1);
        message.headers[lower(std::string(line.substr(0, colon)))] = value;
    }
    const auto size = static_cast<std::size_t>(number(message.headers["content-length"]));
    if (buf.size() < end + 4 + size)
        return std::nullopt;
    message.body = buf.substr(end + 4, size);
    buf.erase(0, end + 4 + size);
    return message;
}

auto toRequest(Message message) -> HttpRequest
{
    auto request = HttpRequest();
    const auto &line = message.start;
    request.method = line.substr(0, line.find(' '));
    const auto target =
        line.substr(request.method.size() + 1, line.rfind(' ') - request.method.size() - 1);
    request.path = target.substr(0, target.find('?'));
    if (request.path.size() < target.size())
        request.query = parseQuery(std::string_view(target).substr(request.path.size() + 1));
    request.headers = std::move(message.headers);
    request.body = std::move(message.body);
    return request;
}

auto sendAll(int socket, std::string_view bytes) -> bool
{
    while (!bytes.empty()) {
        const auto n = send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

auto isReadable(int socket, int milliseconds) -> bool
{
    auto entry = pollfd{socket, POLLIN, 0};
    return poll(&entry, 1, milliseconds) > 0;
}

/// Appends what has arrived. Returns whether the peer still sends.
auto readSome(int socket, std::string &buf) -> bool
{
    auto bytes = std::string(ReadBytes, '\0');
    const auto n = recv(socket, bytes.data(), bytes.size(), 0);
    if (n <= 0)
        return false;
    buf.append(bytes, 0, static_cast<std::size_t>(n));
    return true;
}

auto isClosedByPeer(int socket) -> bool
{
    auto entry = pollfd{socket, POLLRDHUP, 0};
    return poll(&entry, 1, 0) > 0;
}

auto closeWithReset(int socket) -> void
{
    const auto option = linger{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    close(socket);
}

auto setNoDelay(int socket) -> void
{
    const auto option = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &option, sizeof option);
}

} // namespace

auto HttpRequest::header(const std::string &name) const -> std::string
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

HttpServer::HttpServer(Handler handler)
    : m_handler(std::move(handler))
    , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    auto address = loopback(0);
    auto size = socklen_t{sizeof address};
    if (bind(m_listener, reinterpret_cast<sockaddr *>(&address), size) != 0
        || listen(m_listener, Backlog) != 0)
        std::abort();
    getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_acceptor = std::thread([this] { acceptLoop(); });
}

HttpServer::~HttpServer()
{
    m_isStopping = true;
    m_acceptor.join();
    for (auto &it : m_connections)
        it.thread.join();
    close(m_listener);
}

auto HttpServer::address() const -> std::string
{
    return "127.0.0.1:" + std::to_string(m_port);
}

auto HttpServer::acceptLoop() -> void
{
    while (!m_isStopping) {
        std::erase_if(m_connections, [](Connection &it) {
            if (!it.isDone)
                return false;
            it.thread.join();
            return true;
        });
        if (!isReadable(m_listener, PollMilliseconds))
            continue;
        const auto client = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0)
            continue;
        if (m_mode == Mode::Refusing) {
            closeWithReset(client);
            continue;
        }
        setNoDelay(client);
        auto &connection = m_connections.emplace_back();
        connection.thread = std::thread([this, client, &connection] {
            serve(client);
            connection.isDone = true;
        });
    }
}

auto HttpServer::serve(int socket) -> void
{
    auto buf = std::string();
    auto wasSilent = false;
    while (!m_isStopping && m_mode != Mode::Refusing) {
        if (m_mode == Mode::Silent) {
            wasSilent = true;
            std::this_thread::sleep_for(Milliseconds(PollMilliseconds));
            continue;
        }
        // What a peer sent before it gave up on a partitioned connection never arrives.
        if (wasSilent && isClosedByPeer(socket))
            break;
        wasSilent = false;
        if (!isReadable(socket, PollMilliseconds) || m_mode != Mode::Serving)
            continue;
        if (!readSome(socket, buf))
            break;
        while (auto message = takeMessage(buf)) {
            const auto response = m_handler(toRequest(std::move(*message)));
            // The process may have ended, or been cut off, while the request was handled.
            while (m_mode == Mode::Silent && !m_isStopping)
                std::this_thread::sleep_for(Milliseconds(PollMilliseconds));
            if (m_mode != Mode::Serving)
                break;
            const auto head = "HTTP/1.1 " + std::to_string(response.status)
                + " Status\r\nContent-Type: application/json\r\nContent-Length: "
                + std::to_string(response.body.size()) + "\r\n\r\n";
            if (!sendAll(socket, head + response.body))
                break;
        }
    }
    closeWithReset(socket);
}

auto httpCall(const std::string &address, const HttpRequest &request, Milliseconds timeout)
    -> std::optional<HttpResponse>
{
    const auto deadline = SteadyClock::now() + timeout;
    const auto port = static_cast<int>(number(address.substr(address.rfind(':') + 1)));
    const auto target = loopback(port);
    const auto socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto result = std::optional<HttpResponse>();
    auto text = request.method + ' ' + request.path + " HTTP/1.1\r\n";
    for (const auto &[name, value] : request.headers)
        text.append(name).append(": ").append(value).append("\r\n");
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
    auto buf = std::string();
    const auto isConnected =
        connect(socket, reinterpret_cast<const sockaddr *>(&target), sizeof target) == 0;
    if (isConnected && sendAll(socket, text)) {
        while (SteadyClock::now() < deadline) {
            if (!isReadable(socket, PollMilliseconds))
                continue;
            if (!readSome(socket, buf))
                break;
            if (auto message = takeMessage(buf)) {
                const auto status = message->start.substr(message->start.find(' ') + 1);
                result = HttpResponse{static_cast<int>(number(status)), message->body};
                break;
            }
        }
    }
    close(socket);
    return result;
}

auto freePorts(int count) -> int
{
    // Scenarios that run at the same time begin at different ports.
    static auto next = FirstPort + getpid() % PortOffsets * PortsPerOffset;
    auto first = next;
    while (next < first + count) {
        const auto socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = loopback(next);
        const auto isFree =
            bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        close(socket);
        ++next;
        if (!isFree)
            first = next;
    }
    return first;
}

} // namespace review
