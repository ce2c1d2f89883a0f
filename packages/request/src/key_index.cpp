#include <algorithm>

#include "shallotproxy/request/admission/key_index.hpp"
#include "shallotproxy/version/configuration/keys.hpp"

namespace shallotproxy {

KeyIndex::KeyIndex(const Configuration &configuration)
{
    for (const auto &[name, team] : configuration.teams) {
        for (const auto &key : team.keys)
            m_entries.emplace(key.name, Entry{name, key.digest});
    }
}

auto KeyIndex::find(std::string_view keyText) const -> std::optional<KeyOwner>
{
    const auto name = KeyName(std::string(keyText.substr(0, keyText.find('.'))));
    const auto [first, last] = m_entries.equal_range(name);
    for (auto it = first; it != last; ++it) {
        if (matchesDigest(keyText, it->second.digest))
            return KeyOwner{it->second.team, name};
    }
    return std::nullopt;
}

auto hasKey(const Configuration &configuration, const KeyOwner &owner) -> bool
{
    const auto it = configuration.teams.find(owner.team);
    return it != configuration.teams.end()
        && std::ranges::any_of(it->second.keys,
                               [&owner](const auto &key) { return key.name == owner.key; });
}

} // namespace shallotproxy
