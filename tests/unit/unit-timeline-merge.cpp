#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <QJsonDocument>

#include "shallotproxy/process.hpp"

namespace shallotproxy {

namespace {

auto member(int number) -> Incarnation
{
    return {MemberName(fmt::format("entry-{}", number)), 1};
}

auto toJson(const TimelineEvent &event) -> QJsonObject
{
    return QJsonDocument::fromJson(QByteArray::fromStdString(timelineJson(event))).object();
}

/// Generates events of several processes with different wall clocks. Each event may have an earlier
/// event of another process as its cause.
auto randomEvents() -> std::vector<QJsonObject>
{
    constexpr auto Processes = 4;
    const auto count = *rc::gen::inRange(0, 40);
    auto skews = std::vector<std::int64_t>();
    for (auto i = 0; i < Processes; ++i)
        skews.push_back(*rc::gen::inRange<std::int64_t>(-5'000, 5'000));
    auto sequences = std::vector<std::uint64_t>(Processes);
    auto events = std::vector<QJsonObject>();
    for (auto i = 0; i < count; ++i) {
        const auto process = *rc::gen::inRange(0, Processes);
        const auto sender = *rc::gen::inRange(0, Processes);
        const auto at = static_cast<std::size_t>(process);
        auto event = TimelineEvent();
        event.source = member(process);
        event.sequence = ++sequences[at];
        event.wallMilliseconds = 10'000 + 10 * i + skews[at];
        event.kind = "test.event";
        if (sender != process) {
            event.causeSource = member(sender);
            event.causeSequence = sequences[static_cast<std::size_t>(sender)];
        }
        events.push_back(toJson(event));
    }
    return events;
}

auto position(const std::vector<QJsonObject> &events, const QJsonValue &name, qint64 sequence)
    -> std::ptrdiff_t
{
    const auto it = std::ranges::find_if(events, [&](const QJsonObject &event) {
        return event.value(QStringLiteral("member")) == name
            && event.value(QStringLiteral("sequence")).toInteger() == sequence;
    });
    return std::distance(events.begin(), it);
}

RC_GTEST_PROP(TimelineMerge, PlacesCauseBeforeEffect, ())
{
    const auto events = randomEvents();
    const auto merged = mergeTimelines(events);
    RC_ASSERT(merged.size() == events.size());
    for (std::size_t i = 0; i < merged.size(); ++i) {
        const auto at = static_cast<std::ptrdiff_t>(i);
        const auto cause = merged[i].value(QStringLiteral("causeSequence")).toInteger();
        if (cause > 0) {
            RC_ASSERT(position(merged, merged[i].value(QStringLiteral("causeMember")), cause) < at);
        }
        const auto sequence = merged[i].value(QStringLiteral("sequence")).toInteger();
        if (sequence > 1) {
            RC_ASSERT(position(merged, merged[i].value(QStringLiteral("member")), sequence - 1)
                      < at);
        }
    }
}

TEST(TimelineMerge, OrdersUnrelatedEventsByWallClock)
{
    auto first = TimelineEvent();
    first.source = member(1);
    first.sequence = 1;
    first.wallMilliseconds = 20;
    auto second = first;
    second.source = member(2);
    second.wallMilliseconds = 10;
    const auto merged = mergeTimelines({toJson(first), toJson(second)});
    EXPECT_EQ(merged.front().value(QStringLiteral("member")).toString().toStdString(), "entry-2");
}

TEST(TimelineMerge, IgnoresMissingCause)
{
    auto event = TimelineEvent();
    event.source = member(1);
    event.sequence = 1;
    event.causeSource = member(2);
    event.causeSequence = 9;
    EXPECT_EQ(mergeTimelines({toJson(event)}).size(), 1U);
}

TEST(Timeline, ReturnsEventsInSequenceOrder)
{
    auto timeline = Timeline(member(1), "");
    EXPECT_EQ(timeline.lastSequence(), 0U);
    timeline.record("test.first", "a", 1);
    timeline.record("test.second", "b", 1);
    EXPECT_EQ(timeline.lastSequence(), 2U);
    const auto events = timeline.eventsAfter(1, 10);
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events.front().kind, "test.second");
}

} // namespace

} // namespace shallotproxy
