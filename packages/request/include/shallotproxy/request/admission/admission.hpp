#pragma once

#include <string>
#include <string_view>

#include "key_index.hpp"
#include "refusal.hpp"
#include "shallotproxy/connection/http/http_message.hpp"
#include "shallotproxy/version/configuration/configuration.hpp"

namespace shallotproxy {

/// Path below which callers reach queues: `/queues/QUEUE/PATH`.
inline constexpr std::string_view QueuePathPrefix = "/queues/";

/// A request that may be queued: for which team, on which queue, and what the target is sent.
struct AdmittedRequest
{
    const Queue *queue = nullptr; // lives as long as the configuration
    KeyOwner owner; // empty on an open queue without a key
    std::string idempotencyKey;
    HttpRequest forwarded;
};

/// Checks queue and key. On a queue that isn't open a valid key is needed; on an open queue a key
/// is optional, but a wrong one is refused. `keys` are those of the configuration.
auto admitRequest(const Configuration &configuration, const KeyIndex &keys, HttpRequest request)
    -> Expected<AdmittedRequest, Refusal>;

/// The key of `Authorization: Bearer KEY`; empty if there is none.
auto bearerKey(const HttpRequest &request) -> std::string_view;

/// Drops headers of the name space `Shallotproxy-`, which only this system sets.
auto dropReservedHeaders(std::vector<HttpHeader> &headers) -> void;

} // namespace shallotproxy
