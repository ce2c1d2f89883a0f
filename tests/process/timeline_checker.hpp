#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace shallotproxy::test {

/// A promise that a time line can break.
enum class Promise {
    WholeJournal, // every event of a process is there, and has the attributes it needs
    AtMostOnce, // a request that isn't idempotent starts once, unless it was never sent
    TrueNotRun, // a request answered as "not run" never ran
    OneAnswer, // each request has exactly one end
    TeamLimit, // no more of a team run than its limit
    DataCentreOut, // nothing starts in a data centre that has been taken out
    LeavingTarget, // nothing starts on a target that is leaving or out
    WithdrawnKey, // nothing starts for a team without keys
    VersionInForce, // an accepted version is in force everywhere
    NeverReverts, // the version of a member never goes back
    OnePool, // a host is in exactly one pool at each version
    GracefulShutdown, // a member that shut down has cut no request
};

[[nodiscard]] auto promiseName(Promise promise) -> std::string_view;

/// What the events alone don't say. A team or queue that isn't named is not judged by its value.
struct TimelineRules
{
    std::map<std::string, std::uint32_t> limits; // per team
    std::map<std::string, std::chrono::milliseconds> deadlines; // per queue
    std::set<std::string> idempotentQueues; // a failed request of these may start again
    std::chrono::milliseconds inForceWithin = std::chrono::seconds(5);
};

struct Violation
{
    Promise promise = Promise::WholeJournal;
    std::string subject;
    std::string detail;
    auto operator==(const Violation &other) const -> bool = default;
};

/// Judges all promises over the journals of every process of one machine, one line of JSON an
/// event, in any order. A process without `member.stop` counts as dead.
[[nodiscard]] auto checkTimeline(std::span<const std::string> lines, const TimelineRules &rules)
    -> std::vector<Violation>;

/// One line a violation, for a test's message.
[[nodiscard]] auto describe(std::span<const Violation> violations) -> std::string;

} // namespace shallotproxy::test
