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

/// A guarantee whose violation can be seen in a time line.
enum class Guarantee {
    CompleteJournal, // every event of a process is present and has the attributes that it needs
    AtMostOnce, // a request that isn't idempotent starts once, unless it was never sent
    NotRunNeverRan, // a request reported as "not run" never ran
    OneAnswer, // each request has exactly one end
    TeamLimit, // a team runs no more requests at once than its limit
    DataCentreOut, // nothing starts in a data centre that has been taken out
    LeavingTarget, // nothing starts on a target that is leaving or out
    WithdrawnKey, // nothing starts for a team without keys
    VersionInForce, // an applied version comes into force on every member
    NeverReverts, // the version of a member never decreases
    OnePool, // a host is in exactly one pool at each version
    GracefulShutdown, // a member that shuts down interrupts no request
};

[[nodiscard]] auto guaranteeName(Guarantee guarantee) -> std::string_view;

/// Configuration that the events don't contain. The limit of a team and the deadline of a queue are
/// checked only if they are listed.
struct TimelineRules
{
    std::map<std::string, std::uint32_t> limits; // per team
    std::map<std::string, std::chrono::milliseconds> deadlines; // per queue
    std::set<std::string> idempotentQueues; // a failed request of these queues may start again
    /// Time within which an applied change comes into force on every member.
    std::chrono::milliseconds inForceWithin = std::chrono::seconds(5);
};

struct Violation
{
    Guarantee guarantee = Guarantee::CompleteJournal;
    std::string subject;
    std::string detail;
    auto operator==(const Violation &other) const -> bool = default;
};

/// Checks all guarantees on the journals of all processes of one machine: one line of JSON per
/// event, in any order. A process without `member.stop` counts as killed.
[[nodiscard]] auto checkTimeline(std::span<const std::string> lines, const TimelineRules &rules)
    -> std::vector<Violation>;

/// Returns one line per violation, for the message of a failed test.
[[nodiscard]] auto describe(std::span<const Violation> violations) -> std::string;

} // namespace shallotproxy::test
