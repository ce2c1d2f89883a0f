#pragma once

#include <cstddef>
#include <fstream>
#include <optional>
#include <set>

#include <sys/types.h>

#include <nlohmann/json.hpp>

#include "loop.hpp"

namespace stand3 {

using Json = nlohmann::json;

/// Bounds of the small site that all cases use.
inline constexpr std::int64_t HoldMaxMilliseconds = 10'000;
inline constexpr std::int64_t StopMilliseconds = 100; // at most `stop_timeout_ms`, 900
inline constexpr std::int64_t HeartbeatMilliseconds = 1'500;

/// Writes `record.txt`: one line for each event, with the seconds since the start.
class Record
{
public:
    explicit Record(const std::string &path);
    auto add(const std::string &line) -> void;

private:
    std::ofstream m_file;
};

/// The platform's metadata store.
class Store
{
public:
    Store(Loop &loop, const std::string &address);

    /// A write of the operator or of an executor.
    auto put(const std::string &key, const std::string &value) -> std::uint64_t;
    auto remove(const std::string &key) -> void;

    [[nodiscard]] auto value(const std::string &key) const -> std::string;

    /// Called for each call; returns whether the call is refused with 503.
    std::function<bool(const Request &)> refuses;

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
        std::int64_t ttl = 0;
        std::int64_t endsAt = 0;
    };

    struct Event
    {
        std::string key;
        std::uint64_t revision = 0;
        bool isDeleted = false;
        Item item;
    };

    struct Watch
    {
        std::string prefix;
        std::uint64_t after = 0;
        std::int64_t dueAt = 0;
        Respond respond;
    };

    auto handle(const Request &request, const Respond &respond) -> void;
    auto commit(const Json &body, const Respond &respond) -> void;
    auto write(const std::string &key, std::string value, std::uint64_t lease,
               std::uint64_t revision) -> void;
    auto erase(const std::string &key, std::uint64_t revision) -> void;
    auto endLease(std::uint64_t lease) -> void;
    auto answerWatches() -> void;
    auto tick() -> void;
    static auto itemJson(const std::string &key, const Item &item) -> Json;

    Loop &m_loop;
    std::uint64_t m_revision = 100;
    std::uint64_t m_lastLease = 7'000;
    std::map<std::string, Item> m_items;
    std::map<std::uint64_t, Lease> m_leases;
    std::vector<Event> m_history;
    std::vector<Watch> m_watches;
    Server m_server;
};

/// What an executor does with a run that it has started.
struct Work
{
    /// No value: the run goes on until it is stopped.
    std::optional<std::int64_t> milliseconds;
    bool isFailing = false;
    /// Time until `percent` is 100.
    std::int64_t startupMilliseconds = 300;
};

/// An executor, on a machine of its own.
class Executor
{
public:
    struct Run
    {
        std::string task;
        std::uint64_t run = 0;
        std::int64_t startedAt = 0;
        Work work;
        std::int64_t milliCores = 0;
    };

    struct Settings
    {
        std::string id;
        std::string machine;
        std::string service;
        std::string address;
        std::string zone;
        std::int64_t milliCores = 16'000;
    };

    Executor(Loop &loop, Store &store, Record &record, Settings settings);

    /// Ends the process and all that runs there; it is back under its id after that time.
    auto crash(std::int64_t downMilliseconds) -> void;
    /// The same with its machine: nothing is refused, nothing is answered.
    auto crashSilently(std::int64_t downMilliseconds) -> void;
    /// Cuts the executor off for that time. Its process ends at once, with all that runs there, and
    /// starts again behind the cut. Its machine stays up.
    auto restartBehindCut(std::int64_t milliseconds) -> void;
    [[nodiscard]] auto isUp() const -> bool { return m_isUp; }
    [[nodiscard]] auto settings() const -> const Settings & { return m_settings; }
    [[nodiscard]] auto runs() const -> const std::vector<Run> & { return m_runs; }

    /// What becomes of an order: it is answered, carried out without an answer, or carried out some
    /// seconds later without an answer.
    enum class Fate { Answered, AnswerLost, Late };

    std::function<Fate(const Request &)> fateOf;
    /// Tells what a task does, and how much of a core it takes.
    std::function<Work(const std::string &task)> workOf;
    std::function<std::int64_t(const std::string &task)> milliCoresOf;
    std::function<void(Executor &, const Run &)> started;
    std::function<void(Executor &, const Run &, const std::string &how)> ended;

private:
    struct End
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
    };

    struct Hold
    {
        std::int64_t dueAt = 0;
        Respond respond;
    };

    auto receive(const Request &request, const Respond &respond) -> void;
    auto handle(const Request &request, const Respond &respond) -> void;
    auto start(const Json &body, const Respond &respond) -> void;
    auto stop(const Json &body, const Respond &respond) -> void;
    auto hold(const Json &body, const Respond &respond) -> void;
    auto refuse(const Respond &respond, const std::string &reason) const -> void;
    auto endRun(const std::string &task, std::uint64_t run, const std::string &how) -> void;
    auto extend(const Json &body) -> void;
    [[nodiscard]] auto lists() const -> std::string;
    [[nodiscard]] auto clock() const -> std::int64_t;
    auto loseRuns() -> void;
    auto boot() -> void;
    auto beat() -> void;
    auto tick() -> void;

    Loop &m_loop;
    Store &m_store;
    Record &m_record;
    Settings m_settings;
    bool m_isUp = true;
    std::uint64_t m_life = 0;
    std::int64_t m_bootedAt = 0;
    std::int64_t m_born = 0;
    std::uint64_t m_token = 0;
    std::int64_t m_deadline = 0;
    std::uint64_t m_lastEnd = 0;
    std::uint64_t m_sequence = 0;
    std::vector<Run> m_runs;
    std::vector<End> m_ends;
    std::vector<Hold> m_holds;
    std::map<std::string, std::uint64_t> m_highestRuns;
    Server m_server;
};

/// The platform's list of machines.
class Cloud
{
public:
    Cloud(Loop &loop, const std::string &address, std::vector<Executor *> executors);

private:
    std::vector<Executor *> m_executors;
    Server m_server;
};

/// The processes of the system, started with the command of the deploy file.
class Members
{
public:
    struct Settings
    {
        std::string folder;
        std::vector<std::string> ips;
        int port = 0;
        std::string store;
        std::string cloud;
    };

    Members(Record &record, Settings settings);
    ~Members();
    Members(const Members &) = delete;
    auto operator=(const Members &) -> Members & = delete;

    /// Starts a member; only the first time as one of the system's first start.
    auto start(std::size_t member) -> void;
    [[nodiscard]] auto ip(std::size_t member) const -> std::string;
    auto signal(std::size_t member, int number) -> void;
    [[nodiscard]] auto front(std::size_t member) const -> std::string;
    [[nodiscard]] auto count() const -> std::size_t { return m_settings.ips.size(); }

private:
    Record &m_record;
    Settings m_settings;
    std::vector<pid_t> m_processes;
    std::set<std::size_t> m_started;
};

} // namespace stand3
