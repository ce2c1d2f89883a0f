#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <yaml-cpp/yaml.h>

#include "input_error.hpp"

namespace shallotproxy {

/// Reads a YAML mapping and collects every error in it. A value that is missing without a fallback,
/// or invalid, is reported; the function then returns a placeholder.
class YamlMap
{
public:
    YamlMap(const YAML::Node &node, std::string file, std::string path, InputErrors &errors);

    /// Reports each duplicate key, and each that is not among these, with the nearest known key.
    auto allowKeys(std::span<const std::string_view> known) const -> void;

    [[nodiscard]] auto has(std::string_view key) const -> bool;
    [[nodiscard]] auto line(std::string_view key) const -> int;
    auto text(std::string_view key, const std::optional<std::string> &fallback = {}) const
        -> std::string;
    auto number(std::string_view key, std::uint64_t low, std::uint64_t high,
                std::optional<std::uint64_t> fallback = {}) const -> std::uint64_t;
    auto flag(std::string_view key, bool fallback) const -> bool;
    /// Reads a time with its unit (`250 ms`, `3 s`, `10 min`); returns milliseconds.
    auto milliseconds(std::string_view key, std::uint64_t low, std::uint64_t high,
                      std::optional<std::uint64_t> fallback = {}) const -> std::uint64_t;
    /// Reads a size with its unit (`4 GiB`); returns bytes.
    auto bytes(std::string_view key, std::optional<std::uint64_t> fallback = {}) const
        -> std::uint64_t;
    /// Returns the index of the value in `words`; 0 if the key is absent.
    auto word(std::string_view key, std::span<const std::string_view> words) const -> std::size_t;
    /// Reads `ADDRESS:PORT` with a numeric address.
    auto endpoint(std::string_view key, const std::optional<std::string> &fallback = {}) const
        -> std::string;
    [[nodiscard]] auto map(std::string_view key) const -> YamlMap;
    [[nodiscard]] auto list(std::string_view key) const -> std::vector<YamlMap>;

    auto report(InputError::Kind kind, std::string_view key, std::string found,
                std::string allowed) const -> void;

private:
    [[nodiscard]] auto at(std::string_view key) const -> YAML::Node;

    YAML::Node m_node;
    std::string m_file;
    std::string m_path;
    InputErrors *m_errors;
};

/// Parses the text of a file and returns its top-level mapping; no value if it is not valid.
auto parseYaml(const std::string &text, const std::string &file, InputErrors &errors)
    -> std::optional<YamlMap>;

/// Returns the known word with the smallest edit distance; empty if none is close.
auto nearestWord(std::string_view word, std::span<const std::string_view> known)
    -> std::string_view;

} // namespace shallotproxy
