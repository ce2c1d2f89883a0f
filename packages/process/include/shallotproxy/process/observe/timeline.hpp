#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "../base/boot_clock.hpp"
#include "../base/names.hpp"

namespace shallotproxy {

/// One attribute of a timeline event.
struct TimelineAttribute
{
    std::string key;
    std::string value;
    MSGPACK_DEFINE(key, value)
};

/// One event of the timeline. `kind` is dotted, as in `request.start`; `subject` is the request,
/// host, team or intent that the event concerns. For an event caused by a received message,
/// `causeSource` and `causeSequence` name the event of its sender.
struct TimelineEvent
{
    Incarnation source;
    std::uint64_t sequence = 0;
    std::int64_t bootNanoseconds = 0;
    std::int64_t wallMilliseconds = 0;
    std::string kind;
    std::string subject;
    ConfigurationVersion version = 0;
    std::vector<TimelineAttribute> attributes;
    Incarnation causeSource;
    std::uint64_t causeSequence = 0;

    MSGPACK_DEFINE(source, sequence, bootNanoseconds, wallMilliseconds, kind, subject, version,
                   attributes, causeSource, causeSequence)
};

/// Returns an event as one line of JSON, without a line terminator.
auto timelineJson(const TimelineEvent &event) -> std::string;

/// Keeps the newest events of a process in memory and, if a journal file is set, appends each event
/// to it unbuffered, so that the events of a killed process are preserved. Thread-safe.
class Timeline
{
public:
    /// Maximum number of events that are kept in memory.
    static constexpr std::size_t Capacity = 65'536;

    Timeline(Incarnation source, const std::string &journalFile);
    ~Timeline();
    Timeline(const Timeline &) = delete;
    auto operator=(const Timeline &) -> Timeline & = delete;

    /// Records an event and returns its sequence number.
    auto record(std::string_view kind, std::string_view subject, ConfigurationVersion version,
                std::vector<TimelineAttribute> attributes = {}, const Incarnation &causeSource = {},
                std::uint64_t causeSequence = 0) -> std::uint64_t;
    /// Returns the events whose sequence number is greater than `after`, oldest first, at most
    /// `limit`.
    [[nodiscard]] auto eventsAfter(std::uint64_t after, std::size_t limit) const
        -> std::vector<TimelineEvent>;
    /// Returns the sequence number of the newest event, 0 before the first one.
    [[nodiscard]] auto lastSequence() const -> std::uint64_t;
    [[nodiscard]] auto source() const -> const Incarnation & { return m_source; }

private:
    Incarnation m_source;
    int m_journal = -1;
    mutable std::mutex m_mutex;
    std::deque<TimelineEvent> m_events;
    std::uint64_t m_sequence = 0;
};

} // namespace shallotproxy
