#include <array>

#include <QFile>

#include "shallotproxy/version/input/yaml_reader.hpp"
#include "shallotproxy/version/settings/member_settings.hpp"

namespace shallotproxy {

namespace {

constexpr std::size_t MinSecretBytes = 16;

auto readListen(const YamlMap &yaml, MemberSettings &settings) -> void
{
    static constexpr std::array<std::string_view, 3> Keys = {"callers", "operators", "peers"};
    yaml.allowKeys(Keys);
    settings.callersEndpoint = yaml.endpoint("callers");
    settings.operatorsEndpoint = yaml.endpoint("operators");
    settings.peersEndpoint = yaml.endpoint("peers");
}

auto readStore(const YamlMap &yaml, MemberSettings &settings) -> void
{
    static constexpr std::array<std::string_view, 3> Keys = {"endpoint", "prefix", "timeout"};
    yaml.allowKeys(Keys);
    settings.storeEndpoint = yaml.endpoint("endpoint");
    settings.storePrefix = yaml.text("prefix", "/shallotproxy/");
    settings.storeTimeoutMilliseconds = yaml.milliseconds("timeout", 10, 2'500, 1'000);
}

auto readSecurity(const YamlMap &yaml, MemberSettings &settings) -> void
{
    static constexpr std::array<std::string_view, 2> Keys = {"peerSecret", "operatorKeyDigest"};
    yaml.allowKeys(Keys);
    settings.peerSecret = yaml.text("peerSecret");
    if (settings.peerSecret.size() < MinSecretBytes) {
        yaml.report(InputError::Kind::OutOfRange, "peerSecret", "a shorter text",
                    "at least 16 characters");
    }
    settings.operatorKeyDigest = yaml.text("operatorKeyDigest");
}

auto readBounds(const YamlMap &yaml, MemberSettings &settings) -> void
{
    static constexpr std::array<std::string_view, 4> Keys = {"body", "connections", "shutdown",
                                                             "settle"};
    constexpr std::uint64_t OneMiB = std::uint64_t{1024} * 1024;
    yaml.allowKeys(Keys);
    settings.maxBodyBytes = yaml.bytes("body", OneMiB);
    settings.maxConnections = yaml.number("connections", 1, 65'536, 1'024);
    settings.shutdownMilliseconds = yaml.milliseconds("shutdown", 100, 3'600'000, 30'000);
    settings.settleMilliseconds = yaml.milliseconds("settle", 0, 600'000, 1'000);
}

/// Returns the mapping at `key`; an empty one if the key is absent.
auto mapOrEmpty(const YamlMap &root, std::string_view key, InputErrors &errors) -> YamlMap
{
    if (root.has(key))
        return root.map(key);
    return {YAML::Node(YAML::NodeType::Map), "", std::string(key), errors};
}

} // namespace

auto readMemberSettings(const std::string &text, const std::string &file)
    -> tl::expected<MemberSettings, InputErrors>
{
    static constexpr std::array<std::string_view, 8> Keys = {
        "name", "dataCentre", "listen", "store", "security", "platform", "bounds", "journal"};
    auto errors = InputErrors();
    auto settings = MemberSettings();
    const auto root = parseYaml(text, file, errors);
    if (!root)
        return tl::unexpected(std::move(errors));
    root->allowKeys(Keys);
    settings.name = MemberName(root->text("name"));
    settings.dataCentre = DataCentreName(root->text("dataCentre"));
    readListen(root->map("listen"), settings);
    readStore(root->map("store"), settings);
    readSecurity(root->map("security"), settings);
    readBounds(mapOrEmpty(*root, "bounds", errors), settings);
    settings.platformEndpoint = root->endpoint("platform", "");
    settings.journalFile = root->text("journal", "");
    if (!errors.empty())
        return tl::unexpected(std::move(errors));
    return settings;
}

auto loadMemberSettings(const std::string &file) -> tl::expected<MemberSettings, InputErrors>
{
    auto input = QFile(QString::fromStdString(file));
    if (!input.open(QIODevice::ReadOnly)) {
        return tl::unexpected(InputErrors{{InputError::Kind::Unreadable, file, 0, "",
                                           input.errorString().toStdString(), "a readable file"}});
    }
    return readMemberSettings(input.readAll().toStdString(), file);
}

} // namespace shallotproxy
