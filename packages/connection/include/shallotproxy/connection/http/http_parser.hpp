#pragma once

#include <memory>
#include <optional>

#include <QByteArray>

#include "http_message.hpp"

namespace shallotproxy {

/// Takes whole requests out of one connection's byte stream.
class HttpRequestParser
{
public:
    explicit HttpRequestParser(HttpBounds bounds);
    ~HttpRequestParser();
    HttpRequestParser(const HttpRequestParser &) = delete;
    auto operator=(const HttpRequestParser &) -> HttpRequestParser & = delete;

    struct Parsed
    {
        HttpRequest request;
        bool isKeepAlive = true;
    };

    auto append(const QByteArray &bytes) -> void;
    /// The next whole request; no value while more bytes are needed.
    auto next() -> Expected<std::optional<Parsed>, HttpError>;
    /// The head of a request whose body isn't whole yet, once per request.
    auto takeHead() -> std::optional<HttpRequest>;
    /// Whether a request has begun that is not whole yet.
    [[nodiscard]] auto isMidRequest() const -> bool;
    /// Whether the client waits for `100 Continue`; true once per request.
    auto takeExpectContinue() -> bool;
    /// Bytes of the request that isn't whole yet, and of what came after it.
    [[nodiscard]] auto heldBytes() const -> std::size_t;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// Takes one whole response out of a byte stream.
class HttpResponseParser
{
public:
    explicit HttpResponseParser(HttpBounds bounds);
    ~HttpResponseParser();
    HttpResponseParser(const HttpResponseParser &) = delete;
    auto operator=(const HttpResponseParser &) -> HttpResponseParser & = delete;

    struct Parsed
    {
        HttpResponse response;
        bool isKeepAlive = true;
        bool hasBytesLeft = false;
    };

    /// Whether a byte of the final answer has come.
    [[nodiscard]] auto hasBegun() const -> bool;
    /// For the answer to a HEAD request, which has no body whatever its length says.
    auto expectNoBody() -> void;
    auto append(const QByteArray &bytes) -> void;
    /// The final answer once it is whole; interim (1xx) answers are skipped.
    auto next() -> Expected<std::optional<Parsed>, HttpError>;
    /// The fault that the end of the stream makes at this point.
    [[nodiscard]] auto endOfStream() const -> HttpError;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// A response as bytes with its own Content-Length.
auto serializeResponse(const HttpResponse &response, bool isKeepAlive) -> QByteArray;

/// A request as bytes with its own Content-Length and Host.
auto serializeRequest(const HttpRequest &request, std::string_view host) -> QByteArray;

} // namespace shallotproxy
