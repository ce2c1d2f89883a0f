#include "shallotproxy/demand/resources.hpp"

namespace shallotproxy {

auto Resources::operator+=(const Resources &other) -> Resources &
{
    milliCores += other.milliCores;
    memoryMegabytes += other.memoryMegabytes;
    accelerators += other.accelerators;
    return *this;
}

auto Resources::operator-=(const Resources &other) -> Resources &
{
    milliCores -= other.milliCores;
    memoryMegabytes -= other.memoryMegabytes;
    accelerators -= other.accelerators;
    return *this;
}

auto operator+(Resources left, const Resources &right) -> Resources
{
    return left += right;
}

auto operator-(Resources left, const Resources &right) -> Resources
{
    return left -= right;
}

auto operator*(const Resources &resources, std::int64_t count) -> Resources
{
    return {resources.milliCores * count, resources.memoryMegabytes * count,
            resources.accelerators * count};
}

} // namespace shallotproxy
