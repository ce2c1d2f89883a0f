#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "shallotproxy/process/base/names.hpp"

namespace shallotproxy {

/// Name of a claim. The same key of two teams names two claims.
struct ClaimName
{
    TeamName team;
    std::string key; // The value of the caller's Idempotency-Key header.

    auto operator<=>(const ClaimName &other) const = default; // NOLINT(modernize-use-nullptr)
};

/// Value of a claim in the store. `owner` and `number` say which request of which incarnation wrote
/// it, so that a lost answer can be resolved by reading the claim back.
struct ClaimRecord
{
    Incarnation owner;
    std::uint64_t number = 0;
    std::string fingerprint; // Digest of the request's content.

    auto operator==(const ClaimRecord &other) const -> bool = default;
    MSGPACK_DEFINE(owner, number, fingerprint)
};

/// Returns the serialized record.
auto encodeClaim(const ClaimRecord &record) -> std::string;
/// Returns the record that the bytes hold, or no value if they hold none.
auto decodeClaim(const std::string &bytes) -> std::optional<ClaimRecord>;

/// Returns the suffix of the claim's key in the store. It holds a digest of the caller's key and no
/// part of the key itself.
auto claimSuffix(const ClaimName &name) -> std::string;

} // namespace shallotproxy
