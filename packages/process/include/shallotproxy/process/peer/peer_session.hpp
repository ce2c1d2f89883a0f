#pragma once

#include <optional>
#include <string>

#include <QByteArray>

#include "frame.hpp"
#include "messages.hpp"

namespace shallotproxy {

/// Version of the protocol between members; members of another version are refused.
inline constexpr std::uint32_t PeerProtocolVersion = 2;

/// One connection between two members, without its socket. Each end shows a fresh nonce in its
/// hello; the keys of both directions are made of the fleet's secret, both nonces and both
/// identities, so a frame of another connection, another direction or another receiver is refused.
/// Messages go from the initiator to the acceptor, confirmations go back.
class PeerSession
{
public:
    /// The initiator's end: connects to the member of this name.
    PeerSession(Incarnation self, std::string_view secret, MemberName acceptor);
    /// The acceptor's end.
    PeerSession(Incarnation self, std::string_view secret);

    /// Bytes to be sent: a hello or a confirmation. Empty if there are none.
    auto takeOutput() -> QByteArray;
    auto append(const QByteArray &bytes) -> void;
    /// The next message of the peer; no value while more bytes are needed. After an error the
    /// connection is to be closed.
    auto next() -> Expected<std::optional<PeerEnvelope>, PeerError>;
    /// One message as bytes; only once the session is open.
    auto encode(const PeerEnvelope &envelope) -> QByteArray;
    /// Makes the confirmation of what has been received since the last one, if anything.
    auto confirm() -> void;

    /// Whether the peer has authenticated itself.
    [[nodiscard]] auto isOpen() const -> bool { return m_isOpen; }
    [[nodiscard]] auto peer() const -> const Incarnation & { return m_peer; }
    [[nodiscard]] auto sentCount() const -> std::uint64_t { return m_sent; }
    /// How many of the sent messages the peer has confirmed.
    [[nodiscard]] auto confirmedCount() const -> std::uint64_t { return m_confirmed; }

private:
    enum class FrameKind : std::uint8_t { Hello, Message, Confirmation };

    auto sendHello() -> void;
    auto openKeys() -> void;
    auto takeBody(const QByteArray &body) -> Expected<std::optional<PeerEnvelope>, PeerError>;
    auto takeHello(const QByteArray &body) -> std::optional<PeerError>;

    Incarnation m_self;
    QByteArray m_secret;
    MemberName m_acceptor;
    bool m_isInitiator = false;
    bool m_isOpen = false;
    std::string m_nonce;
    std::string m_peerNonce;
    Incarnation m_peer;
    QByteArray m_sendKey;
    QByteArray m_receiveKey;
    QByteArray m_output;
    FrameReader m_reader;
    std::uint64_t m_sent = 0;
    std::uint64_t m_confirmed = 0;
    std::uint64_t m_received = 0;
    std::uint64_t m_receivedConfirmed = 0;
};

} // namespace shallotproxy
