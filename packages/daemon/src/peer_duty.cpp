#include "peer_duty.hpp"

#include <QHostAddress>

#include "duty_thread.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr auto PeerLog = Log("peers");
constexpr qint64 MaxUnsentBytes = qint64{1024} * 1024;
constexpr std::size_t MaxIncoming = 1'024; // connections
constexpr Duration ReconnectDelay = 500ms;

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

auto PeerDuty::start() -> void { }

auto PeerDuty::stop() -> void
{
    m_outgoing.clear();
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
    auto kept = std::map<MemberName, Outgoing>();
    for (const auto &it : roster.peers) {
        const auto existing = m_outgoing.find(it.member);
        if (existing != m_outgoing.end() && existing->second.endpoint == it.endpoint) {
            kept.emplace(it.member, std::move(existing->second));
        } else {
            kept.emplace(it.member, Outgoing{it.endpoint, nullptr, {}});
        }
    }
    m_outgoing = std::move(kept);
}

auto PeerDuty::send(const PeerSend &order) -> void
{
    const auto it = m_outgoing.find(order.to);
    if (it == m_outgoing.end())
        return;
    auto &outgoing = it->second;
    const auto now = BootClock::now();
    const auto isClosed =
        !outgoing.socket || outgoing.socket->state() == QAbstractSocket::UnconnectedState;
    if (isClosed) {
        if (outgoing.socket && now - outgoing.connectedAt < ReconnectDelay)
            return;
        outgoing.socket = std::make_unique<QTcpSocket>();
        outgoing.connectedAt = now;
        const auto [address, port] = splitEndpoint(outgoing.endpoint);
        outgoing.socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        outgoing.socket->connectToHost(address, port);
    }
    if (outgoing.socket->bytesToWrite() > MaxUnsentBytes) {
        m_process.metrics.count("shallotproxy_peer_frames_dropped_total");
        return;
    }
    const auto frame = encodeFrame(order.envelope, m_process.settings.peerSecret);
    m_process.metrics.count("shallotproxy_peer_bytes_total", {}, static_cast<double>(frame.size()));
    outgoing.socket->write(frame);
}

auto PeerDuty::acceptWaiting() -> void
{
    while (auto *socket = m_server->nextPendingConnection()) {
        if (m_incoming >= MaxIncoming) {
            socket->abort();
            socket->deleteLater();
            continue;
        }
        ++m_incoming;
        auto reader = std::make_shared<FrameReader>(m_process.settings.peerSecret);
        connect(socket, &QTcpSocket::readyRead, this,
                [this, socket, reader] { read(*socket, *reader); });
        connect(socket, &QTcpSocket::disconnected, this, [this, socket] {
            --m_incoming;
            socket->deleteLater();
        });
    }
}

auto PeerDuty::read(QTcpSocket &socket, FrameReader &reader) -> void
{
    reader.append(socket.readAll());
    while (true) {
        auto frame = reader.next();
        if (!frame) {
            PeerLog.warning("closing a connection: {}", frame.error().name());
            m_process.metrics.count("shallotproxy_peer_frames_refused_total");
            socket.abort();
            return;
        }
        if (!*frame)
            return;
        if (!m_links.peersToControl.push(std::move(**frame)))
            m_process.metrics.count("shallotproxy_peer_frames_dropped_total");
    }
}

} // namespace shallotproxy
