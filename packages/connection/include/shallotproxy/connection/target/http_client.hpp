#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "shallotproxy/process/base/boot_clock.hpp"
#include "target_connection.hpp"

namespace shallotproxy {

/// Kept connections to any number of endpoints, each for one request at a time. Every request is
/// sent at most once.
class HttpClient
{
public:
    static constexpr std::size_t NoBound = static_cast<std::size_t>(-1);

    /// Requests to one endpoint beyond `mostAtOnce` wait for a connection that is free; one that
    /// has waited as long as its timeout fails as not sent.
    explicit HttpClient(HttpBounds bounds, std::size_t mostAtOnce = NoBound);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    auto operator=(const HttpClient &) -> HttpClient & = delete;

    auto send(const std::string &endpoint, const HttpRequest &request, int timeoutMilliseconds,
              TargetConnection::Callback callback) -> void;
    /// Closes connections that have carried nothing for long.
    auto closeIdle(BootTime now) -> void;

private:
    struct Idle
    {
        TargetConnection *connection = nullptr;
        BootTime since;
    };

    struct Waiting
    {
        HttpRequest request;
        int timeoutMilliseconds = 0;
        TargetConnection::Callback callback;
        BootTime since;
    };

    struct Endpoint
    {
        std::vector<Idle> idle;
        std::deque<Waiting> waiting;
        std::size_t busy = 0;
    };

    auto sendNow(const std::string &endpoint, Waiting order) -> void;
    auto sendNext(const std::string &endpoint) -> void;
    auto takeIdle(Endpoint &entry) -> TargetConnection *;

    HttpBounds m_bounds;
    std::size_t m_mostAtOnce;
    std::map<std::string, Endpoint> m_endpoints;
    std::unique_ptr<QObject> m_owner;
};

} // namespace shallotproxy
