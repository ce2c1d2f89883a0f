#pragma once

#include "ports.hpp"
#include "submission.hpp"

namespace shallotproxy {

/// Returns a commit that creates the job's record unless the job is already stored, has ended, or
/// was cancelled before it was stored.
auto jobCreationCommit(const std::string &job, std::string record) -> StoreCommit;

/// Returns the outcome of that commit.
auto creationOutcome(const std::string &job, const Expected<std::uint64_t, StoreFailure> &reply)
    -> WriteOutcome;

/// Marks jobs as cancelled that aren't stored. A write of the job that comes later, or was left
/// unanswered before, then fails.
///
/// Load pattern: clients that leave early cancel what a member that is cut off from the store is
/// still trying to write.
class CancellationMarkers
{
public:
    /// A marker lasts for at least this long: longer than a submission is repeated, with the time
    /// in which the store may carry out an unanswered write.
    static constexpr std::chrono::milliseconds MinLifetime{30'000};

    explicit CancellationMarkers(RecordStore &store)
        : m_store(store)
    { }

    /// Writes the marker unless the job is stored or has ended (a conflict).
    auto write(const std::string &job, RecordStoreCallback<std::uint64_t> reply) -> void;

private:
    struct SharedLease
    {
        StoreLease lease = 0;
        BootTime usableUntil;
    };

    RecordStore &m_store;
    // Shared with the store's replies. Cancellations in a row use one lease.
    std::shared_ptr<SharedLease> m_lease = std::make_shared<SharedLease>();
};

} // namespace shallotproxy
