#pragma once

#include "ports.hpp"

namespace shallotproxy {

/// Judges from the outcomes of all calls whether the store answers this member. During an outage,
/// calls that would only wait for the store are refused or relayed at once.
class StoreHealth
{
public:
    /// Consecutive failures: single replies also get lost while the store is up.
    static constexpr int FailuresUntilUnavailable = 3;

    auto recordOutcome(bool isAnswered) -> void { m_failures = isAnswered ? 0 : m_failures + 1; }
    [[nodiscard]] auto isUnavailable() const -> bool
    {
        return m_failures >= FailuresUntilUnavailable;
    }

private:
    int m_failures = 0;
};

/// Forwards calls to a store and records their outcomes in a StoreHealth.
class ObservedStore final : public RecordStore
{
public:
    explicit ObservedStore(RecordStore &store)
        : m_store(store)
    { }

    auto commit(const StoreCommit &commit, RecordStoreCallback<std::uint64_t> reply)
        -> void override;
    auto read(const std::string &key, RecordStoreCallback<StoreRead> reply) -> void override;
    auto readAll(const std::string &prefix, RecordStoreCallback<StoreRead> reply) -> void override;
    auto watch(const std::string &prefix, std::uint64_t after, std::chrono::milliseconds wait,
               RecordStoreCallback<StoreRead> reply) -> void override;
    auto grantLease(std::chrono::milliseconds duration, RecordStoreCallback<GrantedLease> reply)
        -> void override;
    auto renewLease(StoreLease lease, RecordStoreCallback<GrantedLease> reply) -> void override;
    auto revokeLease(StoreLease lease) -> void override;

    [[nodiscard]] auto health() const -> const StoreHealth & { return m_health; }

private:
    template <typename T>
    auto observed(RecordStoreCallback<T> reply) -> RecordStoreCallback<T>;

    RecordStore &m_store;
    StoreHealth m_health;
};

} // namespace shallotproxy
