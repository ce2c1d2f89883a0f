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

/// Fault that a target simulates. Each is named after its mode of `POST /fault`.
enum class TargetFault {
    None,
    Close, // closes the connection without a response
    Partial, // sends half of the response, then resets the connection
    NoEnd, // sends a response without a length, then resets the connection
    Silent, // never responds on any connection
    SilentOpen, // never responds on connections that are open now; new ones work
    Late, // responds late, by default five seconds
    FailFast, // responds with status 500 at once
    Crossed, // sends a second response that belongs to no request
    Leave, // accepts no new connections; open ones work
    Refuse, // crashes: accepts no new connections, closes open ones and ends their runs
    Cut, // closes the open connections while their runs continue
};

/// Runs of one target.
struct TargetCounts
{
    std::uint64_t runs = 0;
    std::uint64_t repeats = 0; // runs of a request that had run before on any target
    std::uint32_t running = 0;
    std::uint32_t maxRunning = 0;
};

/// Runs of one team on all targets. The test header `Team` names the team of a request.
struct TeamCounts
{
    std::uint32_t running = 0;
    std::uint32_t maxRunning = 0;
};

/// Totals of all targets of this process.
struct TargetLedger
{
    std::map<std::string, std::uint32_t> runsOfRequest;
    std::map<std::string, std::uint32_t> runsOfBody; // only of bodies that begin with "once "
    std::map<std::string, TeamCounts> teams;
    std::uint64_t repeatedBodies = 0; // runs of such a body that had run before
};

/// Simulates one target. The header `Work-Ms` of a request sets its run time; the response repeats
/// the body of the request.
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
    auto countRun(const shallotproxy::HttpRequest &request) -> void;
    auto endRun(Client &client) -> void;
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
