#include <QMessageAuthenticationCode>
#include <QtEndian>

#include "shallotproxy/process/peer/frame.hpp"

namespace shallotproxy {

namespace {

constexpr qsizetype LengthBytes = 4;
constexpr qsizetype DigestBytes = 32;

/// Compares in a time that does not depend on the position of the first difference, so that timing
/// reveals nothing about the expected digest.
auto isEqual(QByteArrayView left, QByteArrayView right) -> bool
{
    if (left.size() != right.size())
        return false;
    auto difference = 0U;
    for (qsizetype i = 0; i < left.size(); ++i)
        difference |= static_cast<unsigned>(left[i] ^ right[i]) & 0xffU;
    return difference == 0;
}

} // namespace

auto PeerError::name() const -> std::string_view
{
    switch (kind) {
    case Kind::FrameTooLong:
        return "frame-too-long";
    case Kind::BadAuthentication:
        return "bad-authentication";
    case Kind::WrongProtocol:
        return "wrong-protocol";
    case Kind::Replayed:
        return "replayed-frame";
    case Kind::WrongReceiver:
        return "wrong-receiver";
    case Kind::Malformed:
        break;
    }
    return "malformed-frame";
}

auto PeerError::message() const -> std::string
{
    return std::string(name());
}

auto authenticationCode(const QByteArray &bytes, const QByteArray &key) -> QByteArray
{
    return QMessageAuthenticationCode::hash(bytes, key, QCryptographicHash::Sha256);
}

auto sealFrame(const QByteArray &body, const QByteArray &key) -> QByteArray
{
    auto frame = QByteArray(LengthBytes, '\0');
    qToBigEndian(static_cast<quint32>(body.size()), frame.data());
    frame += authenticationCode(body, key);
    frame += body;
    return frame;
}

auto FrameReader::append(const QByteArray &bytes) -> void
{
    m_buf += bytes;
}

auto FrameReader::next(const QByteArray &key, std::size_t maxBytes)
    -> Expected<std::optional<QByteArray>, PeerError>
{
    if (m_buf.size() < LengthBytes)
        return std::nullopt;
    const auto length = qFromBigEndian<quint32>(m_buf.constData());
    if (length > maxBytes)
        return tl::unexpected(PeerError{PeerError::Kind::FrameTooLong});
    const auto total = LengthBytes + DigestBytes + static_cast<qsizetype>(length);
    if (m_buf.size() < total)
        return std::nullopt;
    const auto digest = m_buf.mid(LengthBytes, DigestBytes);
    auto body = m_buf.mid(LengthBytes + DigestBytes, length);
    if (!isEqual(digest, authenticationCode(body, key)))
        return tl::unexpected(PeerError{PeerError::Kind::BadAuthentication});
    m_buf.remove(0, total);
    return std::optional(std::move(body));
}

} // namespace shallotproxy
