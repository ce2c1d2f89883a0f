#pragma once

#include <string>
#include <string_view>

#include "key_index.hpp"
#include "refusal.hpp"
#include "shallotproxy/connection/http/http_message.hpp"
#include "shallotproxy/version/configuration/configuration.hpp"

namespace shallotproxy {

/// Prefix of the paths at which callers reach queues: `/queues/QUEUE/PATH`.
inline constexpr std::string_view QueuePathPrefix = "/queues/";

/// A request that may be queued, with its queue, its owner and the request to forward.
struct AdmittedRequest
{
    const Queue *queue = nullptr; // Owned by the configuration.
    KeyOwner owner; // Empty if the request came to an open queue without a key.
    std::string idempotencyKey;
    HttpRequest forwarded;
};

/// Checks the queue and the key of a request. A queue that isn't open requires a valid key. On an
/// open queue a key is optional, but an invalid one is refused. `keys` is the index of the
/// configuration's keys.
auto admitRequest(const Configuration &configuration, const KeyIndex &keys, HttpRequest request)
    -> Expected<AdmittedRequest, Refusal>;

/// Returns the key of `Authorization: Bearer KEY`, or an empty text if there is none.
auto bearerKey(const HttpRequest &request) -> std::string_view;

/// Removes headers whose name starts with `Shallotproxy-`, which only this system may set.
auto dropReservedHeaders(std::vector<HttpHeader> &headers) -> void;

} // namespace shallotproxy
