#pragma once

#include <optional>
#include <string>

#include <QByteArray>

#include "frame.hpp"
#include "messages.hpp"

namespace shallotproxy {

/// Version of the protocol between members; connections of another version are refused.
inline constexpr std::uint32_t PeerProtocolVersion = 2;

/// Protocol state of one connection between two members, without its socket. Each end sends a fresh
/// nonce in its hello. The keys of both directions are derived from the fleet's secret, both nonces
/// and both identities, so frames of another connection, direction or receiver are refused.
/// Messages go from the initiator to the acceptor, confirmations in the other direction.
class PeerSession
{
public:
    /// Creates the initiator's end, for a connection to the member of this name.
    PeerSession(Incarnation self, std::string_view secret, MemberName acceptor);
    /// Creates the acceptor's end.
    PeerSession(Incarnation self, std::string_view secret);

    /// Returns and clears the pending output, hellos and confirmations. Empty if there is none.
    auto takeOutput() -> QByteArray;
    auto append(const QByteArray &bytes) -> void;
    /// Returns the next message of the peer; no value while more bytes are needed. After an error,
    /// the connection must be closed.
    auto next() -> Expected<std::optional<PeerEnvelope>, PeerError>;
    /// Encodes a message as a frame. The session must be open.
    auto encode(const PeerEnvelope &envelope) -> QByteArray;
    /// Appends a confirmation to the output if messages were received since the last one.
    auto confirm() -> void;

    /// Returns whether the peer has authenticated itself.
    [[nodiscard]] auto isOpen() const -> bool { return m_isOpen; }
    [[nodiscard]] auto peer() const -> const Incarnation & { return m_peer; }
    [[nodiscard]] auto sentCount() const -> std::uint64_t { return m_sent; }
    /// Returns how many of the sent messages the peer has confirmed.
    [[nodiscard]] auto confirmedCount() const -> std::uint64_t { return m_confirmed; }

private:
    enum class FrameKind : std::uint8_t { Hello, Message, Confirmation };

    auto sendHello() -> void;
    auto deriveKeys() -> void;
    auto parseBody(const QByteArray &body) -> Expected<std::optional<PeerEnvelope>, PeerError>;
    auto acceptHello(const QByteArray &body) -> std::optional<PeerError>;

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
