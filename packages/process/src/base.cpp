#include <ctime>

#include <QRandomGenerator>

#include <fmt/format.h>

#include "shallotproxy/process/base/boot_clock.hpp"
#include "shallotproxy/process/base/names.hpp"

namespace shallotproxy {

auto BootClock::now() noexcept -> time_point
{
    auto value = timespec{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point(std::chrono::seconds(value.tv_sec) + Duration(value.tv_nsec));
}

auto wallMilliseconds() -> std::int64_t
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

auto randomHex(std::size_t count) -> std::string
{
    auto text = std::string();
    for (std::size_t i = 0; i < count; ++i)
        text += fmt::format("{:02x}", QRandomGenerator::system()->generate() & 0xffU);
    return text;
}

auto randomNumber() -> std::uint64_t
{
    const auto number = QRandomGenerator::system()->generate64();
    return number == 0 ? 1 : number;
}

} // namespace shallotproxy
