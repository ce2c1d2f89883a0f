#include <algorithm>
#include <array>
#include <charconv>
#include <numeric>
#include <set>

#include <QHostAddress>

#include <fmt/format.h>

#include "shallotproxy/version/input/yaml_reader.hpp"

namespace shallotproxy {

namespace {

struct Unit
{
    std::string_view name;
    std::uint64_t factor;
};

constexpr std::array<Unit, 4> TimeUnits = {Unit{"ms", 1}, Unit{"s", 1'000}, Unit{"min", 60'000},
                                           Unit{"h", 3'600'000}};

constexpr std::uint64_t KiB = 1024;
constexpr std::array<Unit, 5> SizeUnits = {Unit{"B", 1}, Unit{"KiB", KiB}, Unit{"MiB", KiB *KiB},
                                           Unit{"GiB", KiB *KiB *KiB},
                                           Unit{"TiB", KiB *KiB *KiB *KiB}};

auto parseNumber(std::string_view text) -> std::optional<std::uint64_t>
{
    auto value = std::uint64_t{0};
    const auto *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc() || result.ptr != end || text.empty())
        return std::nullopt;
    return value;
}

auto parseWithUnit(std::string_view text, std::span<const Unit> units)
    -> std::optional<std::uint64_t>
{
    const auto split = text.find_first_not_of("0123456789");
    if (split == std::string_view::npos)
        return std::nullopt;
    const auto n = parseNumber(text.substr(0, split));
    auto unit = text.substr(split);
    while (!unit.empty() && unit.front() == ' ')
        unit.remove_prefix(1);
    const auto it = std::ranges::find(units, unit, &Unit::name);
    if (!n || it == units.end() || *n > UINT64_MAX / it->factor)
        return std::nullopt;
    return *n * it->factor;
}

auto joinWords(std::span<const std::string_view> words) -> std::string
{
    return fmt::format("{}", fmt::join(words, ", "));
}

auto editDistance(std::string_view left, std::string_view right) -> std::size_t
{
    auto row = std::vector<std::size_t>(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= left.size(); ++i) {
        auto diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const auto substitution = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitution});
        }
    }
    return row.back();
}

auto isEndpoint(const std::string &text) -> bool
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    auto address = text.substr(0, colon);
    if (address.size() > 2 && address.front() == '[' && address.back() == ']')
        address = address.substr(1, address.size() - 2);
    const auto port = parseNumber(std::string_view(text).substr(colon + 1));
    return !QHostAddress(QString::fromStdString(address)).isNull() && port && *port > 0
        && *port <= 65'535;
}

} // namespace

auto nearestWord(std::string_view word, std::span<const std::string_view> known) -> std::string_view
{
    constexpr std::size_t MaxDistance = 4;
    auto best = std::string_view();
    auto bestDistance = MaxDistance;
    for (const auto &it : known) {
        const auto distance = editDistance(word, it);
        if (distance < bestDistance) {
            best = it;
            bestDistance = distance;
        }
    }
    return best;
}

YamlMap::YamlMap(const YAML::Node &node, std::string file, std::string path, InputErrors &errors)
    : m_node(node)
    , m_file(std::move(file))
    , m_path(std::move(path))
    , m_errors(&errors)
{ }

auto YamlMap::at(std::string_view key) const -> YAML::Node
{
    // The const operator[] never adds the key; the non-const one does.
    const auto &node = m_node;
    if (!node.IsMap())
        return YAML::Node(YAML::NodeType::Undefined);
    return node[std::string(key)];
}

auto YamlMap::has(std::string_view key) const -> bool
{
    return at(key).IsDefined();
}

auto YamlMap::line(std::string_view key) const -> int
{
    const auto node = at(key);
    const auto mark = node.IsDefined() ? node.Mark() : m_node.Mark();
    return mark.line + 1;
}

auto YamlMap::report(InputError::Kind kind, std::string_view key, std::string found,
                     std::string allowed) const -> void
{
    const auto path = m_path.empty() ? std::string(key) : fmt::format("{}.{}", m_path, key);
    m_errors->push_back({kind, m_file, line(key), path, std::move(found), std::move(allowed)});
}

auto YamlMap::allowKeys(std::span<const std::string_view> known) const -> void
{
    if (!m_node.IsMap()) {
        report(InputError::Kind::WrongType, "", "no mapping", "a mapping");
        return;
    }
    auto seen = std::set<std::string>();
    for (const auto &it : m_node) {
        const auto key = it.first.as<std::string>("");
        if (!seen.insert(key).second) {
            const auto path = m_path.empty() ? key : fmt::format("{}.{}", m_path, key);
            m_errors->push_back({InputError::Kind::Duplicate, m_file, it.first.Mark().line + 1,
                                 path, fmt::format("'{}' again", key), "each key once"});
        }
        if (std::ranges::find(known, key) != known.end())
            continue;
        const auto nearest = nearestWord(key, known);
        const auto hint = nearest.empty()
            ? joinWords(known)
            : fmt::format("did you mean '{}'? known: {}", nearest, joinWords(known));
        const auto path = m_path.empty() ? key : fmt::format("{}.{}", m_path, key);
        m_errors->push_back({InputError::Kind::UnknownKey, m_file, it.first.Mark().line + 1, path,
                             fmt::format("'{}'", key), hint});
    }
}

auto YamlMap::text(std::string_view key, const std::optional<std::string> &fallback) const
    -> std::string
{
    const auto node = at(key);
    if (!node.IsDefined()) {
        if (!fallback)
            report(InputError::Kind::MissingKey, key, "nothing", "a text");
        return fallback.value_or("");
    }
    if (!node.IsScalar() || node.Scalar().empty()) {
        report(InputError::Kind::WrongType, key, "no text", "a text that is not empty");
        return "";
    }
    return node.Scalar();
}

auto YamlMap::number(std::string_view key, std::uint64_t low, std::uint64_t high,
                     std::optional<std::uint64_t> fallback) const -> std::uint64_t
{
    const auto range = fmt::format("a whole number from {} to {}", low, high);
    if (!has(key)) {
        if (!fallback)
            report(InputError::Kind::MissingKey, key, "nothing", range);
        return fallback.value_or(low);
    }
    const auto value = text(key);
    const auto n = parseNumber(value);
    if (!n) {
        report(InputError::Kind::WrongType, key, fmt::format("'{}'", value), range);
        return low;
    }
    if (*n < low || *n > high) {
        report(InputError::Kind::OutOfRange, key, value, range);
        return low;
    }
    return *n;
}

auto YamlMap::flag(std::string_view key, bool fallback) const -> bool
{
    const auto node = at(key);
    if (!node.IsDefined())
        return fallback;
    if (node.IsScalar() && (node.Scalar() == "true" || node.Scalar() == "false"))
        return node.Scalar() == "true";
    report(InputError::Kind::WrongType, key, node.IsScalar() ? node.Scalar() : "no scalar",
           "true or false");
    return fallback;
}

auto YamlMap::milliseconds(std::string_view key, std::uint64_t low, std::uint64_t high,
                           std::optional<std::uint64_t> fallback) const -> std::uint64_t
{
    const auto range =
        fmt::format("a time from {} ms to {} ms with its unit, as '250 ms'", low, high);
    if (!has(key)) {
        if (!fallback)
            report(InputError::Kind::MissingKey, key, "nothing", range);
        return fallback.value_or(low);
    }
    const auto value = text(key);
    const auto n = parseWithUnit(value, TimeUnits);
    if (!n) {
        report(InputError::Kind::WrongType, key, fmt::format("'{}'", value), range);
        return low;
    }
    if (*n < low || *n > high) {
        report(InputError::Kind::OutOfRange, key, fmt::format("'{}'", value), range);
        return low;
    }
    return *n;
}

auto YamlMap::bytes(std::string_view key, std::optional<std::uint64_t> fallback) const
    -> std::uint64_t
{
    constexpr auto Allowed = "a size with its unit, as '4 GiB'";
    if (!has(key)) {
        if (!fallback)
            report(InputError::Kind::MissingKey, key, "nothing", Allowed);
        return fallback.value_or(0);
    }
    const auto value = text(key);
    const auto n = parseWithUnit(value, SizeUnits);
    if (!n)
        report(InputError::Kind::WrongType, key, fmt::format("'{}'", value), Allowed);
    return n.value_or(0);
}

auto YamlMap::word(std::string_view key, std::span<const std::string_view> words) const
    -> std::size_t
{
    if (!has(key))
        return 0;
    const auto value = text(key);
    const auto it = std::ranges::find(words, value);
    if (it != words.end())
        return static_cast<std::size_t>(std::distance(words.begin(), it));
    report(InputError::Kind::OutOfRange, key, fmt::format("'{}'", value),
           fmt::format("one of {}", joinWords(words)));
    return 0;
}

auto YamlMap::endpoint(std::string_view key, const std::optional<std::string> &fallback) const
    -> std::string
{
    auto value = text(key, fallback);
    if (has(key) && !isEndpoint(value)) {
        report(InputError::Kind::WrongType, key, fmt::format("'{}'", value),
               "ADDRESS:PORT with a numeric address");
    }
    return value;
}

auto YamlMap::map(std::string_view key) const -> YamlMap
{
    const auto node = at(key);
    if (!node.IsDefined())
        report(InputError::Kind::MissingKey, key, "nothing", "a mapping");
    const auto path = m_path.empty() ? std::string(key) : fmt::format("{}.{}", m_path, key);
    return {node.IsDefined() ? node : YAML::Node(YAML::NodeType::Map), m_file, path, *m_errors};
}

auto YamlMap::list(std::string_view key) const -> std::vector<YamlMap>
{
    auto entries = std::vector<YamlMap>();
    const auto node = at(key);
    if (!node.IsDefined())
        return entries;
    if (!node.IsSequence()) {
        report(InputError::Kind::WrongType, key, "no list", "a list");
        return entries;
    }
    for (std::size_t i = 0; i < node.size(); ++i) {
        const auto path = fmt::format("{}{}{}[{}]", m_path, m_path.empty() ? "" : ".", key, i);
        entries.emplace_back(node[i], m_file, path, *m_errors);
    }
    return entries;
}

auto parseYaml(const std::string &text, const std::string &file, InputErrors &errors)
    -> std::optional<YamlMap>
{
    try {
        const auto node = YAML::Load(text);
        if (node.IsMap())
            return YamlMap(node, file, "", errors);
        errors.push_back({InputError::Kind::WrongType, file, 1, "", "no mapping", "a mapping"});
    } catch (const YAML::Exception &ec) {
        errors.push_back(
            {InputError::Kind::Syntax, file, ec.mark.line + 1, "", ec.msg, "valid YAML"});
    }
    return std::nullopt;
}

} // namespace shallotproxy
