#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <QJsonObject>

namespace standin {

/// Key-value table with compare-and-swap and leases that answers etcd's v3 JSON calls.
class KeyValueTable
{
public:
    /// Runs one call at `nowMilliseconds`; an empty object for an unknown path.
    auto call(const std::string &path, const QJsonObject &body, std::int64_t nowMilliseconds)
        -> QJsonObject;

private:
    struct Entry
    {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t lease = 0;
    };

    struct Lease
    {
        std::int64_t seconds = 0;
        std::int64_t endsAt = 0;
    };

    auto expire(std::int64_t now) -> void;
    auto transaction(const QJsonObject &body) -> QJsonObject;
    [[nodiscard]] auto range(const QJsonObject &body) const -> QJsonObject;
    auto put(const QJsonObject &body) -> void;
    auto remove(const QJsonObject &body) -> void;
    auto dropLease(std::int64_t lease) -> void;
    [[nodiscard]] auto header() const -> QJsonObject;

    std::map<std::string, Entry> m_entries;
    std::map<std::int64_t, Lease> m_leases;
    std::int64_t m_revision = 1;
    std::int64_t m_lastLease = 0;
};

} // namespace standin
