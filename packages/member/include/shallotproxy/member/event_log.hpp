#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <fmt/format.h>
#include <spdlog/logger.h>

namespace shallotproxy {

/// Structured lines on standard output: `TIME level event=NAME key=value ...`.
///
/// Lines wait in a bounded buffer that flush() writes without ever blocking. What doesn't fit is
/// dropped, and the next line that fits tells how much was.
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
    /// Writes what standard output takes at once.
    auto flush() -> void;

private:
    class Sink;

    std::shared_ptr<Sink> m_sink;
    std::shared_ptr<spdlog::logger> m_logger;
};

} // namespace shallotproxy
