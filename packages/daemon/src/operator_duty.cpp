#include "operator_duty.hpp"

#include <QUrl>
#include <QUrlQuery>

#include "duty_thread.hpp"
#include "shallotproxy/request/admission/admission.hpp"

namespace shallotproxy {

namespace {

constexpr std::size_t MaxDeclarationBytes = std::size_t{16} * 1024 * 1024;
constexpr std::size_t MaxTimelineEvents = 10'000; // in one answer
constexpr unsigned Ok = 200;

} // namespace

OperatorDuty::OperatorDuty(ProcessContext &process, Links &links)
    : m_process(process)
    , m_links(links)
{
    attachConsumer(links.controlToOperators, this, [this] { drainReplies(); });
}

auto OperatorDuty::listen() -> Expected<void, ListenError>
{
    auto bounds = HttpBounds();
    bounds.bodyBytes = MaxDeclarationBytes;
    bounds.totalBytes = 2 * MaxDeclarationBytes;
    bounds.connections = 16;
    bounds.requestsPerSecond = 100;
    m_server =
        std::make_unique<HttpServer>(bounds, [this](HttpRequest request, HttpResponder responder) {
            handleRequest(std::move(request), std::move(responder));
        });
    // No body is read without a valid key, whatever its declared length.
    m_server->setHeadCheck([this](const HttpRequest &head) {
        return isOperator(head) ? std::nullopt
                                : std::optional(refusalResponse({Refusal::Kind::BadKey}));
    });
    return m_server->listen(m_process.settings.operatorsEndpoint);
}

auto OperatorDuty::start() -> void { }

auto OperatorDuty::stop() -> void
{
    m_calls.clear();
    m_server.reset();
}

auto OperatorDuty::handleRequest(HttpRequest request, HttpResponder responder) -> void
{
    if (request.path == "/metrics") {
        responder.answer(
            {Ok, {{"Content-Type", "text/plain; version=0.0.4"}}, m_process.metrics.exposition()});
        return;
    }
    if (!isOperator(request)) {
        responder.answer(refusalResponse({Refusal::Kind::BadKey}));
        return;
    }
    if (request.path.starts_with("/timeline")) {
        responder.answer(timelineResponse(request.path));
        return;
    }
    const auto number = ++m_lastNumber;
    auto call = ControlCall{CallSource::Operators, number, {}, std::move(request)};
    if (!m_links.operatorsToControl.push(std::move(call))) {
        responder.answer(refusalResponse({Refusal::Kind::Overloaded}));
        return;
    }
    m_calls.emplace(number, std::move(responder));
}

auto OperatorDuty::isOperator(const HttpRequest &request) const -> bool
{
    return matchesDigest(bearerKey(request), m_process.settings.operatorKeyDigest);
}

auto OperatorDuty::timelineResponse(std::string_view path) const -> HttpResponse
{
    const auto query = QUrlQuery(QUrl(toQString(path)));
    const auto after = query.queryItemValue(QStringLiteral("after")).toULongLong();
    auto body = std::string();
    for (const auto &it : m_process.timeline.eventsAfter(after, MaxTimelineEvents))
        body += timelineJson(it) + '\n';
    return {Ok, {{"Content-Type", "application/x-ndjson"}}, std::move(body)};
}

auto OperatorDuty::drainReplies() -> void
{
    m_links.controlToOperators.drain([this](const ControlReply &reply) {
        const auto it = m_calls.find(reply.number);
        if (it == m_calls.end())
            return;
        it->second.answer(reply.response);
        m_calls.erase(it);
    });
}

} // namespace shallotproxy
