#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "shallotproxy/version/configuration/configuration.hpp"

namespace shallotproxy {

/// The team and the name of the key that a request came with.
struct KeyOwner
{
    TeamName team;
    KeyName key;
};

/// Index of the keys of one configuration by name, so that a request costs one lookup however many
/// teams there are. It is built once per version of the configuration.
class KeyIndex
{
public:
    KeyIndex() = default;
    explicit KeyIndex(const Configuration &configuration);

    /// Returns the owner of the key `NAME.SECRET`, or no value if the key is unknown or withdrawn.
    [[nodiscard]] auto find(std::string_view keyText) const -> std::optional<KeyOwner>;

private:
    struct Entry
    {
        TeamName team;
        std::string digest;
    };

    std::unordered_multimap<KeyName, Entry> m_entries;
};

/// Returns whether the team still has this key.
auto hasKey(const Configuration &configuration, const KeyOwner &owner) -> bool;

} // namespace shallotproxy
