#pragma once

#include <condition_variable>
#include <deque>
#include <set>

#include <nlohmann/json.hpp>

#include "http.hpp"

namespace review {

using Json = nlohmann::json;

/// Stand-in of the platform's key-value store.
class Store
{
public:
    Store();

    [[nodiscard]] auto address() const -> std::string { return m_server.address(); }
    /// Writes or removes a key as the operator or an executor does.
    auto put(const std::string &key, const Json &value) -> void;
    auto remove(const std::string &key) -> void;
    [[nodiscard]] auto value(const std::string &key) -> std::optional<std::string>;
    [[nodiscard]] auto keys(const std::string &prefix) -> std::vector<std::string>;
    /// Ends leases that have run out.
    auto tick() -> void;

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Event
    {
        std::string key;
        std::uint64_t revision = 0;
        std::optional<Item> item;
    };
    struct Lease
    {
        Milliseconds duration{};
        SteadyClock::time_point endsAt;
    };

    auto handle(const HttpRequest &request) -> HttpResponse;
    auto readKey(const HttpRequest &request) -> HttpResponse;
    auto readRange(const HttpRequest &request) -> HttpResponse;
    auto watch(const HttpRequest &request) -> HttpResponse;
    auto commit(const Json &body) -> HttpResponse;
    auto grantLease(const Json &body) -> HttpResponse;
    auto keepLease(std::uint64_t id) -> HttpResponse;
    auto endLease(std::uint64_t id) -> HttpResponse;
    auto write(const std::string &key, std::string value, std::uint64_t lease) -> void;
    auto erase(const std::string &key) -> void;
    auto dropLease(std::uint64_t id) -> void;
    [[nodiscard]] auto itemJson(const std::string &key, const Item &item) const -> Json;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision = 1;
    std::uint64_t m_lastLease = 0;
    std::map<std::string, Item> m_items;
    std::deque<Event> m_events;
    std::map<std::uint64_t, Lease> m_leases;
    HttpServer m_server;
};

} // namespace review
