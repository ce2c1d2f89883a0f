#pragma once

#include <memory>
#include <vector>

#include "store.hpp"

namespace review {

struct Room
{
    std::int64_t cpu = 0;
    std::int64_t memory = 0;
};

/// One run of a task on an executor, as the executor has seen it.
struct RunRecord
{
    std::string task;
    std::uint64_t run = 0;
    std::string executor;
    std::int64_t born = 0;
    SteadyClock::time_point startedAt;
    /// Not set while the run is at work.
    std::optional<SteadyClock::time_point> endedAt;
    /// `done`, `stopped`, `lapsed`, or `crashed` if the executor ended.
    std::string how;
};

/// What the executors share: the tasks that were handed in, and a record of all runs.
struct RunLog
{
    std::mutex mutex;
    std::condition_variable ended;
    /// Resources of a task, and how long it works.
    std::function<Room(const std::string &task)> roomOf;
    std::function<Milliseconds(const std::string &task)> workOf;
    std::vector<RunRecord> runs;
};

/// Stand-in of an executor that checks its capacity.
class Executor
{
public:
    Executor(std::string id, std::string machine, std::string service, std::string zone,
             RunLog &log, Store &store);

    /// Ends the process without a word. What ran there ends.
    auto crash() -> void;
    /// Starts again under the same id, with nothing of what was before.
    auto restart() -> void;
    /// Cuts the executor off from the members and the store, or ends the cut. It runs on.
    auto setCutOff(bool isCutOff) -> void;
    /// While set, orders to start are refused with 503, as by an unhealthy executor.
    auto setUnhealthy(bool isUnhealthy) -> void { m_isUnhealthy = isUnhealthy; }
    /// Ends runs that are done or whose lease has lapsed, and sends the heartbeat.
    auto tick() -> void;

    [[nodiscard]] auto id() const -> const std::string & { return m_id; }
    [[nodiscard]] auto isUp() -> bool;
    [[nodiscard]] auto machineJson() -> Json;
    [[nodiscard]] auto activeRuns() -> std::size_t;
    /// Number of start orders that were refused because the executor is unhealthy.
    [[nodiscard]] auto refusedStarts() const -> int { return m_refusedStarts; }

private:
    struct Run
    {
        std::size_t record = 0;
        std::uint64_t number = 0;
        SteadyClock::time_point endsAt;
        Room room;
    };
    struct End
    {
        std::uint64_t sequence = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
    };

    auto handle(const HttpRequest &request) -> HttpResponse;
    auto start(const Json &order) -> HttpResponse;
    auto stop(const Json &order) -> HttpResponse;
    auto hold(const Json &order, std::unique_lock<std::mutex> &lock) -> HttpResponse;
    auto refusal(std::string_view reason) -> HttpResponse;
    auto checkFence(const Json &order) -> bool;
    auto extendLease(const Json &order) -> void;
    auto endRun(const std::string &task, const std::string &how) -> void;
    auto beginLife() -> void;
    auto beat() -> void;
    [[nodiscard]] auto clock() const -> std::int64_t;
    [[nodiscard]] auto used() const -> Room;

    std::string m_id;
    std::string m_machine;
    std::string m_service;
    std::string m_zone;
    RunLog &m_log;
    Store &m_store;
    bool m_isUp = true;
    bool m_isCutOff = false;
    bool m_isRegistered = false;
    std::atomic<bool> m_isUnhealthy = false;
    std::atomic<int> m_refusedStarts = 0;
    std::int64_t m_born = 0;
    SteadyClock::time_point m_bornAt;
    std::uint64_t m_fence = 0;
    std::int64_t m_leaseEnd = 0;
    std::uint64_t m_lastEnd = 0;
    std::map<std::string, Run> m_active;
    std::vector<End> m_ends;
    /// The highest run of each task that ended or was stopped here.
    std::map<std::string, std::uint64_t> m_highestEnded;
    std::uint64_t m_sequence = 0;
    SteadyClock::time_point m_nextBeat;
    SteadyClock::time_point m_lastBeat;
    HttpServer m_server;
};

} // namespace review
