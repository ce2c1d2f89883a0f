#pragma once

#include <QObject>

#include "ports.hpp"

namespace shallotproxy {

/// Follows all records below a prefix: reads them, then watches; reads them anew where the history
/// is gone.
class RecordWatch : public QObject
{
public:
    struct Handlers
    {
        /// All records as they are; what isn't among them is gone.
        std::function<void(const std::vector<VersionedRecord> &)> reset;
        std::function<void(const VersionedRecord &)> changed;
        /// Everything that the store had at this moment has been handed over.
        std::function<void(BootTime)> confirmed;
        /// The store was lost or is back.
        std::function<void(bool isReached)> reached;
    };

    RecordWatch(RecordStore &store, std::string prefix, std::chrono::milliseconds wait,
                Handlers handlers, QObject *parent);

    auto start() -> void;
    [[nodiscard]] auto isLoaded() const -> bool { return m_isLoaded; }

private:
    auto load() -> void;
    auto watch() -> void;
    /// Whether the reply holds anything; if not, the same is tried again later.
    auto isAnswered(const Expected<StoreRead, StoreFailure> &reply) -> bool;
    auto retry(const StoreFailure &ec) -> void;
    auto setReached(bool isReached) -> void;

    RecordStore &m_store;
    std::string m_prefix;
    std::chrono::milliseconds m_wait;
    Handlers m_handlers;
    std::uint64_t m_revision = 0;
    bool m_isLoaded = false;
    bool m_isReached = true;
    int m_failures = 0;
};

} // namespace shallotproxy
