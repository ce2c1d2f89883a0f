#include <QCryptographicHash>

#include "shallotproxy/version/configuration/keys.hpp"

namespace shallotproxy {

namespace {

constexpr std::size_t NameBytes = 8;
constexpr std::size_t SecretBytes = 32;

} // namespace

auto digestKey(std::string_view text) -> std::string
{
    const auto bytes = QByteArrayView(text.data(), static_cast<qsizetype>(text.size()));
    return QCryptographicHash::hash(bytes.toByteArray(), QCryptographicHash::Sha256)
        .toHex()
        .toStdString();
}

auto makeKey() -> NewKey
{
    const auto name = randomHex(NameBytes);
    const auto text = name + '.' + randomHex(SecretBytes);
    return {text, {KeyName(name), digestKey(text)}};
}

auto matchesDigest(std::string_view text, std::string_view digest) -> bool
{
    const auto computed = digestKey(text);
    if (computed.size() != digest.size())
        return false;
    auto difference = 0U;
    for (std::size_t i = 0; i < computed.size(); ++i)
        difference |= static_cast<unsigned>(computed[i] ^ digest[i]) & 0xffU;
    return difference == 0;
}

auto findTeam(const Configuration &configuration, std::string_view keyText)
    -> std::optional<TeamName>
{
    const auto name = KeyName(std::string(keyText.substr(0, keyText.find('.'))));
    for (const auto &[teamName, team] : configuration.teams) {
        for (const auto &key : team.keys) {
            if (key.name == name && matchesDigest(keyText, key.digest))
                return teamName;
        }
    }
    return std::nullopt;
}

} // namespace shallotproxy
