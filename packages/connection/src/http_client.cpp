#include "shallotproxy/connection/target/http_client.hpp"

namespace shallotproxy {

namespace {

// An idle connection that was cut without a FIN or RST looks open, so it is not reused for longer.
constexpr auto MaxIdleTime = std::chrono::seconds(20);

} // namespace

HttpClient::HttpClient(HttpBounds bounds, std::size_t maxConcurrentRequests)
    : m_bounds(bounds)
    , m_maxConcurrentRequests(maxConcurrentRequests)
    , m_owner(std::make_unique<QObject>())
{ }

HttpClient::~HttpClient() = default;

auto HttpClient::send(const std::string &endpoint, const HttpRequest &request,
                      int timeoutMilliseconds, TargetConnection::Callback callback) -> void
{
    auto queued =
        QueuedRequest{request, timeoutMilliseconds, std::move(callback), BootClock::now()};
    auto &entry = m_endpoints[endpoint];
    if (entry.busy >= m_maxConcurrentRequests) {
        entry.waiting.push_back(std::move(queued));
    } else {
        sendNow(endpoint, std::move(queued));
    }
}

auto HttpClient::acquireIdle(Endpoint &entry) -> TargetConnection *
{
    while (!entry.idle.empty()) {
        auto *connection = entry.idle.back().connection;
        entry.idle.pop_back();
        if (connection->isReusable())
            return connection;
        connection->deleteLater();
    }
    return nullptr;
}

auto HttpClient::sendNow(const std::string &endpoint, QueuedRequest queued) -> void
{
    auto &entry = m_endpoints[endpoint];
    ++entry.busy;
    auto *connection = acquireIdle(entry);
    if (connection == nullptr)
        connection = new TargetConnection(endpoint, m_bounds, m_owner.get());
    connection->send(
        queued.request, queued.timeoutMilliseconds,
        [this, endpoint, connection, callback = std::move(queued.callback)](auto reply) {
            auto &endpointState = m_endpoints[endpoint];
            --endpointState.busy;
            if (connection->isReusable()) {
                endpointState.idle.push_back({connection, BootClock::now()});
            } else {
                connection->deleteLater();
            }
            sendNext(endpoint);
            callback(std::move(reply));
        });
}

auto HttpClient::sendNext(const std::string &endpoint) -> void
{
    auto &entry = m_endpoints[endpoint];
    while (!entry.waiting.empty() && entry.busy < m_maxConcurrentRequests) {
        auto next = std::move(entry.waiting.front());
        entry.waiting.pop_front();
        const auto waited = BootClock::now() - next.since;
        if (waited < std::chrono::milliseconds(next.timeoutMilliseconds)) {
            sendNow(endpoint, std::move(next));
        } else {
            next.callback(tl::unexpected(TargetError{TargetError::Kind::NotConnected}));
        }
    }
}

auto HttpClient::closeIdle(BootTime now) -> void
{
    for (auto &[endpoint, entry] : m_endpoints) {
        std::erase_if(entry.idle, [now](const Idle &it) {
            const auto isExpired = now >= it.since + MaxIdleTime;
            if (isExpired)
                it.connection->deleteLater();
            return isExpired;
        });
    }
    std::erase_if(m_endpoints, [](const auto &it) {
        const auto &entry = it.second;
        return entry.idle.empty() && entry.busy == 0 && entry.waiting.empty();
    });
}

} // namespace shallotproxy
