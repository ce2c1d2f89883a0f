#pragma once

#include "ports.hpp"

namespace shallotproxy {

/// Whether the store answers this member, from the outcomes of all its calls. Answers an outage:
/// what would only wait for a store that is away is refused or passed on at once.
class StoreHealth
{
public:
    static constexpr int FailuresUntilAway = 3; // in a row; single answers get lost on any day

    auto note(bool isAnswered) -> void { m_failures = isAnswered ? 0 : m_failures + 1; }
    [[nodiscard]] auto isAway() const -> bool { return m_failures >= FailuresUntilAway; }

private:
    int m_failures = 0;
};

/// Passes calls on to a store and notes their outcomes.
class ObservedStore final : public RecordStore
{
public:
    explicit ObservedStore(RecordStore &store)
        : m_store(store)
    { }

    auto commit(const StoreCommit &commit, StoreReplyTo<std::uint64_t> reply) -> void override;
    auto read(const std::string &key, StoreReplyTo<StoreRead> reply) -> void override;
    auto readAll(const std::string &prefix, StoreReplyTo<StoreRead> reply) -> void override;
    auto watch(const std::string &prefix, std::uint64_t after, std::chrono::milliseconds wait,
               StoreReplyTo<StoreRead> reply) -> void override;
    auto grantLease(std::chrono::milliseconds duration, StoreReplyTo<StoreLeaseTime> reply)
        -> void override;
    auto renewLease(StoreLease lease, StoreReplyTo<StoreLeaseTime> reply) -> void override;
    auto endLease(StoreLease lease) -> void override;

    [[nodiscard]] auto health() const -> const StoreHealth & { return m_health; }

private:
    template <typename T>
    auto noting(StoreReplyTo<T> reply) -> StoreReplyTo<T>;

    RecordStore &m_store;
    StoreHealth m_health;
};

} // namespace shallotproxy
