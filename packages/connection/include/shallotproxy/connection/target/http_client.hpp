#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "shallotproxy/process/base/boot_clock.hpp"
#include "target_connection.hpp"

namespace shallotproxy {

/// Keeps connections to any number of endpoints open for reuse; each carries one request at a time.
/// Sends every request at most once.
class HttpClient
{
public:
    static constexpr std::size_t Unlimited = static_cast<std::size_t>(-1);

    /// `maxConcurrentRequests` applies per endpoint. Further requests wait for a free connection;
    /// one that has waited as long as its timeout fails with NotConnected, as it was never sent.
    explicit HttpClient(HttpBounds bounds, std::size_t maxConcurrentRequests = Unlimited);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    auto operator=(const HttpClient &) -> HttpClient & = delete;

    /// Sends the request on an idle connection or a new one, and passes the outcome to `callback`.
    auto send(const std::string &endpoint, const HttpRequest &request, int timeoutMilliseconds,
              TargetConnection::Callback callback) -> void;
    /// Closes the connections that have been idle for too long.
    auto closeIdle(BootTime now) -> void;

private:
    struct Idle
    {
        TargetConnection *connection = nullptr;
        BootTime since;
    };

    struct QueuedRequest
    {
        HttpRequest request;
        int timeoutMilliseconds = 0;
        TargetConnection::Callback callback;
        BootTime since;
    };

    struct Endpoint
    {
        std::vector<Idle> idle;
        std::deque<QueuedRequest> waiting;
        std::size_t busy = 0; // connections that carry a request
    };

    auto sendNow(const std::string &endpoint, QueuedRequest queued) -> void;
    auto sendNext(const std::string &endpoint) -> void;
    auto acquireIdle(Endpoint &entry) -> TargetConnection *;

    HttpBounds m_bounds;
    std::size_t m_maxConcurrentRequests;
    std::map<std::string, Endpoint> m_endpoints;
    std::unique_ptr<QObject> m_owner;
};

} // namespace shallotproxy
