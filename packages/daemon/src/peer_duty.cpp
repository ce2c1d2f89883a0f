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
constexpr std::size_t MaxWaiting = 256; // messages for a session that isn't open yet
constexpr std::size_t MaxIncoming = 1'024; // connections
constexpr std::size_t MaxStrangers = 64; // connections that have not authenticated themselves
constexpr Duration ReconnectDelay = 500ms;
constexpr Duration OpenTime = 2s; // to authenticate, then the connection is closed
constexpr Duration SilenceTime = 2s; // without a confirmation of what was sent
constexpr Duration IdleTime = 30s; // without any byte of an authenticated peer
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
    attachConsumer(links.controlToPeers, this, [this] { drainOrders(); });
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

auto PeerDuty::drainOrders() -> void
{
    m_links.controlToPeers.drain([this](const PeerOrder &order) {
        if (const auto *roster = std::get_if<PeerRoster>(&order))
            setRoster(*roster);
        if (const auto *message = std::get_if<PeerSend>(&order))
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

auto PeerDuty::send(const PeerSend &order) -> void
{
    const auto it = m_outgoing.find(order.to);
    if (it == m_outgoing.end())
        return;
    auto &outgoing = it->second;
    const auto isClosed =
        !outgoing.socket || outgoing.socket->state() == QAbstractSocket::UnconnectedState;
    if (isClosed) {
        if (outgoing.socket && BootClock::now() - outgoing.connectedAt < ReconnectDelay)
            return;
        connectTo(order.to, outgoing);
    }
    if (outgoing.session->isOpen()) {
        write(outgoing, order.envelope);
    } else if (outgoing.waiting.size() < MaxWaiting) {
        outgoing.waiting.push_back(order.envelope);
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
    outgoing.progressAt = now;
    outgoing.socket->setReadBufferSize(ReadBufferBytes);
    outgoing.socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    // Both end with the entry, whose address in the map is stable.
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
        outgoing.progressAt = BootClock::now();
    if (!session.isOpen() || outgoing.waiting.empty())
        return;
    outgoing.progressAt = BootClock::now();
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
    // Silence is counted from the first message that is not confirmed.
    if (session.sentCount() == session.confirmedCount())
        outgoing.progressAt = BootClock::now();
    const auto frame = session.encode(envelope);
    m_process.metrics.count("shallotproxy_peer_bytes_total", {}, static_cast<double>(frame.size()));
    outgoing.socket->write(frame);
}

auto PeerDuty::strangerCount() const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_incoming, [](const auto &it) { return !it.second.session->isOpen(); }));
}

auto PeerDuty::acceptWaiting() -> void
{
    while (auto *socket = m_server->nextPendingConnection()) {
        if (m_incoming.size() >= MaxIncoming || strangerCount() >= MaxStrangers) {
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
    it->second.heardAt = BootClock::now();
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
    PeerLog.warning("closing a connection: {} ({})", ec.name(), ec.number());
    m_process.metrics.count("shallotproxy_peer_frames_refused_total",
                            fmt::format("error=\"{}\"", ec.name()));
    socket.abort();
}

// A connection can go silent for good while new ones work, because something in between has lost
// track of it.
auto PeerDuty::checkConnections() -> void
{
    const auto now = BootClock::now();
    for (auto &[name, outgoing] : m_outgoing) {
        if (!outgoing.socket || outgoing.socket->state() == QAbstractSocket::UnconnectedState)
            continue;
        const auto &session = *outgoing.session;
        const auto isUnopened = !session.isOpen() && now - outgoing.connectedAt > OpenTime;
        const auto isSilent = session.sentCount() > session.confirmedCount()
            && now - outgoing.progressAt > SilenceTime;
        if (isUnopened || isSilent) {
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
        if (isOpen ? now - incoming.heardAt > IdleTime : now - incoming.acceptedAt > OpenTime)
            overdue.push_back(socket);
    }
    for (auto *socket : overdue)
        socket->abort();
}

} // namespace shallotproxy
