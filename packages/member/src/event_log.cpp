#include <poll.h>
#include <unistd.h>

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include "shallotproxy/member/event_log.hpp"

namespace shallotproxy {

namespace {

constexpr std::size_t MaxBufferBytes = std::size_t{256} * 1024; // about 2 s of a steward's log
constexpr std::size_t MaxWriteBytes = 4'096; // a pipe that polls ready accepts this much at once

} // namespace

/// Buffers formatted lines until they are written. Not thread-safe.
class EventLog::Sink : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    /// Writes the buffer to standard output for as long as that doesn't block.
    auto writeBuffered() -> void
    {
        auto written = std::size_t{0};
        while (written < m_buffer.size()) {
            auto ready = pollfd{STDOUT_FILENO, POLLOUT, 0};
            if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
                break;
            const auto n = write(STDOUT_FILENO, m_buffer.data() + written,
                                 std::min(m_buffer.size() - written, MaxWriteBytes));
            if (n <= 0)
                break;
            written += static_cast<std::size_t>(n);
        }
        m_buffer.erase(0, written);
    }

protected:
    auto sink_it_(const spdlog::details::log_msg &msg) // NOLINT(readability-identifier-naming)
        -> void override
    {
        auto line = spdlog::memory_buf_t();
        formatter_->format(msg, line);
        if (m_buffer.size() + line.size() > MaxBufferBytes) {
            ++m_dropped;
            return;
        }
        if (m_dropped != m_reportedDropped) {
            m_buffer += fmt::format("event=log-dropped lines={}\n", m_dropped - m_reportedDropped);
            m_reportedDropped = m_dropped;
        }
        m_buffer.append(line.data(), line.size());
    }
    auto flush_() -> void override { } // NOLINT(readability-identifier-naming)

private:
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reportedDropped = 0;
};

EventLog::EventLog(const std::string &member)
    : m_sink(std::make_shared<Sink>())
    , m_logger(std::make_shared<spdlog::logger>(member, m_sink))
{
    m_logger->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l member=%n %v", spdlog::pattern_time_type::utc);
}

EventLog::~EventLog()
{
    m_sink->writeBuffered();
}

auto EventLog::flush() -> void
{
    m_sink->writeBuffered();
}

} // namespace shallotproxy
