#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "../admission/key_index.hpp"
#include "../admission/refusal.hpp"
#include "../retry/retry_budget.hpp"
#include "recent_run_times.hpp"
#include "shallotproxy/process/base/boot_clock.hpp"
#include "shallotproxy/version/configuration/configuration.hpp"

namespace shallotproxy {

/// Number of a request within one process.
using RequestNumber = std::uint64_t;

/// A request has been admitted and is to be queued.
struct RequestArrived
{
    RequestNumber number = 0;
    QueueName queue;
    TeamName team;
    BootTime deadline;
    KeyName key; // Empty if the request came without a key.
};

/// The answer to a started request is complete. `isTargetFault`: the answer says that the target
/// failed.
struct RequestFinished
{
    RequestNumber number = 0;
    bool isTargetFault = false;
};

/// A started request got no complete answer and may have run. `isTargetFault`: the target closed
/// the connection or sent an invalid answer. An unresponsive connection alone is no evidence of a
/// fault of the target.
struct RequestFailed
{
    RequestNumber number = 0;
    bool isTargetFault = true;
};

/// A target that was unresponsive on one connection has been probed on a new one. `isAlive`: it
/// answered there.
struct TargetProbed
{
    HostName host;
    bool isAlive = false;
};

/// No byte of a started request was written, so it returns to the front of its queue.
/// `isTargetFault`: no connection to the target could be established.
struct RequestNotSent
{
    RequestNumber number = 0;
    bool isTargetFault = true;
};

/// The caller of a request has disconnected. The request is dropped if it is still queued.
struct CallerDisconnected
{
    RequestNumber number = 0;
};

/// A new version of the configuration is in effect.
struct ConfigurationChanged
{
    ConfigurationPointer configuration;
};

/// The configuration is known to be fresh until `freshUntil`.
struct FreshnessChanged
{
    BootTime freshUntil;
};

/// The slots of a pool that this member may keep busy have changed, per team.
struct CreditsChanged
{
    PoolName pool;
    std::map<TeamName, std::uint32_t> slots;
};

/// The units of the teams' upper limits that are granted to this member have changed.
struct UnitsChanged
{
    std::map<TeamName, std::uint32_t> units;
};

/// The member shuts down: nothing is started any more, and queued requests are refused.
struct DrainStarted
{ };

/// Expires deadlines and requeues delayed requests.
struct DispatchTick
{ };

using DispatchEvent =
    std::variant<RequestArrived, RequestFinished, RequestFailed, RequestNotSent, CallerDisconnected,
                 TargetProbed, ConfigurationChanged, FreshnessChanged, CreditsChanged, UnitsChanged,
                 DrainStarted, DispatchTick>;

/// Sends the request to this target, once.
struct StartRequest
{
    RequestNumber number = 0;
    HostName host;
};

/// Refuses the request. No byte of it has reached a target, and none will.
struct RefuseRequest
{
    RequestNumber number = 0;
    Refusal refusal;
};

/// Gives up the request, which may have run and is not retried.
struct AbandonRequest
{
    RequestNumber number = 0;
};

using DispatchAction = std::variant<StartRequest, RefuseRequest, AbandonRequest>;

/// The number of requests that one team has queued and running in one pool at this member.
struct PoolTeamLoad
{
    PoolName pool;
    TeamName team;
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
};

/// Decides which queued request starts on which target. Does no I/O and reads no clock.
class Dispatcher
{
public:
    /// Members with different seeds choose among equally loaded targets in different orders.
    explicit Dispatcher(std::uint64_t seed = 0)
        : m_rotation(seed)
    { }

    /// Applies one event and returns the actions that follow from it.
    auto step(const DispatchEvent &event, BootTime now) -> std::vector<DispatchAction>;

    /// Returns the refusal that a request arriving now would get at once, if any.
    [[nodiscard]] auto check(const RequestArrived &event, BootTime now) const
        -> std::optional<Refusal>;
    [[nodiscard]] auto loads() const -> std::vector<PoolTeamLoad>;
    /// Returns the number of requests of the team that run, or may still run, in all pools.
    [[nodiscard]] auto runningOf(const TeamName &team) const -> std::uint32_t;
    /// Returns the number of requests that have not ended.
    [[nodiscard]] auto openRequests() const -> std::size_t { return m_requests.size(); }

private:
    struct Request
    {
        PoolName pool;
        QueueName queue;
        TeamName team;
        KeyName key;
        BootTime deadline;
        BootTime startedAt; // Start of the current or last attempt.
        bool isUrgent = false;
        bool isIdempotent = false;
        bool isRunning = false;
        bool mayHaveRun = false;
        unsigned attempts = 0;
        unsigned targetFaults = 0; // Attempts that ended with a fault of the target.
        BootTime retryAt;
        HostName host; // Target of the current or last attempt.
    };

    struct TeamQueue
    {
        std::deque<RequestNumber> urgent;
        std::deque<RequestNumber> normal;
        std::uint32_t running = 0;
        std::uint32_t credits = 0;

        [[nodiscard]] auto isEmpty() const -> bool { return urgent.empty() && normal.empty(); }
        [[nodiscard]] auto queued() const -> std::size_t { return urgent.size() + normal.size(); }
    };

    struct PoolTeam
    {
        PoolName pool;
        TeamName team;
    };

    struct PoolState
    {
        std::map<TeamName, TeamQueue> teams;
        TeamName lastServed;
    };

    struct TargetState
    {
        std::uint32_t running = 0;
        std::uint32_t consecutiveFaults = 0;
        std::uint32_t consecutiveEjections = 0;
        BootTime ejectedUntil;
    };

    auto handle(const RequestArrived &event) -> void;
    auto handle(const RequestFinished &event) -> void;
    auto handle(const RequestFailed &event) -> void;
    auto handle(const RequestNotSent &event) -> void;
    auto handle(const CallerDisconnected &event) -> void;
    auto handle(const TargetProbed &event) -> void;
    auto handle(const ConfigurationChanged &event) -> void;
    auto handle(const FreshnessChanged &event) -> void;
    auto handle(const CreditsChanged &event) -> void;
    auto handle(const UnitsChanged &event) -> void;
    auto handle(const DrainStarted &event) -> void;
    auto handle(const DispatchTick &event) -> void;

    auto queueOf(const Request &request) -> std::deque<RequestNumber> &;
    auto refuse(RequestNumber number, Refusal::Kind kind) -> void;
    auto endWaiting(RequestNumber number, Refusal::Kind kind) -> void;
    auto removeWaiting(RequestNumber number) -> void;
    auto retry(RequestNumber number, Request &request) -> void;
    auto expireRequests() -> void;
    auto requeueDelayed() -> void;
    auto refuseWithdrawnKeys() -> void;
    [[nodiscard]] auto checkAdmission(const Request &request) const -> std::optional<Refusal::Kind>;
    auto recordFault(TargetState &target) -> void;
    auto eject(TargetState &target) -> void;
    auto startWaiting() -> void;
    auto startOne(const PoolName &name, PoolState &pool) -> bool;
    auto mayStart(const TeamName &name, const TeamQueue &team) const -> bool;
    [[nodiscard]] auto isTooLate(const Request &request) const -> bool;
    [[nodiscard]] auto latestEnd(const Request &request) const -> BootTime;
    auto chooseTarget(const PoolName &pool, const HostName &avoided) const -> const Host *;
    [[nodiscard]] auto runningOn(const HostName &host) const -> std::uint32_t;
    [[nodiscard]] auto slotsOf(const Host &host) const -> std::uint32_t;
    [[nodiscard]] auto isEjected(const HostName &host) const -> bool;
    auto release(Request &request) -> void;
    auto releaseTarget(Request &request) -> void;
    auto releaseTeam(const PoolName &pool, const TeamName &team) -> void;
    auto releaseUnconfirmed() -> void;

    BootTime m_now;
    ConfigurationPointer m_configuration;
    BootTime m_freshUntil;
    bool m_isDraining = false;
    std::unordered_map<RequestNumber, Request> m_requests;
    using TimedRequest = std::pair<BootTime, RequestNumber>;
    std::set<TimedRequest> m_deadlines; // Deadlines of all requests that aren't running.
    std::multimap<BootTime, PoolTeam> m_unconfirmed; // Attempts that may run until this time.
    std::set<TimedRequest> m_delayed; // When delayed requests return to their queue.
    RetryBudget m_retries;
    RecentRunTimes m_runTimes;
    std::uint64_t m_rotation = 0;
    std::map<PoolName, PoolState> m_pools;
    std::map<PoolName, std::vector<HostName>> m_targetsOfPool;
    std::map<HostName, TargetState> m_targets;
    std::map<TeamName, std::uint32_t> m_units;
    std::map<TeamName, std::uint32_t> m_running;
    std::vector<DispatchAction> m_actions;
};

} // namespace shallotproxy
