#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "shallotproxy/process/base/names.hpp"

namespace shallotproxy {

/// Name of a claim: a key of one team is another claim than the same key of another team.
struct ClaimName
{
    TeamName team;
    std::string key; // the caller's Idempotency-Key

    auto operator<=>(const ClaimName &other) const = default; // NOLINT(modernize-use-nullptr)
};

/// Value of a claim in the platform's service. `owner` and `number` say which request of which
/// incarnation made it, so that a lost answer can be resolved by reading back.
struct ClaimRecord
{
    Incarnation owner;
    std::uint64_t number = 0;
    std::string fingerprint; // digest of the request's content

    auto operator==(const ClaimRecord &other) const -> bool = default;
    MSGPACK_DEFINE(owner, number, fingerprint)
};

/// The record's bytes, and back; no value if they are none.
auto encodeClaim(const ClaimRecord &record) -> std::string;
auto decodeClaim(const std::string &bytes) -> std::optional<ClaimRecord>;

/// Suffix of the claim's key in the platform's service; holds no part of the caller's key itself.
auto claimSuffix(const ClaimName &name) -> std::string;

} // namespace shallotproxy
