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
    std::string path; // path and query, as sent
    std::vector<HttpHeader> headers;
    std::string body;

    /// The first header of this name, compared without case; empty if there is none.
    [[nodiscard]] auto header(std::string_view name) const -> std::string_view;
};

struct HttpResponse
{
    unsigned status = 200;
    std::vector<HttpHeader> headers;
    std::string body;

    [[nodiscard]] auto header(std::string_view name) const -> std::string_view;
};

/// Bounds on what one peer may send.
struct HttpBounds
{
    std::size_t headerBytes = std::size_t{8} * 1024;
    std::size_t bodyBytes = std::size_t{1024} * 1024;
    std::size_t totalBytes = std::size_t{64} * 1024 * 1024; // of all requests being received
    std::size_t connections = 1'024;
    unsigned requestsPerSecond = 5'000; // of one connection; more wait
    int progressTimeoutMilliseconds = 10'000; // longest wait for the rest of a started message
    int connectTimeoutMilliseconds = 1'000; // longest wait for a new connection to stand
    int idleTimeoutMilliseconds = 60'000; // longest wait for the next request
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
    /// The status that a caller is told.
    [[nodiscard]] auto status() const -> unsigned;
};

/// Whether the header concerns one connection only and is never passed on.
auto isHopByHop(std::string_view name) -> bool;

/// Whether two header names are the same.
auto isSameHeader(std::string_view left, std::string_view right) -> bool;

/// Drops the headers that concern one connection only: the usual ones, and those that the message's
/// own `Connection` header names.
auto dropHopByHop(std::vector<HttpHeader> &headers) -> void;

/// The JSON body that tells an error by number and name, and what became of the request.
auto errorBody(int number, std::string_view name, std::string_view outcome) -> std::string;

/// A response with a JSON body.
auto jsonResponse(unsigned status, std::string body) -> HttpResponse;

} // namespace shallotproxy
