#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <fmt/format.h>
#include <spdlog/logger.h>

namespace shallotproxy {

/// Writes structured log lines to standard output: `TIME level event=NAME key=value ...`.
///
/// Lines are held in a bounded buffer that flush() writes without blocking. Lines that don't fit
/// are dropped; a `log-dropped` line with their number precedes the next line that fits.
class EventLog
{
public:
    explicit EventLog(const std::string &member);
    ~EventLog();
    EventLog(const EventLog &) = delete;
    auto operator=(const EventLog &) -> EventLog & = delete;

    template <typename... Args>
    auto info(fmt::format_string<Args...> format, Args &&...args) -> void
    {
        m_logger->info(fmt::format(format, std::forward<Args>(args)...));
    }
    template <typename... Args>
    auto warning(fmt::format_string<Args...> format, Args &&...args) -> void
    {
        m_logger->warn(fmt::format(format, std::forward<Args>(args)...));
    }
    /// Writes as much of the buffer as standard output accepts without blocking.
    auto flush() -> void;

private:
    class Sink;

    std::shared_ptr<Sink> m_sink;
    std::shared_ptr<spdlog::logger> m_logger;
};

} // namespace shallotproxy
