#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <QObject>
#include <QTcpServer>
#include <QTcpSocket>

#include "shallotproxy/connection/http/http_parser.hpp"

namespace standin {

/// How a target misbehaves with a request that it has received.
enum class TargetFault {
    None,
    Close, // closes without an answer
    Partial, // sends half of its answer, then resets
    NoEnd, // answer without a length, then resets
    Silent, // never answers, on any connection
    SilentOpen, // never answers on connections that are open now; new ones work
    Late, // answers five seconds late
    FailFast, // answers 500 at once
    Crossed, // sends a second answer that nobody asked for
    Leave, // takes no new connections; open ones work
    Refuse, // dead: takes no new connections, closes the open ones, and what it ran is gone
    Cut, // closes the open connections while what they asked for runs on
};

/// What one target has run.
struct TargetCounts
{
    std::uint64_t runs = 0;
    std::uint64_t repeats = 0; // runs of a request that had run before, here or elsewhere
    std::uint32_t running = 0;
    std::uint32_t mostRunning = 0;
};

/// Requests of one team, named by the callers' test header `Team`, at all targets.
struct TeamCounts
{
    std::uint32_t running = 0;
    std::uint32_t mostRunning = 0;
};

/// What all targets of this process have seen.
struct TargetLedger
{
    std::map<std::string, std::uint32_t> runsOfRequest;
    std::map<std::string, std::uint32_t> runsOfBody; // of callers' bodies that begin with "once "
    std::map<std::string, TeamCounts> teams;
    std::uint64_t repeatedBodies = 0;
};

/// One executor. A request names its run time by `Work-Ms`; the answer repeats its body.
class TargetServer : public QObject
{
public:
    TargetServer(quint16 port, TargetLedger &ledger);

    [[nodiscard]] auto isListening() const -> bool { return m_server.isListening(); }
    auto setFault(TargetFault fault, int lateMilliseconds) -> void;
    [[nodiscard]] auto counts() const -> const TargetCounts & { return m_counts; }

private:
    struct Client;

    auto accept() -> void;
    auto count(const shallotproxy::HttpRequest &request) -> void;
    auto stopWork(Client &client) -> void;
    auto read(const std::shared_ptr<Client> &client) -> void;
    auto run(const std::shared_ptr<Client> &client, const shallotproxy::HttpRequest &request)
        -> void;
    auto answer(const std::shared_ptr<Client> &client, const shallotproxy::HttpRequest &request)
        -> void;

    QTcpServer m_server;
    quint16 m_port;
    TargetLedger &m_ledger;
    TargetFault m_fault = TargetFault::None;
    int m_lateMilliseconds = 0;
    std::vector<std::weak_ptr<Client>> m_clients;
    TargetCounts m_counts;
};

} // namespace standin
