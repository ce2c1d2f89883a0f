#include "target_pool.hpp"

namespace shallotproxy {

TargetPool::TargetPool(HttpBounds bounds)
    : m_bounds(bounds)
{ }

auto TargetPool::send(const Host &host, const HttpRequest &request, int timeoutMilliseconds,
                      TargetConnection::Callback callback) -> void
{
    auto *connection = takeIdle(host.address);
    connection->send(request, timeoutMilliseconds,
                     [this, connection, address = host.address,
                      callback = std::move(callback)](TargetReply reply) {
                         giveBack(address, connection);
                         callback(std::move(reply));
                     });
}

auto TargetPool::clear() -> void
{
    m_idle.clear();
    m_owner.reset();
}

auto TargetPool::takeIdle(const std::string &address) -> TargetConnection *
{
    auto &idle = m_idle[address];
    while (!idle.empty()) {
        auto *connection = idle.back();
        idle.pop_back();
        if (connection->isReusable())
            return connection;
        connection->deleteLater();
    }
    if (!m_owner)
        m_owner = std::make_unique<QObject>();
    return new TargetConnection(address, m_bounds, m_owner.get());
}

auto TargetPool::giveBack(const std::string &address, TargetConnection *connection) -> void
{
    if (connection->isReusable()) {
        m_idle[address].push_back(connection);
    } else {
        connection->deleteLater();
    }
}

} // namespace shallotproxy
