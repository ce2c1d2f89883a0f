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

/// Identifies a process: one incarnation of a member.
struct ProcessId
{
    std::string member;
    std::string incarnation;
    auto operator<=>(const ProcessId &other) const = default; // NOLINT(modernize-use-nullptr)
};

struct Event
{
    ProcessId process;
    std::int64_t sequence = 0;
    Nanoseconds at = 0ns; // on the boot clock, which all processes of the machine share
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

auto stringOf(const QJsonObject &object, QLatin1StringView key) -> std::string
{
    return object.value(key).toString().toStdString();
}

auto parseEvent(const std::string &line) -> std::optional<Event>
{
    const auto object = QJsonDocument::fromJson(QByteArray::fromStdString(line)).object();
    if (object.isEmpty())
        return std::nullopt;
    auto event = Event();
    event.process = {stringOf(object, "member"_L1), stringOf(object, "incarnation"_L1)};
    event.sequence = object.value("sequence"_L1).toInteger();
    event.at = Nanoseconds(object.value("bootNs"_L1).toInteger());
    event.kind = stringOf(object, "kind"_L1);
    event.subject = stringOf(object, "subject"_L1);
    event.version = object.value("version"_L1).toInteger();
    const auto attributes = object.value("attributes"_L1).toObject();
    for (auto it = attributes.begin(); it != attributes.end(); ++it)
        event.attributes[it.key().toStdString()] = it.value().toString().toStdString();
    return event;
}

/// An interval in which nothing may start on an object that has been taken out.
struct OutInterval
{
    Nanoseconds from = 0ns;
    Nanoseconds to = Never;
};

using OutIntervals = std::map<std::string, std::vector<OutInterval>>;

auto isOut(const OutIntervals &intervals, const std::string &name, Nanoseconds at) -> bool
{
    const auto it = intervals.find(name);
    return it != intervals.end() && std::ranges::any_of(it->second, [at](const OutInterval &out) {
               return out.from <= at && at < out.to;
           });
}

/// The events of one request.
struct RequestHistory
{
    const Event *arrival = nullptr;
    std::vector<const Event *> starts;
    std::size_t notSent = 0;
    std::size_t failed = 0;
    std::vector<const Event *> ends; // `request.end` and `request.drop`
    std::vector<const Event *> events; // all events, ordered by time
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
                add(Guarantee::CompleteJournal, "journal", "unreadable line: " + line);
            }
        }
        std::ranges::stable_sort(m_events, [](const Event &a, const Event &b) {
            return a.at != b.at ? a.at < b.at : a.sequence < b.sequence;
        });
        collectEvents();
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
    auto add(Guarantee guarantee, std::string subject, std::string detail) -> void
    {
        m_violations.push_back({guarantee, std::move(subject), std::move(detail)});
    }

    auto collectEvents() -> void
    {
        for (const auto &event : m_events) {
            if (event.kind == "member.stop")
                m_stoppedProcesses.insert(event.process);
            if (event.kind.starts_with("request."))
                collectRequest(event);
            if (event.kind == "intent.applied")
                collectAppliedIntent(event);
            if (event.kind == "intent.confirm")
                collectConfirmedIntent(event);
        }
    }

    auto collectRequest(const Event &event) -> void
    {
        auto &history = m_requests[event.subject];
        history.events.push_back(&event);
        if (event.kind == "request.arrive")
            history.arrival = &event;
        if (event.kind == "request.start")
            history.starts.push_back(&event);
        if (event.kind == "request.not-sent")
            ++history.notSent;
        if (event.kind == "request.fail")
            ++history.failed;
        if (event.kind == "request.end" || event.kind == "request.drop")
            history.ends.push_back(&event);
    }

    // Returns the intervals in which the object of an intent is out; null for other intents.
    auto intervalsOf(const Event &event) -> std::vector<OutInterval> *
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

    // An object counts as out once the bound has passed since its intent was reported as applied.
    auto collectAppliedIntent(const Event &event) -> void
    {
        if (!event.attributes.contains("version")) {
            add(Guarantee::CompleteJournal, event.subject, "intent.applied without a version");
            return;
        }
        const auto version = std::stoll(event.attribute("version"));
        m_appliedVersions.push_back({event.at + m_rules.inForceWithin, version, event.subject});
        auto *intervals = intervalsOf(event);
        if (intervals != nullptr && event.attribute("state") != "in")
            intervals->push_back({event.at + m_rules.inForceWithin, Never});
    }

    // An object may be back in service as soon as the intent for it is confirmed.
    auto collectConfirmedIntent(const Event &event) -> void
    {
        auto *intervals = intervalsOf(event);
        if (intervals == nullptr || event.attribute("state") != "in")
            return;
        for (auto &it : *intervals)
            it.to = std::min(it.to, event.at);
    }

    auto checkSequences() -> void
    {
        auto sequences = std::map<ProcessId, std::vector<std::int64_t>>();
        for (const auto &event : m_events)
            sequences[event.process].push_back(event.sequence);
        for (auto &[process, numbers] : sequences) {
            std::ranges::sort(numbers);
            for (std::size_t i = 0; i < numbers.size(); ++i) {
                if (numbers[i] == static_cast<std::int64_t>(i) + 1)
                    continue;
                add(Guarantee::CompleteJournal, process.member,
                    fmt::format("event {} of incarnation {} is missing or duplicated", i + 1,
                                process.incarnation));
                break;
            }
        }
    }

    auto checkVersions() -> void
    {
        auto lastVersions = std::map<std::pair<ProcessId, std::string>, std::int64_t>();
        // Per member, across its incarnations.
        auto servedVersions = std::map<std::string, std::int64_t>();
        for (const auto &event : m_events) {
            if (event.kind != "configuration.hold" && event.kind != "configuration.serve")
                continue;
            auto &last = lastVersions[{event.process, event.kind}];
            if (event.version < last) {
                add(Guarantee::NeverReverts, event.process.member,
                    fmt::format("{} {} after {}", event.kind, event.version, last));
            }
            last = std::max(last, event.version);
            if (event.kind != "configuration.serve")
                continue;
            auto &highest = servedVersions[event.process.member];
            if (event.version < highest) {
                add(Guarantee::NeverReverts, event.process.member,
                    fmt::format("serves {} after {}", event.version, highest));
            }
            highest = std::max(highest, event.version);
        }
    }

    auto checkRequests() -> void
    {
        for (const auto &[id, history] : m_requests) {
            if (history.arrival == nullptr)
                add(Guarantee::CompleteJournal, id, "events without an arrival");
            checkStartCount(id, history);
            checkEnds(id, history);
        }
    }

    auto checkStartCount(const std::string &id, const RequestHistory &history) -> void
    {
        const auto starts = history.starts.size();
        if (history.notSent > starts) {
            add(Guarantee::CompleteJournal, id,
                fmt::format("{} events request.not-sent, but {} starts", history.notSent, starts));
        }
        const auto retries = isIdempotent(history) ? history.failed : 0;
        if (starts > 1 + history.notSent + retries) {
            add(Guarantee::AtMostOnce, id,
                fmt::format("{} starts, {} not sent, {} failed, queue {}", starts, history.notSent,
                            history.failed, queueOf(history)));
        }
        const auto isNotRun = std::ranges::any_of(history.ends, [](const Event *event) {
            return event->kind == "request.drop" || event->attribute("outcome") == "not-run";
        });
        if (isNotRun && starts > history.notSent) {
            add(Guarantee::NotRunNeverRan, id,
                fmt::format("{} starts, {} not sent", starts, history.notSent));
        }
    }

    static auto queueOf(const RequestHistory &history) -> std::string
    {
        return history.arrival == nullptr ? std::string() : history.arrival->attribute("queue");
    }

    [[nodiscard]] auto isIdempotent(const RequestHistory &history) const -> bool
    {
        return m_rules.idempotentQueues.contains(queueOf(history));
    }

    auto checkEnds(const std::string &id, const RequestHistory &history) -> void
    {
        const auto ends = history.ends.size();
        if (ends > 1)
            add(Guarantee::OneAnswer, id, fmt::format("{} ends", ends));
        // A repeat of a claimed request gets the stored answer without a run.
        const auto needsStart = ends == 1
            && history.ends.front()->attribute("outcome") == "answered"
            && history.ends.front()->attribute("replayed").empty();
        if (needsStart && history.starts.empty())
            add(Guarantee::OneAnswer, id, "answered without a start");
        const auto *arrival = history.arrival;
        if (ends == 0 && arrival != nullptr && m_stoppedProcesses.contains(arrival->process))
            add(Guarantee::GracefulShutdown, id, "open when its member stopped");
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
                add(Guarantee::OnePool, host,
                    fmt::format("in {} and {} at version {}", it->second, pool, event.version));
            }
            const auto dataCentre = event.attribute("dataCentre");
            if (isOut(m_outDataCentres, dataCentre, event.at))
                add(Guarantee::DataCentreOut, event.subject, "start in " + dataCentre);
            if (isOut(m_outHosts, host, event.at) || isOut(m_outPools, pool, event.at))
                add(Guarantee::LeavingTarget, event.subject, "start on " + host);
            const auto team = event.attribute("team");
            if (isOut(m_teamsWithoutKeys, team, event.at))
                add(Guarantee::WithdrawnKey, event.subject, "start for " + team);
            checkInForce(event);
        }
    }

    // Checks starts only: a member whose configuration isn't fresh may queue a request, but must
    // not start it.
    auto checkInForce(const Event &event) -> void
    {
        for (const auto &it : m_appliedVersions) {
            if (event.at < it.inForceFrom || event.version >= it.version)
                continue;
            add(Guarantee::VersionInForce, event.subject,
                fmt::format("{} on version {} after {} was applied", event.kind, event.version,
                            it.version));
            return;
        }
    }

    /// A change by one in the number of running requests of a team.
    struct CountChange
    {
        Nanoseconds at;
        int amount;
        auto operator<=>(const CountChange &other) const = default; // NOLINT(modernize-use-nullptr)
    };

    auto checkLimits() -> void
    {
        auto changes = std::map<std::string, std::vector<CountChange>>();
        for (const auto &[id, history] : m_requests)
            addChanges(history, changes);
        for (auto &[team, list] : changes) {
            const auto limit = m_rules.limits.find(team);
            if (limit == m_rules.limits.end())
                continue;
            std::ranges::sort(list);
            auto running = 0;
            auto maxRunning = 0;
            for (const auto &it : list) {
                running += it.amount;
                maxRunning = std::max(maxRunning, running);
            }
            if (maxRunning > static_cast<int>(limit->second)) {
                add(Guarantee::TeamLimit, team,
                    fmt::format("{} running, limit {}", maxRunning, limit->second));
            }
        }
    }

    // A run of a killed process counts until the deadline of its queue, as its end is unknown.
    auto addChanges(const RequestHistory &history,
                    std::map<std::string, std::vector<CountChange>> &changes) const -> void
    {
        if (history.starts.empty())
            return;
        auto &list = changes[history.starts.front()->attribute("team")];
        auto isRunning = false;
        for (const auto *it : history.events) {
            const auto isStart = it->kind == "request.start";
            if (isRunning)
                list.push_back({it->at, -1});
            if (isStart)
                list.push_back({it->at, 1});
            isRunning = isStart;
        }
        if (!isRunning || history.arrival == nullptr)
            return;
        const auto deadline = m_rules.deadlines.find(history.arrival->attribute("queue"));
        if (deadline != m_rules.deadlines.end())
            list.push_back({history.arrival->at + deadline->second, -1});
    }

    struct AppliedVersion
    {
        Nanoseconds inForceFrom;
        std::int64_t version;
        std::string intent;
    };

    const TimelineRules &m_rules;
    std::vector<Event> m_events;
    std::set<ProcessId> m_stoppedProcesses;
    std::map<std::string, RequestHistory> m_requests;
    std::vector<AppliedVersion> m_appliedVersions;
    OutIntervals m_outDataCentres;
    OutIntervals m_outHosts;
    OutIntervals m_outPools;
    OutIntervals m_teamsWithoutKeys;
    std::vector<Violation> m_violations;
};

} // namespace

auto guaranteeName(Guarantee guarantee) -> std::string_view
{
    switch (guarantee) {
    case Guarantee::CompleteJournal:
        return "complete-journal";
    case Guarantee::AtMostOnce:
        return "at-most-once";
    case Guarantee::NotRunNeverRan:
        return "not-run-never-ran";
    case Guarantee::OneAnswer:
        return "one-answer";
    case Guarantee::TeamLimit:
        return "team-limit";
    case Guarantee::DataCentreOut:
        return "data-centre-out";
    case Guarantee::LeavingTarget:
        return "leaving-target";
    case Guarantee::WithdrawnKey:
        return "withdrawn-key";
    case Guarantee::VersionInForce:
        return "version-in-force";
    case Guarantee::NeverReverts:
        return "never-reverts";
    case Guarantee::OnePool:
        return "one-pool";
    case Guarantee::GracefulShutdown:
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
        text += fmt::format("{} {}: {}\n", guaranteeName(it.guarantee), it.subject, it.detail);
    return text;
}

} // namespace shallotproxy::test
