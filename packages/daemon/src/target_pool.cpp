#include "target_pool.hpp"

#include <chrono>

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t MaxIdlePerTarget = 4;
constexpr Duration MaxIdleTime = 3s; // less than the idle timeout of targets
constexpr int ProbeTimeoutMilliseconds = 1'000;

} // namespace

TargetPool::TargetPool(HttpBounds bounds)
    : m_bounds(bounds)
{ }

auto TargetPool::send(const Host &host, const HttpRequest &request, ConnectionUse use,
                      int timeoutMilliseconds, TargetConnection::Callback callback,
                      TargetConnection::Guard guard) -> void
{
    auto *connection = use == ConnectionUse::Reused ? acquireIdle(host.address) : nullptr;
    if (connection == nullptr)
        connection = create(host.address);
    connection->send(
        request, timeoutMilliseconds,
        [this, connection, address = host.address,
         callback = std::move(callback)](TargetReply reply) {
            release(address, connection);
            callback(std::move(reply));
        },
        std::move(guard));
}

auto TargetPool::probe(const Host &host, std::function<void(bool isAlive)> callback) -> void
{
    if (!m_probing.insert(host.address).second)
        return;
    auto *connection = create(host.address);
    // Any complete answer shows that the target reads and answers, even an error that rejects
    // OPTIONS.
    connection->send({"OPTIONS", "*", {}, ""}, ProbeTimeoutMilliseconds,
                     [this, connection, address = host.address,
                      callback = std::move(callback)](const TargetReply &reply) {
                         m_probing.erase(address);
                         connection->deleteLater();
                         callback(reply.has_value());
                     });
}

auto TargetPool::closeIdle(BootTime now) -> void
{
    for (auto &[address, idle] : m_idle) {
        std::erase_if(idle, [now](const IdleConnection &it) {
            const auto isOld = now - it.since > MaxIdleTime;
            if (isOld)
                it.connection->deleteLater();
            return isOld;
        });
    }
}

auto TargetPool::clear() -> void
{
    m_idle.clear();
    m_owner.reset();
}

auto TargetPool::create(const std::string &address) -> TargetConnection *
{
    if (!m_owner)
        m_owner = std::make_unique<QObject>();
    return new TargetConnection(address, m_bounds, m_owner.get());
}

auto TargetPool::acquireIdle(const std::string &address) -> TargetConnection *
{
    auto &idle = m_idle[address];
    while (!idle.empty()) {
        const auto last = idle.back();
        idle.pop_back();
        if (last.connection->isReusable() && BootClock::now() - last.since <= MaxIdleTime)
            return last.connection;
        last.connection->deleteLater();
    }
    return nullptr;
}

auto TargetPool::release(const std::string &address, TargetConnection *connection) -> void
{
    auto &idle = m_idle[address];
    if (connection->isReusable() && idle.size() < MaxIdlePerTarget) {
        idle.push_back({connection, BootClock::now()});
    } else {
        connection->deleteLater();
    }
}

} // namespace shallotproxy
