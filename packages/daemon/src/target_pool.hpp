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

/// Whether a request may go over a connection that has carried others before.
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
    /// Asks the target over a new connection whether it answers at all. Nothing happens if it is
    /// being asked already.
    auto probe(const Host &host, std::function<void(bool isAlive)> callback) -> void;
    /// Closes connections that have been idle for long.
    auto closeIdle(BootTime now) -> void;
    auto clear() -> void;

private:
    struct Idle
    {
        TargetConnection *connection = nullptr;
        BootTime since;
    };

    auto create(const std::string &address) -> TargetConnection *;
    auto takeIdle(const std::string &address) -> TargetConnection *;
    auto giveBack(const std::string &address, TargetConnection *connection) -> void;

    HttpBounds m_bounds;
    std::map<std::string, std::vector<Idle>> m_idle;
    std::set<std::string> m_probed;
    std::unique_ptr<QObject> m_owner;
};

} // namespace shallotproxy
