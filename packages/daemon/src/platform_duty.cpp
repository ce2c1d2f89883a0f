#include "platform_duty.hpp"

#include <QNetworkReply>
#include <QUrl>

#include "duty_thread.hpp"

namespace shallotproxy {

namespace {

constexpr auto PlatformLog = Log("platform");
constexpr auto TimeoutMilliseconds = 1'500;
constexpr auto FirstErrorStatus = 400;

auto networkError(const QNetworkReply &reply) -> PlatformError
{
    const auto status = reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    const auto detail = reply.errorString().toStdString();
    if (status >= FirstErrorStatus)
        return {PlatformError::Kind::Refused, detail};
    if (reply.error() == QNetworkReply::OperationCanceledError)
        return {PlatformError::Kind::TimedOut, detail};
    return {PlatformError::Kind::Unreachable, detail};
}

} // namespace

PlatformDuty::PlatformDuty(ProcessContext &process, Links &links)
    : m_process(process)
    , m_links(links)
{
    attachConsumer(links.controlToPlatform, this, [this] { drainCalls(); });
}

auto PlatformDuty::start() -> void
{
    m_manager = std::make_unique<QNetworkAccessManager>();
}

auto PlatformDuty::stop() -> void
{
    m_manager.reset();
}

auto PlatformDuty::drainCalls() -> void
{
    m_links.controlToPlatform.drain([this](const NumberedPlatformCall &numberedCall) {
        if (m_manager)
            send(numberedCall);
    });
}

// QNetworkAccessManager may send a request twice. Every call that changes something carries a run's
// epoch or an operation's id, by which the receiver recognises the repeat.
auto PlatformDuty::send(const NumberedPlatformCall &numberedCall) -> void
{
    const auto url =
        QStringLiteral("http://%1%2")
            .arg(toQString(numberedCall.call.endpoint), toQString(numberedCall.call.path));
    auto request = QNetworkRequest(QUrl(url));
    request.setTransferTimeout(TimeoutMilliseconds);
    request.setHeader(QNetworkRequest::ContentTypeHeader, QStringLiteral("application/json"));
    m_process.metrics.count("shallotproxy_platform_calls_total");
    auto *reply = numberedCall.call.body.empty()
        ? m_manager->get(request)
        : m_manager->post(request, QByteArray::fromStdString(numberedCall.call.body));
    connect(reply, &QNetworkReply::finished, this, [this, reply, number = numberedCall.number] {
        reply->deleteLater();
        if (reply->error() != QNetworkReply::NoError) {
            finish(number, tl::unexpected(networkError(*reply)));
        } else {
            finish(number, reply->readAll().toStdString());
        }
    });
}

auto PlatformDuty::finish(std::uint64_t number, PlatformReply reply) -> void
{
    if (!reply) {
        m_process.metrics.count("shallotproxy_platform_failures_total");
        PlatformLog.debug("call {} failed: {}", number, reply.error().message());
    }
    if (!m_links.platformToControl.push({number, std::move(reply)})) {
        PlatformLog.error("ring from platform to control is full, dropped the reply to call {}",
                          number);
    }
}

} // namespace shallotproxy
