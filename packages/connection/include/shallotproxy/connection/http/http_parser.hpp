#pragma once

#include <memory>
#include <optional>

#include <QByteArray>

#include "http_message.hpp"

namespace shallotproxy {

/// Parses requests from the byte stream of one connection.
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
    /// Returns the next complete request; no value while more bytes are needed.
    auto next() -> Expected<std::optional<Parsed>, HttpError>;
    /// Returns the head of a request whose body is still incomplete, once per request.
    auto consumeHead() -> std::optional<HttpRequest>;
    /// Returns whether a request has been received in part.
    [[nodiscard]] auto isMidRequest() const -> bool;
    /// Returns whether the client waits for `100 Continue`; true once per request.
    auto consumeExpectContinue() -> bool;
    /// Returns the bytes held for the incomplete request and the unparsed bytes after it.
    [[nodiscard]] auto bufferedBytes() const -> std::size_t;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// Parses one response from a byte stream.
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

    /// Returns whether any byte of the final response has been received.
    [[nodiscard]] auto hasStarted() const -> bool;
    /// Expects the response to a HEAD request, which has no body whatever its Content-Length says.
    auto expectNoBody() -> void;
    auto append(const QByteArray &bytes) -> void;
    /// Returns the final response once it is complete; skips interim (1xx) responses.
    auto next() -> Expected<std::optional<Parsed>, HttpError>;
    /// Returns the error that the end of the stream at this point amounts to.
    [[nodiscard]] auto endOfStream() const -> HttpError;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// Returns the response as bytes, with a Content-Length computed from its body.
auto serializeResponse(const HttpResponse &response, bool isKeepAlive) -> QByteArray;

/// Returns the request as bytes, with `host` as Host and a Content-Length computed from its body.
auto serializeRequest(const HttpRequest &request, std::string_view host) -> QByteArray;

} // namespace shallotproxy
