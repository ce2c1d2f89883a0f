#include "shallotproxy/member/store_health.hpp"

namespace shallotproxy {

template <typename T>
auto ObservedStore::observed(RecordStoreCallback<T> reply) -> RecordStoreCallback<T>
{
    return [this, reply = std::move(reply)](Expected<T, StoreFailure> result) {
        const auto isAnswered = result
            || (result.error().kind != StoreFailure::Kind::NotApplied
                && result.error().kind != StoreFailure::Kind::Unknown);
        m_health.recordOutcome(isAnswered);
        reply(std::move(result));
    };
}

auto ObservedStore::commit(const StoreCommit &commit, RecordStoreCallback<std::uint64_t> reply)
    -> void
{
    m_store.commit(commit, observed(std::move(reply)));
}

auto ObservedStore::read(const std::string &key, RecordStoreCallback<StoreRead> reply) -> void
{
    m_store.read(key, observed(std::move(reply)));
}

auto ObservedStore::readAll(const std::string &prefix, RecordStoreCallback<StoreRead> reply) -> void
{
    m_store.readAll(prefix, observed(std::move(reply)));
}

auto ObservedStore::watch(const std::string &prefix, std::uint64_t after,
                          std::chrono::milliseconds wait, RecordStoreCallback<StoreRead> reply)
    -> void
{
    m_store.watch(prefix, after, wait, observed(std::move(reply)));
}

auto ObservedStore::grantLease(std::chrono::milliseconds duration,
                               RecordStoreCallback<GrantedLease> reply) -> void
{
    m_store.grantLease(duration, observed(std::move(reply)));
}

auto ObservedStore::renewLease(StoreLease lease, RecordStoreCallback<GrantedLease> reply) -> void
{
    m_store.renewLease(lease, observed(std::move(reply)));
}

auto ObservedStore::revokeLease(StoreLease lease) -> void
{
    m_store.revokeLease(lease);
}

} // namespace shallotproxy
