#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <QJsonObject>

namespace standin {

/// In-memory key-value table with transactions and leases. It implements the calls of etcd's v3
/// JSON interface that the members use.
class KeyValueTable
{
public:
    /// Executes one call at `nowMilliseconds`. Returns an empty object for an unknown path.
    auto call(const std::string &path, const QJsonObject &body, std::int64_t nowMilliseconds)
        -> QJsonObject;

private:
    struct Entry
    {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t lease = 0; // 0 for an entry without a lease
    };

    struct Lease
    {
        std::int64_t seconds = 0;
        std::int64_t expiresAt = 0; // milliseconds
    };

    auto expire(std::int64_t now) -> void;
    auto transaction(const QJsonObject &body) -> QJsonObject;
    [[nodiscard]] auto range(const QJsonObject &body) const -> QJsonObject;
    auto put(const QJsonObject &body) -> void;
    auto remove(const QJsonObject &body) -> void;
    auto removeLease(std::int64_t lease) -> void;
    [[nodiscard]] auto header() const -> QJsonObject;

    std::map<std::string, Entry> m_entries;
    std::map<std::int64_t, Lease> m_leases;
    std::int64_t m_revision = 1;
    std::int64_t m_lastLease = 0;
};

} // namespace standin
