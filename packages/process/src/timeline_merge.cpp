#include <algorithm>
#include <map>
#include <utility>

#include <fmt/format.h>

#include "shallotproxy/process/observe/timeline_merge.hpp"

namespace shallotproxy {

namespace {

using namespace Qt::StringLiterals;

using ProcessKey = std::pair<QString, QString>; // Member and incarnation.

auto textOf(const QJsonObject &event, QLatin1StringView key) -> std::string
{
    return event.value(key).toString().toStdString();
}

auto processOf(const QJsonObject &event) -> ProcessKey
{
    return {event.value("member"_L1).toString(), event.value("incarnation"_L1).toString()};
}

auto sequenceOf(const QJsonObject &event) -> qint64
{
    return event.value("sequence"_L1).toInteger();
}

struct Stream
{
    std::vector<QJsonObject> events;
    std::size_t next = 0;
};

/// Returns whether the cause of the event has been merged or is not among the events.
auto isCauseMerged(const QJsonObject &event, const std::map<ProcessKey, Stream> &streams) -> bool
{
    const auto sequence = event.value("causeSequence"_L1).toInteger();
    const auto it = streams.find(
        {event.value("causeMember"_L1).toString(), event.value("causeIncarnation"_L1).toString()});
    if (sequence == 0 || it == streams.end() || it->second.next == it->second.events.size())
        return true;
    return sequenceOf(it->second.events[it->second.next]) > sequence;
}

} // namespace

auto mergeTimelines(std::vector<QJsonObject> events) -> std::vector<QJsonObject>
{
    auto streams = std::map<ProcessKey, Stream>();
    for (auto &it : events)
        streams[processOf(it)].events.push_back(std::move(it));
    for (auto &[key, stream] : streams)
        std::ranges::sort(stream.events, {}, sequenceOf);

    auto merged = std::vector<QJsonObject>();
    merged.reserve(events.size());
    while (merged.size() < events.size()) {
        Stream *best = nullptr;
        Stream *earliest = nullptr;
        const auto wall = [](const Stream &it) {
            return it.events[it.next].value("wallMs"_L1).toInteger();
        };
        for (auto &[key, stream] : streams) {
            if (stream.next == stream.events.size())
                continue;
            if (earliest == nullptr || wall(stream) < wall(*earliest))
                earliest = &stream;
            const auto isReady = isCauseMerged(stream.events[stream.next], streams);
            if (isReady && (best == nullptr || wall(stream) < wall(*best)))
                best = &stream;
        }
        auto &chosen = best == nullptr ? *earliest : *best;
        merged.push_back(std::move(chosen.events[chosen.next]));
        ++chosen.next;
    }
    return merged;
}

auto describeEvent(const QJsonObject &event) -> std::string
{
    auto text = fmt::format("{} {:14} {:22} {} v{}", event.value("wallMs"_L1).toInteger(),
                            textOf(event, "member"_L1), textOf(event, "kind"_L1),
                            textOf(event, "subject"_L1), event.value("version"_L1).toInteger());
    const auto attributes = event.value("attributes"_L1).toObject();
    for (auto it = attributes.begin(); it != attributes.end(); ++it)
        text += fmt::format(" {}={}", it.key().toStdString(), it.value().toString().toStdString());
    return text;
}

} // namespace shallotproxy
