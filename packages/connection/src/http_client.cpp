#include "shallotproxy/connection/target/http_client.hpp"

namespace shallotproxy {

namespace {

constexpr auto LongestIdle = std::chrono::seconds(20); // a silent cut isn't seen on idle ones

} // namespace

HttpClient::HttpClient(HttpBounds bounds, std::size_t mostAtOnce)
    : m_bounds(bounds)
    , m_mostAtOnce(mostAtOnce)
    , m_owner(std::make_unique<QObject>())
{ }

HttpClient::~HttpClient() = default;

auto HttpClient::send(const std::string &endpoint, const HttpRequest &request,
                      int timeoutMilliseconds, TargetConnection::Callback callback) -> void
{
    auto order = Waiting{request, timeoutMilliseconds, std::move(callback), BootClock::now()};
    auto &entry = m_endpoints[endpoint];
    if (entry.busy >= m_mostAtOnce) {
        entry.waiting.push_back(std::move(order));
    } else {
        sendNow(endpoint, std::move(order));
    }
}

auto HttpClient::takeIdle(Endpoint &entry) -> TargetConnection *
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

auto HttpClient::sendNow(const std::string &endpoint, Waiting order) -> void
{
    auto &entry = m_endpoints[endpoint];
    ++entry.busy;
    auto *connection = takeIdle(entry);
    if (connection == nullptr)
        connection = new TargetConnection(endpoint, m_bounds, m_owner.get());
    connection->send(
        order.request, order.timeoutMilliseconds,
        [this, endpoint, connection, callback = std::move(order.callback)](auto reply) {
            auto &used = m_endpoints[endpoint];
            --used.busy;
            if (connection->isReusable()) {
                used.idle.push_back({connection, BootClock::now()});
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
    while (!entry.waiting.empty() && entry.busy < m_mostAtOnce) {
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
            const auto isOld = now >= it.since + LongestIdle;
            if (isOld)
                it.connection->deleteLater();
            return isOld;
        });
    }
    std::erase_if(m_endpoints, [](const auto &it) {
        const auto &entry = it.second;
        return entry.idle.empty() && entry.busy == 0 && entry.waiting.empty();
    });
}

} // namespace shallotproxy
