#include "timeline_checker.hpp"

#include <algorithm>
#include <optional>
#include <set>

#include <QJsonDocument>
#include <QJsonObject>

#include <fmt/format.h>

namespace shallotproxy::test {

namespace {

using namespace Qt::StringLiterals;
using namespace std::chrono_literals;

using Nanoseconds = std::chrono::nanoseconds;

constexpr Nanoseconds Never = Nanoseconds::max();

/// One life of one member.
struct ProcessName
{
    std::string member;
    std::string incarnation;
    auto operator<=>(const ProcessName &other) const = default;
};

struct Event
{
    ProcessName process;
    std::int64_t sequence = 0;
    Nanoseconds at = 0ns; // on the boot clock that all processes of the machine share
    std::string kind;
    std::string subject;
    std::int64_t version = 0;
    std::map<std::string, std::string> attributes;

    [[nodiscard]] auto attribute(const std::string &key) const -> std::string
    {
        const auto it = attributes.find(key);
        return it == attributes.end() ? std::string() : it->second;
    }
};

auto textOf(const QJsonObject &object, QLatin1StringView key) -> std::string
{
    return object.value(key).toString().toStdString();
}

auto parseEvent(const std::string &line) -> std::optional<Event>
{
    const auto object = QJsonDocument::fromJson(QByteArray::fromStdString(line)).object();
    if (object.isEmpty())
        return std::nullopt;
    auto event = Event();
    event.process = {textOf(object, "member"_L1), textOf(object, "incarnation"_L1)};
    event.sequence = object.value("sequence"_L1).toInteger();
    event.at = Nanoseconds(object.value("bootNs"_L1).toInteger());
    event.kind = textOf(object, "kind"_L1);
    event.subject = textOf(object, "subject"_L1);
    event.version = object.value("version"_L1).toInteger();
    const auto attributes = object.value("attributes"_L1).toObject();
    for (auto it = attributes.begin(); it != attributes.end(); ++it)
        event.attributes[it.key().toStdString()] = it.value().toString().toStdString();
    return event;
}

/// A time in which something must not start, from when it must be in force.
struct OutTime
{
    Nanoseconds from = 0ns;
    Nanoseconds to = Never;
};

using OutTimes = std::map<std::string, std::vector<OutTime>>;

auto isOut(const OutTimes &times, const std::string &name, Nanoseconds at) -> bool
{
    const auto it = times.find(name);
    return it != times.end() && std::ranges::any_of(it->second, [at](const OutTime &out) {
               return out.from <= at && at < out.to;
           });
}

/// What the events say of one request.
struct RequestStory
{
    const Event *arrival = nullptr;
    std::vector<const Event *> starts;
    std::size_t notSent = 0;
    std::size_t failed = 0;
    std::vector<const Event *> ends; // ends and drops
    std::vector<const Event *> steps; // all of them in the order of time
};

class Checker
{
public:
    Checker(std::span<const std::string> lines, const TimelineRules &rules)
        : m_rules(rules)
    {
        for (const auto &line : lines) {
            auto event = parseEvent(line);
            if (event) {
                m_events.push_back(std::move(*event));
            } else {
                add(Promise::WholeJournal, "journal", "unreadable line: " + line);
            }
        }
        std::ranges::stable_sort(m_events, [](const Event &a, const Event &b) {
            return a.at != b.at ? a.at < b.at : a.sequence < b.sequence;
        });
        collect();
    }

    auto check() -> std::vector<Violation>
    {
        checkSequences();
        checkVersions();
        checkRequests();
        checkStarts();
        checkLimits();
        return std::move(m_violations);
    }

private:
    auto add(Promise promise, std::string subject, std::string detail) -> void
    {
        m_violations.push_back({promise, std::move(subject), std::move(detail)});
    }

    auto collect() -> void
    {
        for (const auto &event : m_events) {
            if (event.kind == "member.stop")
                m_stopped.insert(event.process);
            if (event.kind.starts_with("request."))
                collectRequest(event);
            if (event.kind == "intent.applied")
                collectApplied(event);
            if (event.kind == "intent.confirm")
                collectConfirmed(event);
        }
    }

    auto collectRequest(const Event &event) -> void
    {
        auto &story = m_requests[event.subject];
        story.steps.push_back(&event);
        if (event.kind == "request.arrive")
            story.arrival = &event;
        if (event.kind == "request.start")
            story.starts.push_back(&event);
        if (event.kind == "request.not-sent")
            ++story.notSent;
        if (event.kind == "request.fail")
            ++story.failed;
        if (event.kind == "request.end" || event.kind == "request.drop")
            story.ends.push_back(&event);
    }

    auto timesOf(const Event &event) -> std::vector<OutTime> *
    {
        const auto what = event.attribute("what");
        const auto name = event.attribute("name");
        if (what == "data-centre")
            return &m_outDataCentres[name];
        if (what == "host")
            return &m_outHosts[name];
        if (what == "pool")
            return &m_outPools[name];
        if (what == "keys")
            return &m_teamsWithoutKeys[name];
        return nullptr;
    }

    // Taking something out counts from when it was answered as applied, plus the bound.
    auto collectApplied(const Event &event) -> void
    {
        if (!event.attributes.contains("version")) {
            add(Promise::WholeJournal, event.subject, "intent.applied without its version");
            return;
        }
        const auto version = std::stoll(event.attribute("version"));
        m_applied.push_back({event.at + m_rules.inForceWithin, version, event.subject});
        auto *times = timesOf(event);
        if (times != nullptr && event.attribute("state") != "in")
            times->push_back({event.at + m_rules.inForceWithin, Never});
    }

    // Bringing it back may be in force as soon as it was confirmed.
    auto collectConfirmed(const Event &event) -> void
    {
        auto *times = timesOf(event);
        if (times == nullptr || event.attribute("state") != "in")
            return;
        for (auto &it : *times)
            it.to = std::min(it.to, event.at);
    }

    auto checkSequences() -> void
    {
        auto sequences = std::map<ProcessName, std::vector<std::int64_t>>();
        for (const auto &event : m_events)
            sequences[event.process].push_back(event.sequence);
        for (auto &[process, numbers] : sequences) {
            std::ranges::sort(numbers);
            for (std::size_t i = 0; i < numbers.size(); ++i) {
                if (numbers[i] == static_cast<std::int64_t>(i) + 1)
                    continue;
                add(Promise::WholeJournal, process.member,
                    fmt::format("event {} of incarnation {} is missing or twice", i + 1,
                                process.incarnation));
                break;
            }
        }
    }

    auto checkVersions() -> void
    {
        auto held = std::map<std::pair<ProcessName, std::string>, std::int64_t>();
        auto served = std::map<std::string, std::int64_t>(); // per member, over its incarnations
        for (const auto &event : m_events) {
            if (event.kind != "configuration.hold" && event.kind != "configuration.serve")
                continue;
            auto &last = held[{event.process, event.kind}];
            if (event.version < last) {
                add(Promise::NeverReverts, event.process.member,
                    fmt::format("{} {} after {}", event.kind, event.version, last));
            }
            last = std::max(last, event.version);
            if (event.kind != "configuration.serve")
                continue;
            auto &highest = served[event.process.member];
            if (event.version < highest) {
                add(Promise::NeverReverts, event.process.member,
                    fmt::format("serves {} after {}", event.version, highest));
            }
            highest = std::max(highest, event.version);
        }
    }

    auto checkRequests() -> void
    {
        for (const auto &[id, story] : m_requests) {
            if (story.arrival == nullptr)
                add(Promise::WholeJournal, id, "events without an arrival");
            checkOnce(id, story);
            checkEnds(id, story);
        }
    }

    auto checkOnce(const std::string &id, const RequestStory &story) -> void
    {
        const auto starts = story.starts.size();
        if (story.notSent > starts)
            add(Promise::WholeJournal, id, "more not-sent than starts");
        const auto retries = isIdempotent(story) ? story.failed : 0;
        if (starts > 1 + story.notSent + retries) {
            add(Promise::AtMostOnce, id,
                fmt::format("{} starts, {} not sent, {} failed, queue {}", starts, story.notSent,
                            story.failed, queueOf(story)));
        }
        const auto isNotRun = std::ranges::any_of(story.ends, [](const Event *event) {
            return event->kind == "request.drop" || event->attribute("outcome") == "not-run";
        });
        if (isNotRun && starts > story.notSent) {
            add(Promise::TrueNotRun, id,
                fmt::format("{} starts, {} not sent", starts, story.notSent));
        }
    }

    static auto queueOf(const RequestStory &story) -> std::string
    {
        return story.arrival == nullptr ? std::string() : story.arrival->attribute("queue");
    }

    [[nodiscard]] auto isIdempotent(const RequestStory &story) const -> bool
    {
        return m_rules.idempotentQueues.contains(queueOf(story));
    }

    auto checkEnds(const std::string &id, const RequestStory &story) -> void
    {
        const auto ends = story.ends.size();
        if (ends > 1)
            add(Promise::OneAnswer, id, fmt::format("{} ends", ends));
        // A repeat of a claimed request gets the kept answer without a run.
        const auto isRun = ends == 1 && story.ends.front()->attribute("outcome") == "answered"
            && story.ends.front()->attribute("replayed").empty();
        if (isRun && story.starts.empty())
            add(Promise::OneAnswer, id, "answered without a start");
        const auto *any = story.arrival;
        if (ends == 0 && any != nullptr && m_stopped.contains(any->process))
            add(Promise::GracefulShutdown, id, "open when its member stopped");
    }

    auto checkStarts() -> void
    {
        auto pools = std::map<std::pair<std::int64_t, std::string>, std::string>();
        for (const auto &event : m_events) {
            if (event.kind != "request.start" && event.kind != "task.start")
                continue;
            const auto host = event.attribute("host");
            const auto pool = event.attribute("pool");
            const auto [it, isNew] = pools.try_emplace({event.version, host}, pool);
            if (!isNew && it->second != pool) {
                add(Promise::OnePool, host,
                    fmt::format("in {} and {} at version {}", it->second, pool, event.version));
            }
            if (isOut(m_outDataCentres, event.attribute("dataCentre"), event.at))
                add(Promise::DataCentreOut, event.subject,
                    "start in " + event.attribute("dataCentre"));
            if (isOut(m_outHosts, host, event.at) || isOut(m_outPools, pool, event.at))
                add(Promise::LeavingTarget, event.subject, "start on " + host);
            const auto team = event.attribute("team");
            if (isOut(m_teamsWithoutKeys, team, event.at))
                add(Promise::WithdrawnKey, event.subject, "start for " + team);
            checkInForce(event);
        }
    }

    // Arrivals aren't judged: a member that isn't fresh may queue a request, but must not start it.
    auto checkInForce(const Event &event) -> void
    {
        for (const auto &it : m_applied) {
            if (event.at < it.inForceFrom || event.version >= it.version)
                continue;
            add(Promise::VersionInForce, event.subject,
                fmt::format("{} on version {} after {} was applied", event.kind, event.version,
                            it.version));
            return;
        }
    }

    /// One more or one less of a team that runs.
    struct Change
    {
        Nanoseconds at;
        int amount;
        auto operator<=>(const Change &other) const = default; // at one instant, ends go first
    };

    auto checkLimits() -> void
    {
        auto changes = std::map<std::string, std::vector<Change>>();
        for (const auto &[id, story] : m_requests)
            addChanges(story, changes);
        for (auto &[team, list] : changes) {
            const auto limit = m_rules.limits.find(team);
            if (limit == m_rules.limits.end())
                continue;
            std::ranges::sort(list);
            auto running = 0;
            auto most = 0;
            for (const auto &it : list) {
                running += it.amount;
                most = std::max(most, running);
            }
            if (most > static_cast<int>(limit->second)) {
                add(Promise::TeamLimit, team,
                    fmt::format("{} running, limit {}", most, limit->second));
            }
        }
    }

    // Runs of a dead process count until the deadline of their queue, as nobody knows their end.
    auto addChanges(const RequestStory &story,
                    std::map<std::string, std::vector<Change>> &changes) const -> void
    {
        if (story.starts.empty())
            return;
        auto &list = changes[story.starts.front()->attribute("team")];
        auto isRunning = false;
        for (const auto *it : story.steps) {
            const auto isStart = it->kind == "request.start";
            if (isRunning)
                list.push_back({it->at, -1});
            if (isStart)
                list.push_back({it->at, 1});
            isRunning = isStart;
        }
        if (!isRunning || story.arrival == nullptr)
            return;
        const auto deadline = m_rules.deadlines.find(story.arrival->attribute("queue"));
        if (deadline != m_rules.deadlines.end())
            list.push_back({story.arrival->at + deadline->second, -1});
    }

    struct Applied
    {
        Nanoseconds inForceFrom;
        std::int64_t version;
        std::string intent;
    };

    const TimelineRules &m_rules;
    std::vector<Event> m_events;
    std::set<ProcessName> m_stopped;
    std::map<std::string, RequestStory> m_requests;
    std::vector<Applied> m_applied;
    OutTimes m_outDataCentres;
    OutTimes m_outHosts;
    OutTimes m_outPools;
    OutTimes m_teamsWithoutKeys;
    std::vector<Violation> m_violations;
};

} // namespace

auto promiseName(Promise promise) -> std::string_view
{
    switch (promise) {
    case Promise::WholeJournal:
        return "whole-journal";
    case Promise::AtMostOnce:
        return "at-most-once";
    case Promise::TrueNotRun:
        return "true-not-run";
    case Promise::OneAnswer:
        return "one-answer";
    case Promise::TeamLimit:
        return "team-limit";
    case Promise::DataCentreOut:
        return "data-centre-out";
    case Promise::LeavingTarget:
        return "leaving-target";
    case Promise::WithdrawnKey:
        return "withdrawn-key";
    case Promise::VersionInForce:
        return "version-in-force";
    case Promise::NeverReverts:
        return "never-reverts";
    case Promise::OnePool:
        return "one-pool";
    case Promise::GracefulShutdown:
        break;
    }
    return "graceful-shutdown";
}

auto checkTimeline(std::span<const std::string> lines, const TimelineRules &rules)
    -> std::vector<Violation>
{
    return Checker(lines, rules).check();
}

auto describe(std::span<const Violation> violations) -> std::string
{
    auto text = std::string();
    for (const auto &it : violations)
        text += fmt::format("{} {}: {}\n", promiseName(it.promise), it.subject, it.detail);
    return text;
}

} // namespace shallotproxy::test
