#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <QByteArray>

#include "../base/error.hpp"

namespace shallotproxy {

/// Maximum length of a frame body in bytes.
inline constexpr std::size_t MaxFrameBytes = std::size_t{4} * 1024 * 1024;
/// Maximum length in bytes of a frame body from a peer that has not authenticated itself yet.
inline constexpr std::size_t MaxHelloBytes = 1'024;

struct PeerError
{
    enum class Kind {
        FrameTooLong = 501,
        BadAuthentication = 502,
        WrongProtocol = 503,
        Malformed = 504,
        Replayed = 505,
        WrongReceiver = 506,
    };

    Kind kind = Kind::Malformed;

    [[nodiscard]] auto number() const -> int { return static_cast<int>(kind); }
    [[nodiscard]] auto name() const -> std::string_view;
    [[nodiscard]] auto message() const -> std::string;
};

/// Returns the HMAC-SHA256 of `bytes`.
auto authenticationCode(const QByteArray &bytes, const QByteArray &key) -> QByteArray;

/// Returns one frame: 4 bytes of length (big-endian), 32 bytes HMAC-SHA256 of the body, the body.
auto sealFrame(const QByteArray &body, const QByteArray &key) -> QByteArray;

/// Extracts whole frames from a byte stream. It buffers no more than one frame of maximum length
/// and the bytes that were appended last.
class FrameReader
{
public:
    auto append(const QByteArray &bytes) -> void;
    /// Returns the body of the next whole frame, which may have at most `maxBytes` and must be
    /// sealed with `key`; no value while more bytes are needed. After an error, the stream must be
    /// closed.
    auto next(const QByteArray &key, std::size_t maxBytes)
        -> Expected<std::optional<QByteArray>, PeerError>;

private:
    QByteArray m_buf;
};

} // namespace shallotproxy
