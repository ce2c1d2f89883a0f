#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <condition_variable>

#include <nlohmann/json.hpp>

/// Stand-ins for the platform's store, its list of machines, its executors and its clients, by
/// their published protocol, and a small deployment of the project's own programs beside them.
namespace stand {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;
using Json = nlohmann::json;

/// Milliseconds since the program's start.
auto elapsed() -> std::int64_t;
auto sleepFor(Milliseconds time) -> void;
/// Waits until `condition` holds; returns false after `limit`.
auto waitFor(Milliseconds limit, const std::function<bool()> &condition) -> bool;

/// Writes one line for each event, with its time.
class Record
{
public:
    explicit Record(const std::string &file)
        : m_file(file)
    { }
    auto line(const std::string &text) -> void;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

struct Request
{
    std::string method;
    std::string target;
    std::string expectedInstance;
    std::string body;

    [[nodiscard]] auto path() const -> std::string { return target.substr(0, target.find('?')); }
    /// Returns the value of a field of the query.
    [[nodiscard]] auto query(std::string_view name) const -> std::string;
};

struct Response
{
    unsigned status = 200;
    std::string body = "{}";
    /// The request didn't arrive.
    bool isLost = false;
};

/// An HTTP server on a loopback address with a thread for each connection.
class Server
{
public:
    using Handler = std::function<Response(const Request &)>;

    explicit Server(Handler handler);
    [[nodiscard]] auto address() const -> std::string;
    /// A server that is cut off receives no requests and answers none.
    auto setCutOff(bool isCutOff) -> void { m_isCutOff = isCutOff; }
    /// A server that is down closes all connections.
    auto setDown(bool isDown) -> void { m_isDown = isDown; }

private:
    auto serve(int descriptor) -> void;

    Handler m_handler;
    std::atomic<bool> m_isCutOff = false;
    std::atomic<bool> m_isDown = false;
    unsigned m_port = 0;
};

/// Sends a request on a connection of its own. Returns status 0 if there is no complete answer.
auto call(const std::string &address, const std::string &method, const std::string &path,
          const std::vector<std::string> &headers, const std::string &body,
          Milliseconds timeout = Milliseconds(3'000)) -> Response;

/// The platform's store of keys and values.
class Store
{
public:
    explicit Store(Record &record);
    auto handle(const Request &request) -> Response;
    /// Writes as the operator and the executors do.
    auto put(const std::string &key, const std::string &text) -> void;
    auto remove(const std::string &key) -> void;
    /// Returns the values of the keys that are held under a lease.
    [[nodiscard]] auto leasedValues() -> std::vector<std::string>;

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Lease
    {
        Milliseconds duration{};
        Clock::time_point endsAt;
    };

    auto readKey(const std::string &key) -> Response;
    auto readRange(const Request &request) -> Response;
    auto watch(const Request &request) -> Response;
    auto commit(const Json &body) -> Response;
    auto grantLease(const Json &body) -> Response;
    auto renewLease(std::uint64_t lease) -> Response;
    auto expireLeases() -> void;
    auto write(const std::string &key, const std::string &value, std::uint64_t lease) -> void;
    auto erase(const std::string &key) -> void;
    [[nodiscard]] auto toJson(const std::string &key, const Item &item) const -> Json;

    Record &m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::map<std::uint64_t, Lease> m_leases;
    std::vector<Json> m_history;
    std::uint64_t m_revision = 1;
    std::uint64_t m_lastLease = 0;
};

/// What a task needs and what becomes of its runs.
struct TaskPlan
{
    std::int64_t cpu = 0;
    Milliseconds duration{1'000};
    std::string how = "done";
};
using Planner = std::function<TaskPlan(const std::string &task)>;

/// One run of a task, as its executor saw it.
struct Run
{
    std::string task;
    std::uint64_t number = 0;
    std::int64_t cpu = 0;
    Clock::time_point startedAt;
    Clock::time_point dueAt;
    std::string how; // the planned end, then the real one
    bool isOfEarlierLife = false;
    std::optional<Clock::time_point> stopsAt;
    std::optional<Clock::time_point> endedAt;
    std::uint64_t sequence = 0;
    /// When an acknowledgement reached the end without a lapse of the lease in between.
    std::optional<Clock::time_point> notedAt;
    bool mayBeNoted = true;
};

/// A worker that guards its capacity.
class Executor
{
public:
    Executor(std::string id, std::string service, std::string zone, std::int64_t cpu, Store &store,
             Record &record, Planner planner);
    /// Cuts the zone of the executor off: only calls of the steward that has called it so far still
    /// arrive, as that is in the same zone. What runs goes on.
    auto setZoneCutOff(bool isCutOff) -> void;
    /// Crashes, and starts again under its id after `downTime`. Nothing of before is left.
    auto crash(Milliseconds downTime) -> void;
    [[nodiscard]] auto id() const -> const std::string & { return m_id; }
    [[nodiscard]] auto runs() -> std::vector<Run>;
    [[nodiscard]] auto listing() const -> Json;

private:
    auto begin() -> void;
    auto handle(const Request &request) -> Response;
    auto start(const Json &body) -> Response;
    auto stop(const Json &body) -> Response;
    auto hold(const Json &body, std::unique_lock<std::mutex> &lock) -> Response;
    auto extendLease(const Json &body) -> void;
    auto advance() -> void;
    auto end(Run &run, const std::string &how, Clock::time_point at) -> void;
    auto beat() -> void;
    [[nodiscard]] auto clockMilliseconds() const -> std::int64_t;
    [[nodiscard]] auto answer(unsigned status, const std::string &reason = {}) const -> Response;
    [[nodiscard]] auto registration() const -> Json;

    std::string m_id;
    std::string m_service;
    std::string m_zone;
    std::int64_t m_cpu = 0;
    Store &m_store;
    Record &m_record;
    Planner m_planner;
    Clock::time_point m_bornAt;
    std::int64_t m_born = 0;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<Run> m_runs;
    /// Highest run that was stopped or has ended, by task.
    std::map<std::string, std::uint64_t> m_closedRuns;
    std::uint64_t m_token = 0;
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_acknowledged = 0;
    Clock::time_point m_leaseEndsAt;
    std::atomic<bool> m_isCutOff = false;
    std::atomic<bool> m_isDown = false;
    /// The token of the steward in the zone that is cut off.
    std::uint64_t m_tokenInZone = 0;
    std::uint64_t m_beats = 0;
    Server m_server;
};

/// Three members of the system and what the platform has beside them.
class Deployment
{
public:
    explicit Deployment(Record &record);

    auto addExecutor(const std::string &id, const std::string &service, std::int64_t cpu,
                     Planner planner, const std::string &zone = "zone-1") -> Executor &;
    auto configure(const Json &configuration) -> void;
    /// Starts the members and waits until they are ready.
    auto start() -> bool;
    /// Sends a call of a client to a member that runs, and records it.
    auto client(const std::string &method, const std::string &path, const std::string &key,
                const std::string &body = {}) -> Response;
    /// Sends a call of a client to the member of this number; the client leaves after `patience`.
    auto clientOf(std::size_t number, const std::string &method, const std::string &path,
                  const std::string &key, const std::string &body = {},
                  Milliseconds patience = Milliseconds(3'000)) -> Response;
    /// Returns the number of the member whose address stands in the leased key.
    [[nodiscard]] auto leader() -> std::optional<std::size_t>;
    /// Returns the zone of the member of this number.
    [[nodiscard]] static auto zoneOf(std::size_t number) -> std::string;
    /// Cuts the member of this number off from the store.
    auto setCutOffFromStore(std::size_t number, bool isCutOff) -> void;
    /// Ends the member whose address stands in the leased key by SIGKILL, or tells it to leave by
    /// SIGTERM. Returns whether there was one.
    auto signalLeader(int signal) -> bool;
    /// Ends all members and removes the temporary folder.
    auto stop() -> void;
    [[nodiscard]] auto store() -> Store & { return m_store; }

private:
    struct Member
    {
        std::string name;
        std::string zone;
        std::string host;
        unsigned firstPort = 0;
        int process = -1;
        bool isSignalled = false;
        /// Its way to the store.
        std::unique_ptr<Server> store;
    };

    auto spawn(Member &member) -> void;
    [[nodiscard]] auto settingsOf(const Member &member) const -> Json;

    Record &m_record;
    std::string m_folder;
    Store m_store;
    std::vector<std::unique_ptr<Executor>> m_executors;
    std::mutex m_executorsMutex;
    Server m_machines;
    std::vector<Member> m_members;
    std::size_t m_calls = 0;
};

/// Whether the disruption is left out (TROUBLE=0).
auto isCalm() -> bool;
/// Runs a case: ends with status 0 if it returns true, 1 if it returns false, and 2 if it returns
/// no value or takes too long.
auto runCase(const std::string &folder,
             const std::function<std::optional<bool>(Record &, Deployment &)> &scenario) -> int;

} // namespace stand
