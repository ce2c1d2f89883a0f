#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "shallotproxy/connection.hpp"
#include "shallotproxy/process.hpp"
#include "shallotproxy/version.hpp"

namespace shallotproxy {

/// Whether a request may be sent over a connection that earlier requests have used.
enum class ConnectionUse : std::uint8_t { New, Reused };

/// Connections to targets, each for one request at a time.
class TargetPool
{
public:
    explicit TargetPool(HttpBounds bounds);

    /// Sends the request once, over a new connection or over an idle one if `use` allows it.
    auto send(const Host &host, const HttpRequest &request, ConnectionUse use,
              int timeoutMilliseconds, TargetConnection::Callback callback,
              TargetConnection::Guard guard) -> void;
    /// Checks over a new connection whether the target answers at all. Does nothing if a probe of
    /// the target is running already; `callback` is then not called.
    auto probe(const Host &host, std::function<void(bool isAlive)> callback) -> void;
    /// Closes connections that have been idle for longer than the idle timeout.
    auto closeIdle(BootTime now) -> void;
    auto clear() -> void;

private:
    struct IdleConnection
    {
        TargetConnection *connection = nullptr;
        BootTime since;
    };

    auto create(const std::string &address) -> TargetConnection *;
    auto acquireIdle(const std::string &address) -> TargetConnection *;
    auto release(const std::string &address, TargetConnection *connection) -> void;

    HttpBounds m_bounds;
    std::map<std::string, std::vector<IdleConnection>> m_idle;
    std::set<std::string> m_probing;
    std::unique_ptr<QObject> m_owner;
};

} // namespace shallotproxy
