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
#include "run_times.hpp"
#include "shallotproxy/process/base/boot_clock.hpp"
#include "shallotproxy/version/configuration/configuration.hpp"

namespace shallotproxy {

/// Number of a request within one process.
using RequestNumber = std::uint64_t;

struct RequestArrived
{
    RequestNumber number = 0;
    QueueName queue;
    TeamName team;
    BootTime deadline;
    KeyName key; // the one it came with; empty without
};

/// A started request has its whole answer. `isTargetFault`: the answer says that the target failed.
struct RequestFinished
{
    RequestNumber number = 0;
    bool isTargetFault = false;
};

/// A started request has no whole answer and may have run. `isTargetFault`: the target closed or
/// answered badly; a silent connection alone says nothing about the target.
struct RequestFailed
{
    RequestNumber number = 0;
    bool isTargetFault = true;
};

/// A new connection to a target that was silent on another one has been answered, or not.
struct TargetProbed
{
    HostName host;
    bool isAlive = false;
};

/// No byte was written: the request goes back to the front of its queue. `isTargetFault`: because
/// no connection stood.
struct RequestNotSent
{
    RequestNumber number = 0;
    bool isTargetFault = true;
};

/// The caller of a request has gone; if it is still queued, it is dropped.
struct CallerDisconnected
{
    RequestNumber number = 0;
};

struct ConfigurationChanged
{
    ConfigurationPointer configuration;
};

/// Until when the configuration is known to be fresh.
struct FreshnessChanged
{
    BootTime freshUntil;
};

/// Slots of a pool that this member may keep busy, per team.
struct CreditsChanged
{
    PoolName pool;
    std::map<TeamName, std::uint32_t> slots;
};

/// Units of the teams' upper limits that this member holds.
struct UnitsChanged
{
    std::map<TeamName, std::uint32_t> units;
};

struct DrainStarted
{ };

struct DispatchTick
{ };

using DispatchEvent =
    std::variant<RequestArrived, RequestFinished, RequestFailed, RequestNotSent, CallerDisconnected,
                 TargetProbed, ConfigurationChanged, FreshnessChanged, CreditsChanged, UnitsChanged,
                 DrainStarted, DispatchTick>;

/// Send the request to this target, once.
struct StartRequest
{
    RequestNumber number = 0;
    HostName host;
};

/// No byte of the request has reached a target, and none will.
struct RefuseRequest
{
    RequestNumber number = 0;
    Refusal refusal;
};

/// The request may have run, and is not tried again.
struct AbandonRequest
{
    RequestNumber number = 0;
};

using DispatchAction = std::variant<StartRequest, RefuseRequest, AbandonRequest>;

/// What one team has queued and running in one pool at this member.
struct PoolTeamLoad
{
    PoolName pool;
    TeamName team;
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
};

/// Decides which queued request starts on which target. Pure: no I/O and no clock of its own.
class Dispatcher
{
public:
    /// Members with different seeds choose among equal targets in different orders.
    explicit Dispatcher(std::uint64_t seed = 0)
        : m_rotation(seed)
    { }

    auto step(const DispatchEvent &event, BootTime now) -> std::vector<DispatchAction>;

    /// The refusal that a request arriving now would get at once.
    [[nodiscard]] auto check(const RequestArrived &event, BootTime now) const
        -> std::optional<Refusal>;
    [[nodiscard]] auto loads() const -> std::vector<PoolTeamLoad>;
    [[nodiscard]] auto runningOf(const TeamName &team) const -> std::uint32_t;
    [[nodiscard]] auto openRequests() const -> std::size_t { return m_requests.size(); }

private:
    struct Request
    {
        PoolName pool;
        QueueName queue;
        TeamName team;
        KeyName key;
        BootTime deadline;
        BootTime startedAt; // of the current or the last try
        bool isUrgent = false;
        bool isIdempotent = false;
        bool isRunning = false;
        bool mayHaveRun = false;
        unsigned tries = 0;
        BootTime retryAt;
        HostName host; // of the current or the last try
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
        std::uint32_t faults = 0; // in a row
        std::uint32_t ejections = 0; // in a row
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
    auto end(RequestNumber number, Refusal::Kind kind) -> void;
    auto forget(RequestNumber number) -> void;
    auto tryAgain(RequestNumber number, Request &request) -> void;
    auto expire() -> void;
    auto resumeDelayed() -> void;
    auto refuseWithdrawn() -> void;
    [[nodiscard]] auto checkAdmission(const Request &request) const -> std::optional<Refusal::Kind>;
    auto noteFault(TargetState &target) -> void;
    auto eject(TargetState &target) -> void;
    auto startWaiting() -> void;
    auto startOne(const PoolName &name, PoolState &pool) -> bool;
    auto mayStart(const TeamName &name, const TeamQueue &team) const -> bool;
    [[nodiscard]] auto isTooLate(const Request &request) const -> bool;
    [[nodiscard]] auto lastsUntil(const Request &request) const -> BootTime;
    auto chooseTarget(const PoolName &pool, const HostName &avoided) const -> const Host *;
    [[nodiscard]] auto runningOn(const HostName &host) const -> std::uint32_t;
    [[nodiscard]] auto slotsOf(const Host &host) const -> std::uint32_t;
    [[nodiscard]] auto isEjected(const HostName &host) const -> bool;
    auto release(Request &request) -> void;
    auto releaseTarget(Request &request) -> void;
    auto releaseTeam(const PoolName &pool, const TeamName &team) -> void;
    auto releaseUncertain() -> void;

    BootTime m_now;
    ConfigurationPointer m_configuration;
    BootTime m_freshUntil;
    bool m_isDraining = false;
    std::unordered_map<RequestNumber, Request> m_requests;
    using TimedRequest = std::pair<BootTime, RequestNumber>;
    std::set<TimedRequest> m_deadlines; // of every request that isn't running
    std::multimap<BootTime, PoolTeam> m_uncertain; // tries that may still run, until this time
    std::set<TimedRequest> m_delayed; // by when they are tried again
    RetryBudget m_retries;
    RunTimes m_runTimes;
    std::uint64_t m_rotation = 0;
    std::map<PoolName, PoolState> m_pools;
    std::map<PoolName, std::vector<HostName>> m_targetsOfPool;
    std::map<HostName, TargetState> m_targets;
    std::map<TeamName, std::uint32_t> m_units;
    std::map<TeamName, std::uint32_t> m_running;
    std::vector<DispatchAction> m_actions;
};

} // namespace shallotproxy
