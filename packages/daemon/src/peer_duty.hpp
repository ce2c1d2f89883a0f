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

/// Sends frames to peers and receives theirs. Lost frames are not sent again: senders repeat their
/// messages or can do without them. A connection on which the peer stops confirming frames is
/// closed, and the next message opens a new one.
class PeerDuty : public QObject
{
public:
    PeerDuty(ProcessContext &process, Links &links);

    auto listen() -> Expected<void, ListenError>;
    auto start() -> void;
    auto stop() -> void;

private:
    /// A connection to a peer, over which messages are sent.
    struct Outgoing
    {
        std::string endpoint;
        std::unique_ptr<QTcpSocket> socket;
        std::unique_ptr<PeerSession> session;
        std::deque<PeerEnvelope> waiting; // sent once the session is open
        BootTime connectedAt;
        BootTime lastProgressAt; // last confirmation, or first frame that awaits one
    };

    /// A connection from a peer; it is unauthenticated until its session is open.
    struct Incoming
    {
        std::unique_ptr<PeerSession> session;
        BootTime acceptedAt;
        BootTime lastReceivedAt;
    };

    auto drainCommands() -> void;
    auto setRoster(const PeerRoster &roster) -> void;
    auto send(const PeerSend &command) -> void;
    auto connectTo(const MemberName &name, Outgoing &outgoing) -> void;
    auto readConfirmations(Outgoing &outgoing) -> void;
    auto flush(Outgoing &outgoing) -> void;
    auto write(Outgoing &outgoing, const PeerEnvelope &envelope) -> void;
    auto acceptWaiting() -> void;
    auto read(QTcpSocket &socket) -> void;
    auto refuse(QTcpSocket &socket, const PeerError &ec) -> void;
    auto checkConnections() -> void;
    [[nodiscard]] auto unauthenticatedCount() const -> std::size_t;

    ProcessContext &m_process;
    Links &m_links;
    std::unique_ptr<QTcpServer> m_server;
    std::unique_ptr<QTimer> m_timer;
    std::map<MemberName, Outgoing> m_outgoing;
    std::map<QTcpSocket *, Incoming> m_incoming;
};

} // namespace shallotproxy
