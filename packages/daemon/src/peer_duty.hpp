#pragma once

#include <deque>
#include <map>
#include <memory>

#include <QObject>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include "links.hpp"
#include "process_context.hpp"
#include "shallotproxy/connection/http/http_server.hpp"

namespace shallotproxy {

/// Sends frames to peers and takes theirs in. A lost frame is lost: every message is one that its
/// sender repeats or can do without. A connection that confirms nothing for a while is given up
/// for a new one.
class PeerDuty : public QObject
{
public:
    PeerDuty(ProcessContext &process, Links &links);

    auto listen() -> Expected<void, ListenError>;
    auto start() -> void;
    auto stop() -> void;

private:
    /// A connection to a peer.
    struct Outgoing
    {
        std::string endpoint;
        std::unique_ptr<QTcpSocket> socket;
        std::unique_ptr<PeerSession> session;
        std::deque<PeerEnvelope> waiting; // until the session is open
        BootTime connectedAt;
        BootTime progressAt; // of confirmations
    };

    /// A connection from a peer, or from a stranger until its session is open.
    struct Incoming
    {
        std::unique_ptr<PeerSession> session;
        BootTime acceptedAt;
        BootTime heardAt;
    };

    auto drainOrders() -> void;
    auto setRoster(const PeerRoster &roster) -> void;
    auto send(const PeerSend &order) -> void;
    auto connectTo(const MemberName &name, Outgoing &outgoing) -> void;
    auto readConfirmations(Outgoing &outgoing) -> void;
    auto flush(Outgoing &outgoing) -> void;
    auto write(Outgoing &outgoing, const PeerEnvelope &envelope) -> void;
    auto acceptWaiting() -> void;
    auto read(QTcpSocket &socket) -> void;
    auto refuse(QTcpSocket &socket, const PeerError &ec) -> void;
    auto checkConnections() -> void;
    [[nodiscard]] auto strangerCount() const -> std::size_t;

    ProcessContext &m_process;
    Links &m_links;
    std::unique_ptr<QTcpServer> m_server;
    std::unique_ptr<QTimer> m_timer;
    std::map<MemberName, Outgoing> m_outgoing;
    std::map<QTcpSocket *, Incoming> m_incoming;
};

} // namespace shallotproxy
