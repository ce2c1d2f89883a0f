#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "configuration.hpp"

namespace shallotproxy {

/// Maximum size of a value that is written to the store, in bytes.
inline constexpr std::size_t MaxStoreValueBytes = 900'000;

/// Encodes the configuration as values of at most MaxStoreValueBytes each, in order.
auto encodeConfiguration(const Configuration &configuration) -> std::vector<std::string>;

/// Decodes the configuration from its parts; no value if they are incomplete or malformed.
auto decodeConfiguration(std::span<const std::string> parts) -> std::optional<Configuration>;

} // namespace shallotproxy
