#pragma once

#include <fstream>

#include "executor.hpp"

namespace review {

/// One process of the project.
struct Member
{
    std::string name;
    std::string callers;
    std::string readiness;
    std::string settingsFile;
    std::string logFile;
    Json settings;
    int pid = 0;
};

/// A small deployment: six members of the project, a store, a list of machines and the executors of
/// one service, all on 127.0.0.1. Writes what happens to `record.txt` and the standard output.
class Deployment
{
public:
    static constexpr auto Service = "nordrute";
    static constexpr auto Host = "pule25.example";
    static constexpr auto Prefix = "/puxa400/";
    static constexpr auto ApiKey = "sjnbanfqasnmgkcuyj8p";

    Deployment(std::string folder, const std::string &recordFile, int executorCount);
    /// Kills the members that still run.
    ~Deployment();
    Deployment(const Deployment &) = delete;
    auto operator=(const Deployment &) -> Deployment & = delete;

    /// Starts the members and waits until all are ready and one of them is the holder. Returns
    /// whether they were in time.
    auto start() -> bool;
    auto note(const std::string &text) -> void;
    /// Hands a job in at the members in turn, again after an answer that isn't final. Returns
    /// whether it was accepted.
    auto submit(const std::string &id, const Json &job) -> bool;
    /// Returns the state of a job, or the status of the answer.
    auto stateOf(const std::string &id) -> std::string;
    /// Returns `pending` of the queue as told by this member.
    auto pending(std::size_t member) -> std::optional<int>;
    /// Returns the member that holds the key of the holder; no value if nobody does.
    auto holder() -> std::optional<std::size_t>;
    auto sendSignal(std::size_t member, int signal) -> void;
    /// Starts a member again that has ended, once it has.
    auto restartMember(std::size_t member) -> void;
    /// Waits until `condition` holds. Returns whether it did in time.
    auto waitFor(Milliseconds time, const std::function<bool()> &condition) -> bool;
    static auto sleep(Milliseconds time) -> void { std::this_thread::sleep_for(time); }
    /// Writes all runs to the record.
    auto noteRuns() -> void;

    [[nodiscard]] auto runs() -> std::vector<RunRecord>;
    [[nodiscard]] auto memberCount() const -> std::size_t { return m_members.size(); }
    /// Milliseconds since the start of the deployment.
    [[nodiscard]] auto at(SteadyClock::time_point time) const -> long;

    /// Number of lists of the machines that were asked for.
    std::atomic<int> listCalls = 0;
    /// How long the answer to a call for the list is on its way.
    std::atomic<int> listDelayMilliseconds = 4;
    RunLog log;
    Store store;
    std::vector<std::unique_ptr<Executor>> executors;

private:
    auto handleCloud(const HttpRequest &request) -> HttpResponse;
    auto addMember(int number) -> void;
    auto launch(Member &member) -> void;
    auto hasEnded(Member &member) -> bool;
    auto call(std::size_t member, const std::string &method, const std::string &path,
              const std::string &body) -> std::optional<HttpResponse>;

    std::string m_folder;
    std::mutex m_noteMutex;
    std::ofstream m_record;
    SteadyClock::time_point m_startedAt = SteadyClock::now();
    HttpServer m_cloud;
    std::vector<Member> m_members;
    std::size_t m_nextMember = 0;
    std::atomic<bool> m_isStopping = false;
    std::thread m_ticker;
};

/// Returns the occurrence that the name of a task gives.
auto occurrenceOf(const std::string &task) -> int;

} // namespace review
