#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "shallotproxy/process/base/error.hpp"

namespace shallotproxy {

/// An error in a settings or declaration file, with its position.
struct InputError
{
    enum class Kind {
        Unreadable = 101,
        Syntax = 102,
        UnknownKey = 103,
        MissingKey = 104,
        WrongType = 105,
        OutOfRange = 106,
        Duplicate = 107,
        UnknownReference = 108,
        Unreachable = 109,
    };

    Kind kind = Kind::Syntax;
    std::string file;
    int line = 0; // starts at 1; 0 if the error concerns the file as a whole
    std::string key;
    std::string found;
    std::string allowed;

    [[nodiscard]] auto number() const -> int { return static_cast<int>(kind); }
    [[nodiscard]] auto name() const -> std::string_view;
    [[nodiscard]] auto message() const -> std::string;
};

using InputErrors = std::vector<InputError>;

} // namespace shallotproxy
