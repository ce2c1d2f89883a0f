#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "shallotproxy/version/configuration/configuration.hpp"

namespace shallotproxy {

/// Whose key a request came with.
struct KeyOwner
{
    TeamName team;
    KeyName key;
};

/// The keys of one configuration by name: a request costs one look-up, however many teams there
/// are. Built once per version.
class KeyIndex
{
public:
    KeyIndex() = default;
    explicit KeyIndex(const Configuration &configuration);

    /// The owner of the key `NAME.SECRET`; no value for an unknown or withdrawn one.
    [[nodiscard]] auto find(std::string_view keyText) const -> std::optional<KeyOwner>;

private:
    struct Entry
    {
        TeamName team;
        std::string digest;
    };

    std::unordered_multimap<KeyName, Entry> m_entries;
};

/// Whether the team still has this key.
auto hasKey(const Configuration &configuration, const KeyOwner &owner) -> bool;

} // namespace shallotproxy
