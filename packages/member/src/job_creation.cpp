#include "shallotproxy/member/job_creation.hpp"

#include "store_keys.hpp"

namespace shallotproxy {

namespace {

constexpr std::chrono::milliseconds LeaseDuration{2 * CancellationMarkers::MinLifetime};

auto markerCommit(const std::string &job, StoreLease lease) -> StoreCommit
{
    auto commit = StoreCommit();
    commit.compares.push_back({store_keys::job(job), 0});
    commit.compares.push_back({store_keys::progress(job), 0});
    // An earlier marker may be about to expire: it is replaced.
    commit.puts.push_back({store_keys::cancel(job), {}, lease});
    return commit;
}

} // namespace

auto jobCreationCommit(const std::string &job, std::string record) -> StoreCommit
{
    auto commit = StoreCommit();
    commit.compares.push_back({store_keys::job(job), 0});
    commit.compares.push_back({store_keys::progress(job), 0});
    commit.compares.push_back({store_keys::cancel(job), 0});
    commit.puts.push_back({store_keys::job(job), std::move(record), 0});
    return commit;
}

auto creationOutcome(const std::string &job, const Expected<std::uint64_t, StoreFailure> &reply)
    -> WriteOutcome
{
    if (reply)
        return WriteOutcome::Stored;
    const auto isThere = [&reply](const std::string &key) {
        return std::ranges::any_of(reply.error().records, [&key](const VersionedRecord &it) {
            return it.key == key && it.revision != 0 && !it.isDeleted;
        });
    };
    switch (reply.error().kind) {
    case StoreFailure::Kind::Conflict:
        // A stored job that is cancelled has both records.
        if (isThere(store_keys::job(job)) || isThere(store_keys::progress(job)))
            return WriteOutcome::AlreadyStored;
        return isThere(store_keys::cancel(job)) ? WriteOutcome::Cancelled : WriteOutcome::Unknown;
    case StoreFailure::Kind::NotApplied:
    case StoreFailure::Kind::LeaseExpired:
    case StoreFailure::Kind::HistoryCompacted:
        return WriteOutcome::NotApplied;
    case StoreFailure::Kind::Unknown:
        break;
    }
    return WriteOutcome::Unknown;
}

auto CancellationMarkers::write(const std::string &job, RecordStoreCallback<std::uint64_t> reply)
    -> void
{
    const auto now = BootClock::now();
    if (now < m_lease->usableUntil) {
        m_store.commit(markerCommit(job, m_lease->lease),
                       [shared = m_lease, reply = std::move(reply)](const auto &result) {
                           if (!result && result.error().kind == StoreFailure::Kind::LeaseExpired)
                               shared->usableUntil = {};
                           reply(result);
                       });
        return;
    }
    m_store.grantLease(LeaseDuration,
                       [store = &m_store, shared = m_lease, job, now,
                        reply = std::move(reply)](const Expected<GrantedLease, StoreFailure> &it) {
                           if (!it) {
                               // No marker was written, whatever has become of the lease.
                               reply(tl::unexpected(StoreFailure{
                                   StoreFailure::Kind::NotApplied, it.error().message(), {}}));
                               return;
                           }
                           *shared = {it->lease, now + it->duration - MinLifetime};
                           store->commit(markerCommit(job, it->lease), reply);
                       });
}

} // namespace shallotproxy
