#pragma once

#include <span>
#include <string>
#include <vector>

#include <QByteArray>
#include <QNetworkAccessManager>

#include "shallotproxy/process/base/error.hpp"

namespace shallotproxy {

/// The reason why a call to a member has no usable answer.
struct ClientError
{
    enum class Kind { Unreachable = 701, Refused = 702, NoAnswer = 703 };

    Kind kind = Kind::Unreachable;
    std::string detail;

    [[nodiscard]] auto number() const -> int { return static_cast<int>(kind); }
    [[nodiscard]] auto name() const -> std::string_view;
    [[nodiscard]] auto message() const -> std::string;
};

using ClientReply = Expected<QByteArray, ClientError>;

/// Sends calls to the members' operators API. A read is sent to the next member until one answers.
/// A change is sent to the next member only if the connection was refused, so that it certainly
/// never reached the member.
class OperatorClient
{
public:
    OperatorClient(std::vector<std::string> endpoints, std::string key, int timeoutMilliseconds);

    /// Reads `path` from the first member that answers.
    auto get(const std::string &path) -> ClientReply;
    /// Posts `body` to the first member that accepts a connection.
    auto post(const std::string &path, const QByteArray &body) -> ClientReply;
    /// Reads `path` from the member at `endpoint` only.
    auto getFrom(const std::string &endpoint, const std::string &path) -> ClientReply;
    [[nodiscard]] auto endpoints() const -> std::span<const std::string> { return m_endpoints; }

private:
    auto request(const std::string &endpoint, const std::string &path, const QByteArray *body)
        -> ClientReply;

    std::vector<std::string> m_endpoints;
    std::string m_key;
    int m_timeoutMilliseconds;
    QNetworkAccessManager m_manager;
};

} // namespace shallotproxy
