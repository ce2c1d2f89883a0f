#pragma once

#include <concepts>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace shallotproxy {

/// Requirements on every error type of the project. docs/ERRORS.md lists each number.
template <typename T>
concept ErrorType = requires(const T &error)
{
    {
        error.number()
        } -> std::convertible_to<int>;
    {
        error.name()
        } -> std::convertible_to<std::string_view>;
    {
        error.message()
        } -> std::convertible_to<std::string>;
};

template <typename T, ErrorType E>
using Expected = tl::expected<T, E>;

} // namespace shallotproxy
