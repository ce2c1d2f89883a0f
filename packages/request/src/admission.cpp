#include <algorithm>

#include "shallotproxy/request/admission/admission.hpp"

namespace shallotproxy {

namespace {

constexpr std::size_t MaxIdempotencyKeyBytes = 200;

/// Removes the team's key, which a target must never see.
auto dropCredentials(HttpRequest &request) -> void
{
    std::erase_if(request.headers,
                  [](const auto &header) { return isSameHeader(header.name, "Authorization"); });
}

/// Returns how often a header occurs. Requests that repeat such a header are refused, since the
/// next program on the path may pick another of its values.
auto countHeaders(const HttpRequest &request, std::string_view name) -> std::ptrdiff_t
{
    return std::ranges::count_if(
        request.headers, [name](const auto &header) { return isSameHeader(header.name, name); });
}

} // namespace

auto bearerKey(const HttpRequest &request) -> std::string_view
{
    constexpr std::string_view Scheme = "Bearer ";
    const auto value = request.header("Authorization");
    return value.starts_with(Scheme) ? value.substr(Scheme.size()) : std::string_view();
}

auto dropReservedHeaders(std::vector<HttpHeader> &headers) -> void
{
    constexpr std::string_view Reserved = "Shallotproxy-";
    std::erase_if(headers, [Reserved](const auto &header) {
        return isSameHeader(std::string_view(header.name).substr(0, Reserved.size()), Reserved);
    });
}

auto admitRequest(const Configuration &configuration, const KeyIndex &keys, HttpRequest request)
    -> Expected<AdmittedRequest, Refusal>
{
    const auto path = std::string_view(request.path);
    if (!path.starts_with(QueuePathPrefix))
        return tl::unexpected(Refusal{Refusal::Kind::UnknownQueue});
    const auto rest = path.substr(QueuePathPrefix.size());
    const auto end = std::min(rest.find_first_of("/?"), rest.size());
    const auto it = configuration.queues.find(QueueName(std::string(rest.substr(0, end))));
    if (it == configuration.queues.end())
        return tl::unexpected(Refusal{Refusal::Kind::UnknownQueue});

    auto admitted = AdmittedRequest();
    admitted.queue = &it->second;
    const auto keyCount = countHeaders(request, "Authorization");
    if (keyCount > 0 || !it->second.isOpen) {
        const auto owner = keyCount == 1 ? keys.find(bearerKey(request)) : std::nullopt;
        if (!owner)
            return tl::unexpected(Refusal{Refusal::Kind::BadKey});
        admitted.owner = *owner;
    }
    if (countHeaders(request, "Idempotency-Key") > 1)
        return tl::unexpected(Refusal{Refusal::Kind::BadRequest});
    admitted.idempotencyKey = std::string(request.header("Idempotency-Key"));
    if (admitted.idempotencyKey.size() > MaxIdempotencyKeyBytes)
        return tl::unexpected(Refusal{Refusal::Kind::BadRequest});
    auto forwardedPath = std::string(rest.substr(end));
    if (!forwardedPath.starts_with('/'))
        forwardedPath.insert(0, 1, '/');
    request.path = std::move(forwardedPath);
    dropCredentials(request);
    dropReservedHeaders(request.headers);
    admitted.forwarded = std::move(request);
    return admitted;
}

} // namespace shallotproxy
