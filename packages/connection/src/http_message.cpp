#include <algorithm>
#include <array>
#include <cctype>

#include <fmt/format.h>

#include "shallotproxy/connection/http/http_message.hpp"

namespace shallotproxy {

namespace {

auto toLower(char c) -> char
{
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
}

auto findHeader(std::span<const HttpHeader> headers, std::string_view name) -> std::string_view
{
    const auto it = std::ranges::find_if(
        headers, [name](const auto &header) { return isSameHeader(header.name, name); });
    return it == headers.end() ? std::string_view() : std::string_view(it->value);
}

/// Appends the elements of a comma-separated header value.
auto appendListElements(std::string_view value, std::vector<std::string> &elements) -> void
{
    while (!value.empty()) {
        const auto end = std::min(value.find(','), value.size());
        auto element = value.substr(0, end);
        while (element.starts_with(' ') || element.starts_with('\t'))
            element.remove_prefix(1);
        while (element.ends_with(' ') || element.ends_with('\t'))
            element.remove_suffix(1);
        if (!element.empty())
            elements.emplace_back(element);
        value.remove_prefix(std::min(end + 1, value.size()));
    }
}

} // namespace

auto isSameHeader(std::string_view left, std::string_view right) -> bool
{
    return std::ranges::equal(left, right, {}, toLower, toLower);
}

auto isHopByHop(std::string_view name) -> bool
{
    static constexpr std::array<std::string_view, 11> Names = {
        "connection", "keep-alive", "proxy-authenticate", "proxy-authorization",
        "te",         "trailer",    "transfer-encoding",  "upgrade",
        "host",       "expect",     "content-length"};
    return std::ranges::any_of(Names, [name](auto it) { return isSameHeader(it, name); });
}

auto dropHopByHop(std::vector<HttpHeader> &headers) -> void
{
    auto connectionHeaders = std::vector<std::string>();
    for (const auto &it : headers) {
        if (isSameHeader(it.name, "Connection"))
            appendListElements(it.value, connectionHeaders);
    }
    std::erase_if(headers, [&connectionHeaders](const auto &header) {
        return isHopByHop(header.name)
            || std::ranges::any_of(connectionHeaders, [&header](const auto &it) {
                   return isSameHeader(it, header.name);
               });
    });
}

auto HttpRequest::header(std::string_view name) const -> std::string_view
{
    return findHeader(headers, name);
}

auto HttpResponse::header(std::string_view name) const -> std::string_view
{
    return findHeader(headers, name);
}

auto HttpError::name() const -> std::string_view
{
    switch (kind) {
    case Kind::Malformed:
        return "malformed-http";
    case Kind::BodyTooLong:
        return "body-too-long";
    case Kind::HeaderTooLong:
        return "header-too-long";
    case Kind::CutShort:
        return "cut-short";
    case Kind::UnknownEnd:
        return "unknown-end";
    case Kind::TooManyBytes:
        break;
    }
    return "too-many-bytes";
}

auto HttpError::message() const -> std::string
{
    return std::string(name());
}

auto HttpError::status() const -> unsigned
{
    constexpr unsigned BadRequest = 400;
    constexpr unsigned ContentTooLarge = 413;
    constexpr unsigned HeaderFieldsTooLarge = 431;
    constexpr unsigned Unavailable = 503;
    if (kind == Kind::TooManyBytes)
        return Unavailable;
    if (kind == Kind::BodyTooLong)
        return ContentTooLarge;
    return kind == Kind::HeaderTooLong ? HeaderFieldsTooLarge : BadRequest;
}

auto errorBody(int number, std::string_view name, std::string_view outcome) -> std::string
{
    return fmt::format(R"({{"error":{},"name":"{}","outcome":"{}"}})", number, name, outcome);
}

auto jsonResponse(unsigned status, std::string body) -> HttpResponse
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

} // namespace shallotproxy
