#include "shallotproxy/connection/target/http_client.hpp"

namespace shallotproxy {

namespace {

constexpr auto LongestIdle = std::chrono::seconds(20); // a silent cut isn't seen on idle ones

} // namespace

HttpClient::HttpClient(HttpBounds bounds)
    : m_bounds(bounds)
    , m_owner(std::make_unique<QObject>())
{ }

HttpClient::~HttpClient() = default;

auto HttpClient::send(const std::string &endpoint, const HttpRequest &request,
                      int timeoutMilliseconds, TargetConnection::Callback callback) -> void
{
    auto &idle = m_idle[endpoint];
    TargetConnection *connection = nullptr;
    while (connection == nullptr && !idle.empty()) {
        connection = idle.back().connection;
        idle.pop_back();
        if (!connection->isReusable()) {
            connection->deleteLater();
            connection = nullptr;
        }
    }
    if (connection == nullptr)
        connection = new TargetConnection(endpoint, m_bounds, m_owner.get());
    connection->send(request, timeoutMilliseconds,
                     [this, endpoint, connection, callback = std::move(callback)](auto reply) {
                         if (connection->isReusable())
                             m_idle[endpoint].push_back({connection, BootClock::now()});
                         else
                             connection->deleteLater();
                         callback(std::move(reply));
                     });
}

auto HttpClient::closeIdle(BootTime now) -> void
{
    for (auto &[endpoint, idle] : m_idle) {
        std::erase_if(idle, [now](const Idle &it) {
            const auto isOld = now >= it.since + LongestIdle;
            if (isOld)
                it.connection->deleteLater();
            return isOld;
        });
    }
    std::erase_if(m_idle, [](const auto &it) { return it.second.empty(); });
}

auto HttpClient::forget(const std::string &endpoint) -> void
{
    const auto it = m_idle.find(endpoint);
    if (it == m_idle.end())
        return;
    for (const auto &entry : it->second)
        entry.connection->deleteLater();
    m_idle.erase(it);
}

} // namespace shallotproxy
