#include <array>
#include <atomic>
#include <cstdio>

#include "shallotproxy/process/base/boot_clock.hpp"
#include "shallotproxy/process/observe/log.hpp"

namespace shallotproxy {

namespace {

std::atomic<LogLevel> minLevel = LogLevel::Info;

constexpr std::array<std::string_view, 4> LevelNames = {"debug", "info", "warning", "error"};

} // namespace

auto setLogLevel(LogLevel level) -> void
{
    minLevel.store(level);
}

auto isLogged(LogLevel level) -> bool
{
    return level >= minLevel.load();
}

auto writeLog(LogLevel level, std::string_view component, std::string_view text) -> void
{
    // The whole line is written by one call, so that lines of different threads are not
    // interleaved.
    const auto line = fmt::format("{} {} {}: {}\n", wallMilliseconds(),
                                  LevelNames.at(static_cast<std::size_t>(level)), component, text);
    std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace shallotproxy
