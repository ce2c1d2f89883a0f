#pragma once

#include <cstdint>

#include <msgpack.hpp>

namespace shallotproxy {

/// Resources that a task needs on its worker, or that a worker offers.
struct Resources
{
    std::int64_t milliCores = 0;
    std::int64_t memoryMegabytes = 0;
    std::int64_t accelerators = 0;

    /// Whether `other` fits into these resources.
    [[nodiscard]] auto covers(const Resources &other) const -> bool
    {
        return other.milliCores <= milliCores && other.memoryMegabytes <= memoryMegabytes
            && other.accelerators <= accelerators;
    }
    auto operator+=(const Resources &other) -> Resources &;
    auto operator-=(const Resources &other) -> Resources &;
    auto operator==(const Resources &) const -> bool = default;

    MSGPACK_DEFINE(milliCores, memoryMegabytes, accelerators)
};

auto operator+(Resources left, const Resources &right) -> Resources;
auto operator-(Resources left, const Resources &right) -> Resources;
auto operator*(const Resources &resources, std::int64_t count) -> Resources;

} // namespace shallotproxy
