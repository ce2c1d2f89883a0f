#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "shallotproxy/process/base/error.hpp"

namespace shallotproxy {

struct HttpHeader
{
    std::string name;
    std::string value;
};

struct HttpRequest
{
    std::string method;
    std::string path; // path and query, as received
    std::vector<HttpHeader> headers;
    std::string body;

    /// Returns the value of the first header of this name, compared case-insensitively; empty if
    /// there is none.
    [[nodiscard]] auto header(std::string_view name) const -> std::string_view;
};

struct HttpResponse
{
    unsigned status = 200;
    std::vector<HttpHeader> headers;
    std::string body;

    /// Returns the value of the first header of this name, compared case-insensitively; empty if
    /// there is none.
    [[nodiscard]] auto header(std::string_view name) const -> std::string_view;
};

/// Limits on what the other side of a connection may send and how long it may take.
struct HttpBounds
{
    std::size_t headerBytes = std::size_t{8} * 1024;
    std::size_t bodyBytes = std::size_t{1024} * 1024;
    std::size_t totalBytes = std::size_t{64} * 1024 * 1024; // buffered for all incomplete requests
    std::size_t connections = 1'024;
    unsigned requestsPerSecond = 5'000; // per connection; further requests stay unread
    int progressTimeoutMilliseconds = 10'000; // to receive the rest of a started message
    int connectTimeoutMilliseconds = 1'000; // to establish a new connection
    int idleTimeoutMilliseconds = 60'000; // to receive the next request
};

struct HttpError
{
    enum class Kind {
        Malformed = 301,
        BodyTooLong = 302,
        HeaderTooLong = 303,
        CutShort = 304,
        UnknownEnd = 305,
        TooManyBytes = 306,
    };

    Kind kind = Kind::Malformed;

    [[nodiscard]] auto number() const -> int { return static_cast<int>(kind); }
    [[nodiscard]] auto name() const -> std::string_view;
    [[nodiscard]] auto message() const -> std::string;
    /// Returns the HTTP status that reports this error to the client.
    [[nodiscard]] auto status() const -> unsigned;
};

/// Returns whether the header applies to one connection only and must not be forwarded.
auto isHopByHop(std::string_view name) -> bool;

/// Returns whether two header names are equal, compared case-insensitively.
auto isSameHeader(std::string_view left, std::string_view right) -> bool;

/// Removes the hop-by-hop headers: the standard ones, and those that the message's own `Connection`
/// header lists.
auto dropHopByHop(std::vector<HttpHeader> &headers) -> void;

/// Returns a JSON body with the number and name of an error and the outcome of the request.
auto errorBody(int number, std::string_view name, std::string_view outcome) -> std::string;

/// Returns a response with a JSON body.
auto jsonResponse(unsigned status, std::string body) -> HttpResponse;

} // namespace shallotproxy
