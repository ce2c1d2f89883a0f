#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "../base/names.hpp"
#include "../store/store_types.hpp"

namespace shallotproxy {

/// Value of the head record, the one point of compare-and-swap: the newest version of the
/// configuration and the members whose majority may vouch for it.
struct HeadRecord
{
    ConfigurationVersion version = 0;
    std::string writer; // names the parts: config/VERSION.WRITER/
    std::uint32_t parts = 0;
    std::vector<Incarnation> registered;

    auto operator==(const HeadRecord &other) const -> bool = default;
    MSGPACK_DEFINE(version, writer, parts, registered)
};

/// The head record with the store's revision of it. Every change, also one of the registered
/// members alone, gives it a higher revision.
struct ConfigurationHead
{
    StoreRevision revision = 0; // 0: the record does not exist yet
    HeadRecord record;

    [[nodiscard]] auto isRegistered(const Incarnation &incarnation) const -> bool
    {
        return std::ranges::find(record.registered, incarnation) != record.registered.end();
    }
    /// Least number of registered members that any two majorities share one of.
    [[nodiscard]] auto majority() const -> std::size_t
    {
        return record.registered.empty() ? 0 : record.registered.size() / 2 + 1;
    }
    MSGPACK_DEFINE(revision, record)
};

} // namespace shallotproxy
