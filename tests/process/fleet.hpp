#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <QJsonObject>
#include <QProcess>
#include <QTcpServer>
#include <QTemporaryDir>

#include "relay.hpp"
#include "shallotproxy/connection.hpp"

namespace shallotproxy::test {

/// How many processes a test starts, and what they declare.
struct FleetOptions
{
    int members = 3;
    int targets = 4;
    int workers = 0;
    /// Declarations; empty for one pool `main` on two data centres `north` and `south` with queues
    /// `orders`, `quotes` (idempotent) and `open`, and the teams `red` and `blue`.
    std::string declarations = {};
    /// Whether members write their time-line events to files.
    bool hasJournal = true;
    /// The member that reaches the store through a relay that can drop all traffic; -1 for none.
    int relayedMember = -1;
};

struct CommandResult
{
    int exitCode = -1;
    std::string output; // standard output
    std::string errors; // standard error
};

/// A complete deployment on loopback: key-value service, targets, workers and members as processes.
/// The destructor kills every process that is still running.
class Fleet
{
public:
    explicit Fleet(FleetOptions options);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    auto operator=(const Fleet &) -> Fleet & = delete;

    /// Starts a stopped member again, as a new incarnation.
    auto startMember(int index) -> void;
    /// Sends SIGKILL and waits for the process to end.
    auto killMember(int index) -> void;
    /// Sends SIGTERM, waits for the process to end and returns its exit code; -1 if it crashed or
    /// did not end in time.
    auto terminateMember(int index) -> int;
    /// Sends SIGTERM to every running member. Returns whether all ended with code 0.
    auto terminateAll() -> bool;
    /// Sends SIGSTOP.
    auto pauseMember(int index) -> void;
    /// Sends SIGCONT.
    auto resumeMember(int index) -> void;

    /// Waits until every running member is fresh and serves `version` or a later one.
    auto waitForVersion(std::uint64_t version, int timeoutMilliseconds = 15'000) -> bool;
    /// Runs shallotctl with these arguments, against all running members.
    auto ctl(const QStringList &arguments) -> CommandResult;
    /// Creates a key for a team and returns its text; empty on failure.
    auto createKey(const std::string &team) -> std::string;
    /// Injects a fault into the key-value service; see standins/store_main.cpp.
    auto injectStoreFault(const std::string &json) -> void;
    /// Starts or ends a network partition between the relayed member and the store: connections
    /// stay open, but carry nothing.
    auto partitionFromStore(bool isPartitioned) -> void;
    /// Starts shallotctl with these arguments against one member, for commands that race.
    auto startCtl(const QStringList &arguments, int member) -> std::unique_ptr<QProcess>;
    /// Waits until a started shallotctl ends, and returns its result.
    static auto finishCtl(QProcess &process) -> CommandResult;
    /// Injects a fault into the targets; see standins/targets_main.cpp.
    auto injectTargetFault(const std::string &json) -> void;
    /// Returns a count of the targets, such as `runs`, `repeats` or `mostRunning`; -1 if it is
    /// missing.
    auto targetCount(const std::string &name) -> std::int64_t;
    /// Returns the maximum number of requests of a team that ran at once on the targets. Callers
    /// name their team in the header `Team`.
    auto targetMaxRunning(const std::string &team) -> std::int64_t;
    /// Injects a fault into the workers or the host list; see standins/worker_platform.cpp.
    auto injectWorkerFault(const std::string &json) -> void;
    /// Returns a count of the workers, such as `starts`, `doubleStarts` or `reboots`.
    auto workerCount(const std::string &name) -> std::int64_t;
    [[nodiscard]] auto workerAddress(int worker) const -> std::string;

    /// Sends one request to a member's callers' endpoint and waits for the complete response.
    auto request(int member, const HttpRequest &request, int timeoutMilliseconds = 10'000)
        -> TargetReply;
    /// Returns a POST to a queue with a key, a run time on the target and a body.
    static auto queueRequest(const std::string &queue, const std::string &key, int workMilliseconds,
                             const std::string &body) -> HttpRequest;

    [[nodiscard]] auto callersEndpoint(int member) const -> std::string;
    [[nodiscard]] auto operatorsEndpoint(int member) const -> std::string;
    [[nodiscard]] auto peersEndpoint(int member) const -> std::string;
    /// Returns the process id of a member that must be running.
    [[nodiscard]] auto runningProcessId(int member) const -> qint64;
    /// Returns the port of the first target; the ports of the others follow it.
    [[nodiscard]] auto firstTargetPort() const -> int { return m_firstTargetPort; }
    [[nodiscard]] auto storeEndpoint() const -> std::string;
    [[nodiscard]] auto targetPort(int target) const -> int { return m_firstTargetPort + target; }
    [[nodiscard]] auto isRunning(int member) const -> bool;
    /// Returns the process id of a member; 0 if it is not running.
    [[nodiscard]] auto processId(int member) const -> qint64;
    /// Returns the time-line events of all members, including killed ones, one line of JSON each.
    [[nodiscard]] auto journal() const -> std::vector<std::string>;

private:
    struct Member
    {
        quint16 callers = 0;
        quint16 operators = 0;
        quint16 peers = 0;
        std::string settingsFile;
        std::unique_ptr<QProcess> process;
    };

    auto targetReport() -> QJsonObject;
    auto start(const QString &program, const QStringList &arguments) -> std::unique_ptr<QProcess>;
    auto writeFile(const std::string &name, const std::string &text) -> std::string;
    auto writeSettings(int index) -> void;
    [[nodiscard]] auto defaultDeclarations() const -> std::string;

    FleetOptions m_options;
    QTemporaryDir m_folder;
    QTcpServer m_portReservation;
    quint16 m_storePort = 0;
    quint16 m_controlPort = 0;
    quint16 m_firstTargetPort = 0;
    quint16 m_platformPort = 0;
    quint16 m_firstWorkerPort = 0;
    std::unique_ptr<Relay> m_relay;
    std::unique_ptr<QProcess> m_store;
    std::unique_ptr<QProcess> m_targets;
    std::unique_ptr<QProcess> m_workers;
    std::vector<Member> m_members;
};

/// Sends a request to `endpoint` on a new connection and waits for the complete response.
auto sendOnce(const std::string &endpoint, const HttpRequest &request, int timeoutMilliseconds)
    -> TargetReply;

/// Runs the event loop until `condition` holds. Returns false if it doesn't hold in time.
auto waitUntil(const std::function<bool()> &condition, int timeoutMilliseconds) -> bool;

} // namespace shallotproxy::test
