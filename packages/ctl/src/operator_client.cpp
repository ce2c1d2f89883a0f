#include "operator_client.hpp"

#include <memory>

#include <QEventLoop>
#include <QNetworkReply>
#include <QUrl>

#include "shallotproxy/process/base/text.hpp"

namespace shallotproxy {

auto ClientError::name() const -> std::string_view
{
    switch (kind) {
    case Kind::Unreachable:
        return "member-unreachable";
    case Kind::Refused:
        return "refused";
    case Kind::NoAnswer:
        break;
    }
    return "no-answer";
}

auto ClientError::message() const -> std::string
{
    return std::string(name()) + ": " + detail;
}

OperatorClient::OperatorClient(std::vector<std::string> endpoints, std::string key,
                               int timeoutMilliseconds)
    : m_endpoints(std::move(endpoints))
    , m_key(std::move(key))
    , m_timeoutMilliseconds(timeoutMilliseconds)
{ }

auto OperatorClient::get(const std::string &path) -> ClientReply
{
    auto reply = ClientReply(tl::unexpected(ClientError{ClientError::Kind::Unreachable, ""}));
    for (const auto &it : m_endpoints) {
        reply = request(it, path, nullptr);
        if (reply || reply.error().kind == ClientError::Kind::Refused)
            return reply;
    }
    return reply;
}

auto OperatorClient::post(const std::string &path, const QByteArray &body) -> ClientReply
{
    auto reply = ClientReply(tl::unexpected(ClientError{ClientError::Kind::Unreachable, ""}));
    for (const auto &it : m_endpoints) {
        reply = request(it, path, &body);
        if (reply || reply.error().kind != ClientError::Kind::Unreachable)
            return reply;
    }
    return reply;
}

auto OperatorClient::getFrom(const std::string &endpoint, const std::string &path) -> ClientReply
{
    return request(endpoint, path, nullptr);
}

auto OperatorClient::request(const std::string &endpoint, const std::string &path,
                             const QByteArray *body) -> ClientReply
{
    const auto url = QUrl(toQString("http://" + endpoint + path));
    auto request = QNetworkRequest(url);
    request.setRawHeader("Authorization", "Bearer " + QByteArray::fromStdString(m_key));
    request.setHeader(QNetworkRequest::ContentTypeHeader, QStringLiteral("application/json"));
    request.setTransferTimeout(m_timeoutMilliseconds);
    const auto reply = std::unique_ptr<QNetworkReply>(
        body == nullptr ? m_manager.get(request) : m_manager.post(request, *body));
    auto loop = QEventLoop();
    QObject::connect(reply.get(), &QNetworkReply::finished, &loop, &QEventLoop::quit);
    loop.exec();
    const auto status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    constexpr auto FirstError = 400;
    auto answer = reply->readAll();
    if (status >= FirstError)
        return tl::unexpected(ClientError{ClientError::Kind::Refused, answer.toStdString()});
    if (reply->error() == QNetworkReply::ConnectionRefusedError)
        return tl::unexpected(ClientError{ClientError::Kind::Unreachable, endpoint});
    if (reply->error() != QNetworkReply::NoError) {
        return tl::unexpected(ClientError{ClientError::Kind::NoAnswer,
                                          endpoint + ": " + reply->errorString().toStdString()});
    }
    return answer;
}

} // namespace shallotproxy
