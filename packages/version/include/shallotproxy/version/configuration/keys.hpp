#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "configuration.hpp"

namespace shallotproxy {

/// A new key: `text` is shown once, `stored` is written to the configuration.
struct NewKey
{
    std::string text; // NAME.SECRET
    TeamKey stored;
};

/// Creates a key with a 256-bit secret from the system's random generator.
auto makeKey() -> NewKey;

/// Returns the SHA-256 of a key's text as lower-case hexadecimal.
auto digestKey(std::string_view text) -> std::string;

/// Returns whether `text` has this digest, compared in constant time.
auto matchesDigest(std::string_view text, std::string_view digest) -> bool;

/// Returns the team that the key belongs to; no value for an unknown or withdrawn key.
auto findTeam(const Configuration &configuration, std::string_view keyText)
    -> std::optional<TeamName>;

} // namespace shallotproxy
