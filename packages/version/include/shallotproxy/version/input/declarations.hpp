#pragma once

#include <span>
#include <string>

#include "../configuration/configuration.hpp"
#include "input_error.hpp"

namespace shallotproxy {

struct DeclarationFile
{
    std::string name;
    std::string text;
};

/// Reads declarations and validates each of them and the references between them.
/// Errors: all that are found, each with file and line. Linear in the length of the text.
auto readDeclarations(std::span<const DeclarationFile> files)
    -> tl::expected<Configuration, InputErrors>;

/// Reads the YAML files (`*.yaml`) of a directory in name order, or the single file at `path`.
auto loadDeclarationFiles(const std::string &path)
    -> tl::expected<std::vector<DeclarationFile>, InputErrors>;

} // namespace shallotproxy
