#pragma once

#include <QObject>

#include "ports.hpp"

namespace shallotproxy {

/// Follows all records below a prefix: reads them, then watches for changes. Reads them again if
/// the store no longer has the history that the watch needs.
class RecordWatch : public QObject
{
public:
    struct Handlers
    {
        /// Receives all current records; records that aren't among them no longer exist.
        std::function<void(const std::vector<VersionedRecord> &)> reset;
        /// Receives one changed or deleted record.
        std::function<void(const VersionedRecord &)> changed;
        /// All changes that the store had at this time have been passed to the handlers above.
        std::function<void(BootTime)> confirmed;
        /// The store has become unreachable or reachable again.
        std::function<void(bool isReachable)> reachabilityChanged;
    };

    RecordWatch(RecordStore &store, std::string prefix, std::chrono::milliseconds wait,
                Handlers handlers, QObject *parent);

    auto start() -> void;
    [[nodiscard]] auto isLoaded() const -> bool { return m_isLoaded; }

private:
    auto load() -> void;
    auto watch() -> void;
    /// Returns whether the call succeeded; otherwise schedules a retry.
    auto acceptReply(const Expected<StoreRead, StoreFailure> &reply) -> bool;
    auto retry(const StoreFailure &ec) -> void;
    auto setReachable(bool isReachable) -> void;

    RecordStore &m_store;
    std::string m_prefix;
    std::chrono::milliseconds m_wait;
    Handlers m_handlers;
    std::uint64_t m_revision = 0;
    bool m_isLoaded = false;
    bool m_isReachable = true;
    int m_failures = 0;
};

} // namespace shallotproxy
