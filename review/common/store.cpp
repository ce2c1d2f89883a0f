#include "store.hpp"

#include <algorithm>

namespace review {

namespace {

// The store answers in 4 ms.
constexpr auto AnswerTime = Milliseconds(4);
constexpr std::size_t PageItems = 500;
constexpr std::string_view Alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

auto toBase64(const std::string &bytes) -> std::string
{
    auto text = std::string();
    auto bits = 0U;
    auto count = 0;
    for (const auto it : bytes) {
        bits = (bits << 8U) | static_cast<unsigned char>(it);
        for (count += 8; count >= 6; count -= 6)
            text += Alphabet[(bits >> static_cast<unsigned>(count - 6)) & 63U];
    }
    if (count > 0)
        text += Alphabet[(bits << static_cast<unsigned>(6 - count)) & 63U];
    while (text.size() % 4 != 0)
        text += '=';
    return text;
}

auto fromBase64(const std::string &text) -> std::string
{
    auto bytes = std::string();
    auto bits = 0U;
    auto count = 0;
    for (const auto it : text) {
        const auto value = Alphabet.find(it);
        if (value == std::string_view::npos)
            break;
        bits = (bits << 6U) | static_cast<unsigned>(value);
        count += 6;
        if (count >= 8) {
            count -= 8;
            bytes += static_cast<char>((bits >> static_cast<unsigned>(count)) & 255U);
        }
    }
    return bytes;
}

auto queryNumber(const HttpRequest &request, const std::string &name) -> std::uint64_t
{
    const auto it = request.query.find(name);
    return it == request.query.end() ? 0 : std::stoull(it->second);
}

auto queryText(const HttpRequest &request, const std::string &name) -> std::string
{
    const auto it = request.query.find(name);
    return it == request.query.end() ? std::string() : it->second;
}

} // namespace

Store::Store()
    : m_server([this](const HttpRequest &request) { return handle(request); })
{ }

auto Store::put(const std::string &key, const Json &value) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    write(key, value.dump(), 0);
}

auto Store::remove(const std::string &key) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    if (m_items.contains(key))
        erase(key);
}

auto Store::value(const std::string &key) -> std::optional<std::string>
{
    const auto lock = std::lock_guard(m_mutex);
    const auto it = m_items.find(key);
    return it == m_items.end() ? std::nullopt : std::optional(it->second.value);
}

auto Store::keys(const std::string &prefix) -> std::vector<std::string>
{
    const auto lock = std::lock_guard(m_mutex);
    auto keys = std::vector<std::string>();
    for (const auto &[key, item] : m_items) {
        if (key.starts_with(prefix))
            keys.push_back(key);
    }
    return keys;
}

auto Store::tick() -> void
{
    const auto lock = std::lock_guard(m_mutex);
    auto ended = std::vector<std::uint64_t>();
    for (const auto &[id, lease] : m_leases) {
        if (SteadyClock::now() >= lease.endsAt)
            ended.push_back(id);
    }
    for (const auto id : ended)
        dropLease(id);
}

auto Store::handle(const HttpRequest &request) -> HttpResponse
{
    std::this_thread::sleep_for(AnswerTime);
    const auto body =
        request.body.empty() ? Json::object() : Json::parse(request.body, nullptr, false);
    const auto &path = request.path;
    const auto id = [&path] { return std::stoull(path.substr(path.rfind('/') + 1)); };
    if (path == "/api/kv-watch")
        return watch(request);
    if (path == "/api/kv-key")
        return readKey(request);
    if (path == "/api/kv-range")
        return readRange(request);
    if (path == "/api/kv-txn")
        return commit(body);
    if (path == "/api/kv-lease")
        return grantLease(body);
    if (path.starts_with("/api/kv-keep/"))
        return keepLease(id());
    if (path.starts_with("/api/kv-lease-end/"))
        return endLease(id());
    return {404, "{}"};
}

auto Store::itemJson(const std::string &key, const Item &item) const -> Json
{
    return {{"key", key},
            {"value", toBase64(item.value)},
            {"revision", item.revision},
            {"created", item.created},
            {"lease", item.lease}};
}

auto Store::readKey(const HttpRequest &request) -> HttpResponse
{
    const auto lock = std::lock_guard(m_mutex);
    const auto key = queryText(request, "key");
    const auto it = m_items.find(key);
    if (it == m_items.end())
        return {404, "{}"};
    auto answer = itemJson(key, it->second);
    answer["as_of"] = m_revision;
    return {200, answer.dump()};
}

auto Store::readRange(const HttpRequest &request) -> HttpResponse
{
    const auto lock = std::lock_guard(m_mutex);
    const auto prefix = queryText(request, "prefix");
    const auto after = queryText(request, "after");
    auto items = Json::array();
    auto hasMore = false;
    for (const auto &[key, item] : m_items) {
        if (!key.starts_with(prefix) || (!after.empty() && key <= after))
            continue;
        hasMore = items.size() == PageItems;
        if (hasMore)
            break;
        items.push_back(itemJson(key, item));
    }
    return {200, Json{{"items", items}, {"has_more", hasMore}, {"as_of", m_revision}}.dump()};
}

auto Store::watch(const HttpRequest &request) -> HttpResponse
{
    auto lock = std::unique_lock(m_mutex);
    const auto prefix = queryText(request, "prefix");
    const auto after = queryNumber(request, "after");
    const auto deadline = SteadyClock::now() + Milliseconds(queryNumber(request, "wait_ms"));
    while (true) {
        auto events = Json::array();
        for (const auto &it : m_events) {
            if (it.revision <= after || !it.key.starts_with(prefix))
                continue;
            events.push_back(
                it.item ? itemJson(it.key, *it.item)
                        : Json{{"key", it.key}, {"revision", it.revision}, {"deleted", true}});
        }
        if (!events.empty() || SteadyClock::now() >= deadline)
            return {200, Json{{"events", events}, {"as_of", m_revision}}.dump()};
        m_changed.wait_until(lock, deadline);
    }
}

auto Store::commit(const Json &body) -> HttpResponse
{
    const auto lock = std::lock_guard(m_mutex);
    auto current = Json::array();
    auto isMet = true;
    for (const auto &row : body.value("expect", Json::array())) {
        const auto key = row.at("key").get<std::string>();
        const auto it = m_items.find(key);
        const auto revision = it == m_items.end() ? 0 : it->second.revision;
        isMet = isMet && revision == row.at("revision").get<std::uint64_t>();
        current.push_back(it == m_items.end() ? Json{{"key", key}, {"revision", 0}}
                                              : itemJson(key, it->second));
    }
    if (!isMet)
        return {412, Json{{"items", current}}.dump()};
    const auto writes = body.value("writes", Json::array());
    for (const auto &row : writes) {
        const auto lease = row.value("lease", std::uint64_t{0});
        if (lease != 0 && !m_leases.contains(lease))
            return {404, "{}"};
    }
    // All changes of one call have one revision.
    const auto revision = m_revision + 1;
    for (const auto &row : writes) {
        m_revision = revision - 1;
        write(row.at("key").get<std::string>(), fromBase64(row.value("value", std::string())),
              row.value("lease", std::uint64_t{0}));
    }
    for (const auto &key : body.value("remove", Json::array())) {
        if (!m_items.contains(key.get<std::string>()))
            continue;
        m_revision = revision - 1;
        erase(key.get<std::string>());
    }
    m_revision = revision;
    return {200, Json{{"revision", revision}}.dump()};
}

auto Store::grantLease(const Json &body) -> HttpResponse
{
    const auto lock = std::lock_guard(m_mutex);
    const auto duration = Milliseconds(body.at("ttl_ms").get<int>());
    m_leases[++m_lastLease] = {duration, SteadyClock::now() + duration};
    return {200, Json{{"lease", m_lastLease}, {"ttl_ms", duration.count()}}.dump()};
}

auto Store::keepLease(std::uint64_t id) -> HttpResponse
{
    const auto lock = std::lock_guard(m_mutex);
    const auto it = m_leases.find(id);
    if (it == m_leases.end())
        return {404, "{}"};
    it->second.endsAt = SteadyClock::now() + it->second.duration;
    return {200, Json{{"ttl_ms", it->second.duration.count()}}.dump()};
}

auto Store::endLease(std::uint64_t id) -> HttpResponse
{
    const auto lock = std::lock_guard(m_mutex);
    dropLease(id);
    return {200, "{}"};
}

auto Store::write(const std::string &key, std::string value, std::uint64_t lease) -> void
{
    auto &item = m_items[key];
    item.value = std::move(value);
    item.revision = ++m_revision;
    item.created = item.created == 0 ? m_revision : item.created;
    item.lease = lease;
    m_events.push_back({key, m_revision, item});
    m_changed.notify_all();
}

auto Store::erase(const std::string &key) -> void
{
    m_items.erase(key);
    m_events.push_back({key, ++m_revision, std::nullopt});
    m_changed.notify_all();
}

auto Store::dropLease(std::uint64_t id) -> void
{
    m_leases.erase(id);
    auto keys = std::vector<std::string>();
    for (const auto &[key, item] : m_items) {
        if (item.lease == id)
            keys.push_back(key);
    }
    for (const auto &key : keys)
        erase(key);
}

} // namespace review
