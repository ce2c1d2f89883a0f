#include <span>

#include "shallotproxy/process/base/record_codec.hpp"
#include "shallotproxy/process/peer/peer_session.hpp"

namespace shallotproxy {

namespace {

constexpr std::size_t NonceBytes = 16;
constexpr std::uint32_t HelloFields = 5;
constexpr std::uint32_t MessageFields = 6;
constexpr std::uint32_t ConfirmationFields = 3;

template <typename... Fields>
auto packBody(const Fields &...fields) -> QByteArray
{
    auto buf = msgpack::sbuffer();
    auto packer = msgpack::packer(buf);
    packer.pack_array(static_cast<std::uint32_t>(sizeof...(fields)));
    (packer.pack(fields), ...);
    return {buf.data(), static_cast<qsizetype>(buf.size())};
}

template <std::size_t Index = 0>
auto unpackMessage(std::size_t tag, const msgpack::object &payload) -> std::optional<PeerMessage>
{
    if constexpr (Index < std::variant_size_v<PeerMessage>) {
        if (tag == Index)
            return payload.as<std::variant_alternative_t<Index, PeerMessage>>();
        return unpackMessage<Index + 1>(tag, payload);
    }
    return std::nullopt;
}

auto failure(PeerError::Kind kind) -> tl::unexpected<PeerError>
{
    return tl::unexpected(PeerError{kind});
}

} // namespace

PeerSession::PeerSession(Incarnation self, std::string_view secret, MemberName acceptor)
    : m_self(std::move(self))
    , m_secret(secret.data(), static_cast<qsizetype>(secret.size()))
    , m_acceptor(std::move(acceptor))
    , m_isInitiator(true)
    , m_nonce(randomHex(NonceBytes))
{
    sendHello();
}

PeerSession::PeerSession(Incarnation self, std::string_view secret)
    : m_self(std::move(self))
    , m_secret(secret.data(), static_cast<qsizetype>(secret.size()))
    , m_acceptor(m_self.member)
    , m_nonce(randomHex(NonceBytes))
{ }

auto PeerSession::sendHello() -> void
{
    const auto body = packBody(PeerProtocolVersion, static_cast<std::uint8_t>(FrameKind::Hello),
                               m_self, m_acceptor, m_nonce);
    m_output += sealFrame(body, m_secret);
}

auto PeerSession::takeOutput() -> QByteArray
{
    return std::exchange(m_output, QByteArray());
}

auto PeerSession::append(const QByteArray &bytes) -> void
{
    m_reader.append(bytes);
}

auto PeerSession::next() -> Expected<std::optional<PeerEnvelope>, PeerError>
{
    while (true) {
        const auto wasOpen = m_isOpen;
        auto body = wasOpen ? m_reader.next(m_receiveKey, MaxFrameBytes)
                            : m_reader.next(m_secret, MaxHelloBytes);
        if (!body)
            return tl::unexpected(body.error());
        if (!*body)
            return std::nullopt;
        if (!wasOpen) {
            if (const auto error = acceptHello(**body))
                return tl::unexpected(*error);
            continue;
        }
        auto envelope = parseBody(**body);
        if (!envelope || *envelope)
            return envelope;
    }
}

auto PeerSession::acceptHello(const QByteArray &body) -> std::optional<PeerError>
{
    try {
        const auto handle = unpackBounded({body.data(), static_cast<std::size_t>(body.size())});
        const auto &root = handle.get();
        if (root.type != msgpack::type::ARRAY || root.via.array.size == 0)
            return PeerError{PeerError::Kind::Malformed};
        const auto fields = std::span(root.via.array.ptr, root.via.array.size);
        if (fields[0].as<std::uint32_t>() != PeerProtocolVersion)
            return PeerError{PeerError::Kind::WrongProtocol};
        if (fields.size() != HelloFields
            || fields[1].as<std::uint8_t>() != static_cast<std::uint8_t>(FrameKind::Hello))
            return PeerError{PeerError::Kind::Malformed};
        m_peer = fields[2].as<Incarnation>();
        m_peerNonce = fields[4].as<std::string>();
        const auto acceptor = fields[3].as<MemberName>();
        const auto isExpectedPeer = m_isInitiator ? m_peer.member == m_acceptor : true;
        if (acceptor != m_acceptor || !isExpectedPeer)
            return PeerError{PeerError::Kind::WrongReceiver};
    } catch (const msgpack::type_error &) {
        return PeerError{PeerError::Kind::Malformed};
    } catch (const msgpack::unpack_error &) {
        return PeerError{PeerError::Kind::Malformed};
    }
    if (!m_isInitiator)
        sendHello();
    deriveKeys();
    return std::nullopt;
}

auto PeerSession::deriveKeys() -> void
{
    const auto &initiator = m_isInitiator ? m_self : m_peer;
    const auto &acceptor = m_isInitiator ? m_peer : m_self;
    const auto &initiatorNonce = m_isInitiator ? m_nonce : m_peerNonce;
    const auto &acceptorNonce = m_isInitiator ? m_peerNonce : m_nonce;
    const auto keyOf = [&](const std::string &direction) {
        return authenticationCode(
            packBody(direction, initiatorNonce, acceptorNonce, initiator, acceptor), m_secret);
    };
    const auto forward = keyOf("from the initiator");
    const auto backward = keyOf("from the acceptor");
    m_sendKey = m_isInitiator ? forward : backward;
    m_receiveKey = m_isInitiator ? backward : forward;
    m_isOpen = true;
}

auto PeerSession::parseBody(const QByteArray &body)
    -> Expected<std::optional<PeerEnvelope>, PeerError>
{
    try {
        const auto handle = unpackBounded({body.data(), static_cast<std::size_t>(body.size())});
        const auto &root = handle.get();
        if (root.type != msgpack::type::ARRAY || root.via.array.size < ConfirmationFields)
            return failure(PeerError::Kind::Malformed);
        const auto fields = std::span(root.via.array.ptr, root.via.array.size);
        if (fields[0].as<std::uint32_t>() != PeerProtocolVersion)
            return failure(PeerError::Kind::WrongProtocol);
        const auto kind = static_cast<FrameKind>(fields[1].as<std::uint8_t>());
        const auto count = fields[2].as<std::uint64_t>();
        if (kind == FrameKind::Confirmation) {
            m_confirmed = std::max(m_confirmed, std::min(count, m_sent));
            return std::nullopt;
        }
        if (kind != FrameKind::Message || fields.size() != MessageFields)
            return failure(PeerError::Kind::Malformed);
        if (count != m_received + 1)
            return failure(PeerError::Kind::Replayed);
        auto message = unpackMessage(fields[4].as<std::size_t>(), fields[5]);
        if (!message)
            return failure(PeerError::Kind::Malformed);
        m_received = count;
        return PeerEnvelope{m_peer, fields[3].as<std::uint64_t>(), std::move(*message)};
    } catch (const msgpack::type_error &) {
        return failure(PeerError::Kind::Malformed);
    } catch (const msgpack::unpack_error &) {
        return failure(PeerError::Kind::Malformed);
    }
}

auto PeerSession::encode(const PeerEnvelope &envelope) -> QByteArray
{
    const auto pack = [this, &envelope](const auto &message) {
        return packBody(PeerProtocolVersion, static_cast<std::uint8_t>(FrameKind::Message),
                        ++m_sent, envelope.sequence, envelope.message.index(), message);
    };
    return sealFrame(std::visit(pack, envelope.message), m_sendKey);
}

auto PeerSession::confirm() -> void
{
    if (m_received == m_receivedConfirmed)
        return;
    m_receivedConfirmed = m_received;
    const auto body = packBody(PeerProtocolVersion,
                               static_cast<std::uint8_t>(FrameKind::Confirmation), m_received);
    m_output += sealFrame(body, m_sendKey);
}

} // namespace shallotproxy
