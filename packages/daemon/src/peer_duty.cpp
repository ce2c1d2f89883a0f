#include "peer_duty.hpp"

#include <algorithm>

#include <QHostAddress>

#include "duty_thread.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr auto PeerLog = Log("peers");
constexpr qint64 MaxUnsentBytes = qint64{1024} * 1024;
constexpr qint64 ReadBufferBytes = qint64{256} * 1024;
constexpr std::size_t MaxWaitingMessages = 256; // per session that isn't open yet
constexpr std::size_t MaxIncomingConnections = 1'024;
// Unauthenticated senders may be hostile, so few of their connections are accepted.
constexpr std::size_t MaxUnauthenticatedConnections = 64;
constexpr Duration ReconnectDelay = 500ms;
constexpr Duration AuthenticationTimeout = 2s;
constexpr Duration ConfirmationTimeout = 2s; // a peer confirms received frames within this time
constexpr Duration IdleTimeout = 30s; // an authenticated peer that sends nothing is disconnected
constexpr auto CheckInterval = 250ms;

auto splitEndpoint(const std::string &endpoint) -> std::pair<QHostAddress, quint16>
{
    const auto colon = endpoint.rfind(':');
    return {QHostAddress(toQString(endpoint.substr(0, colon))),
            toQString(endpoint.substr(colon + 1)).toUShort()};
}

} // namespace

PeerDuty::PeerDuty(ProcessContext &process, Links &links)
    : m_process(process)
    , m_links(links)
{
    attachConsumer(links.controlToPeers, this, [this] { drainCommands(); });
}

auto PeerDuty::listen() -> Expected<void, ListenError>
{
    m_server = std::make_unique<QTcpServer>();
    connect(m_server.get(), &QTcpServer::newConnection, this, [this] { acceptWaiting(); });
    const auto &endpoint = m_process.settings.peersEndpoint;
    const auto [address, port] = splitEndpoint(endpoint);
    if (m_server->listen(address, port))
        return {};
    return tl::unexpected(ListenError{ListenError::Kind::AddressInUse, endpoint,
                                      m_server->errorString().toStdString()});
}

auto PeerDuty::start() -> void
{
    m_timer = std::make_unique<QTimer>();
    connect(m_timer.get(), &QTimer::timeout, this, [this] { checkConnections(); });
    m_timer->start(CheckInterval);
}

auto PeerDuty::stop() -> void
{
    m_timer.reset();
    m_outgoing.clear();
    for (auto &[socket, incoming] : m_incoming)
        socket->disconnect(this);
    m_incoming.clear();
    m_server.reset();
}

auto PeerDuty::drainCommands() -> void
{
    m_links.controlToPeers.drain([this](const PeerCommand &command) {
        if (const auto *roster = std::get_if<PeerRoster>(&command))
            setRoster(*roster);
        if (const auto *message = std::get_if<PeerSend>(&command))
            send(*message);
    });
}

auto PeerDuty::setRoster(const PeerRoster &roster) -> void
{
    std::erase_if(m_outgoing, [&roster](const auto &it) {
        return std::ranges::none_of(roster.peers, [&it](const PeerAddress &peer) {
            return peer.member == it.first && peer.endpoint == it.second.endpoint;
        });
    });
    for (const auto &it : roster.peers)
        m_outgoing[it.member].endpoint = it.endpoint;
}

auto PeerDuty::send(const PeerSend &command) -> void
{
    const auto it = m_outgoing.find(command.to);
    if (it == m_outgoing.end())
        return;
    auto &outgoing = it->second;
    const auto isClosed =
        !outgoing.socket || outgoing.socket->state() == QAbstractSocket::UnconnectedState;
    if (isClosed) {
        if (outgoing.socket && BootClock::now() - outgoing.connectedAt < ReconnectDelay)
            return;
        connectTo(command.to, outgoing);
    }
    if (outgoing.session->isOpen()) {
        write(outgoing, command.envelope);
    } else if (outgoing.waiting.size() < MaxWaitingMessages) {
        outgoing.waiting.push_back(command.envelope);
    } else {
        m_process.metrics.count("shallotproxy_peer_frames_dropped_total");
    }
}

auto PeerDuty::connectTo(const MemberName &name, Outgoing &outgoing) -> void
{
    const auto now = BootClock::now();
    const auto &settings = m_process.settings;
    outgoing.socket = std::make_unique<QTcpSocket>();
    outgoing.session = std::make_unique<PeerSession>(m_process.self, settings.peerSecret, name);
    outgoing.connectedAt = now;
    outgoing.lastProgressAt = now;
    outgoing.socket->setReadBufferSize(ReadBufferBytes);
    outgoing.socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    // Both connections end with the map's entry, whose address is stable.
    connect(outgoing.socket.get(), &QTcpSocket::connected, this,
            [this, &outgoing] { flush(outgoing); });
    connect(outgoing.socket.get(), &QTcpSocket::readyRead, this,
            [this, &outgoing] { readConfirmations(outgoing); });
    const auto [address, port] = splitEndpoint(outgoing.endpoint);
    outgoing.socket->connectToHost(address, port);
}

auto PeerDuty::readConfirmations(Outgoing &outgoing) -> void
{
    auto &session = *outgoing.session;
    const auto confirmed = session.confirmedCount();
    session.append(outgoing.socket->readAll());
    const auto frame = session.next();
    if (!frame) {
        refuse(*outgoing.socket, frame.error());
        return;
    }
    if (session.confirmedCount() > confirmed)
        outgoing.lastProgressAt = BootClock::now();
    if (!session.isOpen() || outgoing.waiting.empty())
        return;
    outgoing.lastProgressAt = BootClock::now();
    for (const auto &it : outgoing.waiting)
        write(outgoing, it);
    outgoing.waiting.clear();
}

auto PeerDuty::flush(Outgoing &outgoing) -> void
{
    outgoing.socket->write(outgoing.session->takeOutput());
}

auto PeerDuty::write(Outgoing &outgoing, const PeerEnvelope &envelope) -> void
{
    if (outgoing.socket->bytesToWrite() > MaxUnsentBytes) {
        m_process.metrics.count("shallotproxy_peer_frames_dropped_total");
        return;
    }
    auto &session = *outgoing.session;
    // The confirmation timeout starts with the first frame that is not confirmed.
    if (session.sentCount() == session.confirmedCount())
        outgoing.lastProgressAt = BootClock::now();
    const auto frame = session.encode(envelope);
    m_process.metrics.count("shallotproxy_peer_bytes_total", {}, static_cast<double>(frame.size()));
    outgoing.socket->write(frame);
}

auto PeerDuty::unauthenticatedCount() const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_incoming, [](const auto &it) { return !it.second.session->isOpen(); }));
}

auto PeerDuty::acceptWaiting() -> void
{
    while (auto *socket = m_server->nextPendingConnection()) {
        if (m_incoming.size() >= MaxIncomingConnections
            || unauthenticatedCount() >= MaxUnauthenticatedConnections) {
            m_process.metrics.count("shallotproxy_peer_connections_refused_total");
            socket->abort();
            socket->deleteLater();
            continue;
        }
        const auto now = BootClock::now();
        auto session = std::make_unique<PeerSession>(m_process.self, m_process.settings.peerSecret);
        m_incoming.emplace(socket, Incoming{std::move(session), now, now});
        socket->setReadBufferSize(ReadBufferBytes);
        connect(socket, &QTcpSocket::readyRead, this, [this, socket] { read(*socket); });
        connect(socket, &QTcpSocket::disconnected, this, [this, socket] {
            m_incoming.erase(socket);
            socket->deleteLater();
        });
    }
}

auto PeerDuty::read(QTcpSocket &socket) -> void
{
    const auto it = m_incoming.find(&socket);
    if (it == m_incoming.end())
        return;
    auto &session = *it->second.session;
    it->second.lastReceivedAt = BootClock::now();
    session.append(socket.readAll());
    while (true) {
        auto frame = session.next();
        if (!frame) {
            refuse(socket, frame.error());
            return;
        }
        if (!*frame)
            break;
        if (!m_links.peersToControl.push(std::move(**frame)))
            m_process.metrics.count("shallotproxy_peer_frames_dropped_total");
    }
    if (const auto output = session.takeOutput(); !output.isEmpty())
        socket.write(output);
}

auto PeerDuty::refuse(QTcpSocket &socket, const PeerError &ec) -> void
{
    PeerLog.warning("closing a peer connection: {} ({})", ec.name(), ec.number());
    m_process.metrics.count("shallotproxy_peer_frames_refused_total",
                            fmt::format("error=\"{}\"", ec.name()));
    socket.abort();
}

// A connection can stay unresponsive while new ones work, when a network device in between (such as
// a NAT or a firewall) has lost its state. Such connections are closed.
auto PeerDuty::checkConnections() -> void
{
    const auto now = BootClock::now();
    for (auto &[name, outgoing] : m_outgoing) {
        if (!outgoing.socket || outgoing.socket->state() == QAbstractSocket::UnconnectedState)
            continue;
        const auto &session = *outgoing.session;
        const auto isAuthenticationOverdue =
            !session.isOpen() && now - outgoing.connectedAt > AuthenticationTimeout;
        const auto isUnresponsive = session.sentCount() > session.confirmedCount()
            && now - outgoing.lastProgressAt > ConfirmationTimeout;
        if (isAuthenticationOverdue || isUnresponsive) {
            m_process.metrics.count("shallotproxy_peer_connections_silent_total");
            outgoing.waiting.clear();
            outgoing.socket->abort();
        }
    }
    auto overdue = std::vector<QTcpSocket *>();
    for (auto &[socket, incoming] : m_incoming) {
        incoming.session->confirm();
        if (const auto output = incoming.session->takeOutput(); !output.isEmpty())
            socket->write(output);
        const auto isOpen = incoming.session->isOpen();
        if (isOpen ? now - incoming.lastReceivedAt > IdleTimeout
                   : now - incoming.acceptedAt > AuthenticationTimeout)
            overdue.push_back(socket);
    }
    for (auto *socket : overdue)
        socket->abort();
}

} // namespace shallotproxy
