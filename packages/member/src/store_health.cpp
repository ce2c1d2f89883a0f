#include "shallotproxy/member/store_health.hpp"

namespace shallotproxy {

template <typename T>
auto ObservedStore::noting(StoreReplyTo<T> reply) -> StoreReplyTo<T>
{
    return [this, reply = std::move(reply)](Expected<T, StoreFailure> result) {
        const auto isAnswered = result
            || (result.error().kind != StoreFailure::Kind::NotDone
                && result.error().kind != StoreFailure::Kind::Unknown);
        m_health.note(isAnswered);
        reply(std::move(result));
    };
}

auto ObservedStore::commit(const StoreCommit &commit, StoreReplyTo<std::uint64_t> reply) -> void
{
    m_store.commit(commit, noting(std::move(reply)));
}

auto ObservedStore::read(const std::string &key, StoreReplyTo<StoreRead> reply) -> void
{
    m_store.read(key, noting(std::move(reply)));
}

auto ObservedStore::readAll(const std::string &prefix, StoreReplyTo<StoreRead> reply) -> void
{
    m_store.readAll(prefix, noting(std::move(reply)));
}

auto ObservedStore::watch(const std::string &prefix, std::uint64_t after,
                          std::chrono::milliseconds wait, StoreReplyTo<StoreRead> reply) -> void
{
    m_store.watch(prefix, after, wait, noting(std::move(reply)));
}

auto ObservedStore::grantLease(std::chrono::milliseconds duration,
                               StoreReplyTo<StoreLeaseTime> reply) -> void
{
    m_store.grantLease(duration, noting(std::move(reply)));
}

auto ObservedStore::renewLease(StoreLease lease, StoreReplyTo<StoreLeaseTime> reply) -> void
{
    m_store.renewLease(lease, noting(std::move(reply)));
}

auto ObservedStore::endLease(StoreLease lease) -> void
{
    m_store.endLease(lease);
}

} // namespace shallotproxy
