#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "../base/names.hpp"
#include "../store/store_types.hpp"

namespace shallotproxy {

/// Value of the head record, the single record that every configuration change compares and swaps:
/// the newest version of the configuration, and the members a majority of which can confirm that it
/// is the newest.
struct HeadRecord
{
    ConfigurationVersion version = 0;
    std::string writer; // The parts are stored under config/VERSION.WRITER/.
    std::uint32_t parts = 0; // Number of records that the configuration is split into.
    std::vector<Incarnation> registered;

    auto operator==(const HeadRecord &other) const -> bool = default;
    MSGPACK_DEFINE(version, writer, parts, registered)
};

/// The head record with its revision in the store. Every change raises the revision, also one of
/// the registered members alone.
struct ConfigurationHead
{
    StoreRevision revision = 0; // 0: The record does not exist yet.
    HeadRecord record;

    [[nodiscard]] auto isRegistered(const Incarnation &incarnation) const -> bool
    {
        return std::ranges::find(record.registered, incarnation) != record.registered.end();
    }
    /// Returns the size of a majority of the registered members: any two majorities have a member
    /// in common. 0 if no member is registered.
    [[nodiscard]] auto majority() const -> std::size_t
    {
        return record.registered.empty() ? 0 : record.registered.size() / 2 + 1;
    }
    MSGPACK_DEFINE(revision, record)
};

} // namespace shallotproxy
