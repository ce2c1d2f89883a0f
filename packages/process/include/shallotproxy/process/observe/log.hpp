#pragma once

#include <string_view>

#include <fmt/format.h>

namespace shallotproxy {

enum class LogLevel { Debug, Info, Warning, Error };

/// Sets the lowest level that is written. Thread-safe.
auto setLogLevel(LogLevel level) -> void;

/// Returns whether a line of this level would be written.
auto isLogged(LogLevel level) -> bool;

/// Writes one line to standard error.
auto writeLog(LogLevel level, std::string_view component, std::string_view text) -> void;

/// Logger of one component; every line is prefixed with the name of the component.
class Log
{
public:
    constexpr explicit Log(std::string_view component)
        : m_component(component)
    { }

    template <typename... Args>
    auto debug(fmt::format_string<Args...> format, Args &&...args) const -> void
    {
        write(LogLevel::Debug, format, std::forward<Args>(args)...);
    }
    template <typename... Args>
    auto info(fmt::format_string<Args...> format, Args &&...args) const -> void
    {
        write(LogLevel::Info, format, std::forward<Args>(args)...);
    }
    template <typename... Args>
    auto warning(fmt::format_string<Args...> format, Args &&...args) const -> void
    {
        write(LogLevel::Warning, format, std::forward<Args>(args)...);
    }
    template <typename... Args>
    auto error(fmt::format_string<Args...> format, Args &&...args) const -> void
    {
        write(LogLevel::Error, format, std::forward<Args>(args)...);
    }

private:
    template <typename... Args>
    auto write(LogLevel level, fmt::format_string<Args...> format, Args &&...args) const -> void
    {
        if (isLogged(level))
            writeLog(level, m_component, fmt::format(format, std::forward<Args>(args)...));
    }

    std::string_view m_component;
};

} // namespace shallotproxy
