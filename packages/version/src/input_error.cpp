#include <fmt/format.h>

#include "shallotproxy/version/input/input_error.hpp"

namespace shallotproxy {

auto InputError::name() const -> std::string_view
{
    switch (kind) {
    case Kind::Unreadable:
        return "unreadable-file";
    case Kind::Syntax:
        return "syntax";
    case Kind::UnknownKey:
        return "unknown-key";
    case Kind::MissingKey:
        return "missing-key";
    case Kind::WrongType:
        return "wrong-type";
    case Kind::OutOfRange:
        return "out-of-range";
    case Kind::Duplicate:
        return "duplicate";
    case Kind::UnknownReference:
        return "unknown-reference";
    case Kind::Unreachable:
        break;
    }
    return "unreachable";
}

auto InputError::message() const -> std::string
{
    return fmt::format("{}:{}: {} ({}): {}: found {}, allowed: {}", file, line, name(), number(),
                       key, found, allowed);
}

} // namespace shallotproxy
