#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "job_progress.hpp"
#include "shallotproxy/process/base/boot_clock.hpp"

namespace shallotproxy {

/// Batches the records of changed jobs into few conditional writes, one in flight at a time.
///
/// A write may be answered late or never, or may be carried out seconds later. Each write therefore
/// names the revisions of all records that it replaces, so that an old one can't undo a newer one.
class ProgressWriter
{
public:
    using Milliseconds = std::chrono::milliseconds;

    /// Maximum number of jobs in a write. With two entries for each job, and more for ended ones,
    /// the write stays below the store's limit of 32 entries.
    static constexpr std::size_t MaxJobsPerWrite = 7;
    /// The part of them whose changes go first while others wait, so that lasting changes of this
    /// kind keep no other record from being written.
    static constexpr std::size_t MaxFirstJobsPerWrite = 5;
    /// Batches jobs that end at nearly the same time.
    static constexpr Milliseconds UrgentDelay{8};
    /// Changes that only save work wait longer: their workers report them until they are persisted.
    static constexpr Milliseconds RelaxedDelay{250};
    /// Delay after a write that failed.
    static constexpr Milliseconds RetryDelay{200};
    /// A record whose write has failed this often by itself is set aside: it is then written by
    /// itself, at intervals of SetAsideDelay, in turn with the others.
    static constexpr int MaxLoneFailures = 3;
    static constexpr Milliseconds SetAsideDelay{1'000};

    /// The record of one job in a write.
    struct Entry
    {
        std::string job;
        /// Revision of the record that is replaced; 0 if there is none.
        std::uint64_t revision = 0;
        /// Number of the last change of the job that the record contains.
        std::uint64_t change = 0;
        /// The job has ended.
        bool isFinal = false;
        std::string bytes;
    };
    using Batch = std::vector<Entry>;
    /// Encodes the current record of a job; no value if the job is unknown.
    using RecordSource = std::function<std::optional<Entry>(const std::string &job)>;

    /// A record was loaded from the store.
    auto loaded(const std::string &job, std::uint64_t revision) -> void;
    /// The record is deleted from the store.
    auto removed(const std::string &job) -> void
    {
        m_revisions.erase(job);
        m_loneFailures.erase(job);
    }
    /// The job has a change to be persisted.
    auto changed(const std::string &job, WriteUrgency urgency, BootTime now) -> void;
    /// Returns the next write, if one is due and none is in flight.
    auto next(BootTime now, const RecordSource &source) -> std::optional<Batch>;
    /// Returns when next() should be called again; no value while nothing waits or a write is in
    /// flight.
    [[nodiscard]] auto dueAt() const -> std::optional<BootTime>;

    /// Returns the number of records that wait to be written.
    [[nodiscard]] auto size() const -> std::size_t { return m_due.size() + m_setAside.size(); }

    /// The write took effect at `revision`. Returns its entries.
    auto stored(std::uint64_t revision) -> Batch;
    /// A condition failed because the records have these revisions (0: absent). Schedules all
    /// entries of the write again.
    auto conflicted(const std::map<std::string, std::uint64_t> &revisions, BootTime now) -> void;
    /// The outcome of the write is unknown, and it may still be carried out. Schedules its entries
    /// again under the same condition, in smaller writes, so that a record that is always refused
    /// is found.
    auto failed(BootTime now) -> void;

private:
    /// When a record is to be written.
    struct Due
    {
        BootTime at;
        bool goesFirst = false;
    };

    /// When the records that are set aside and have changes are written.
    using SetAside = std::map<std::string, BootTime>;

    /// Schedules the entries of the write in flight again, in the places that they had.
    auto reschedule(BootTime retryAt) -> void;
    auto schedule(const std::string &job, const Due &due) -> void;
    auto takeNext() -> std::string;
    [[nodiscard]] auto queuesDueAt() const -> std::optional<BootTime>;
    [[nodiscard]] auto firstSetAside() const -> SetAside::const_iterator;
    auto take(const std::string &job, const RecordSource &source) -> void;

    using Queue = std::set<std::pair<BootTime, std::string>>;

    std::map<std::string, std::uint64_t> m_revisions;
    std::map<std::string, Due> m_due;
    /// The entries of `m_due` in the order in which they are due, those that go first apart.
    Queue m_queue;
    Queue m_firstQueue;
    Batch m_inFlight;
    std::map<std::string, Due> m_inFlightDue;
    BootTime m_retryAt;
    std::size_t m_jobsPerWrite = MaxJobsPerWrite;
    /// Failed writes of records by themselves, since their last successful write.
    std::map<std::string, int> m_loneFailures;
    SetAside m_setAside;
    bool m_wasSetAside = false; // the last write
};

} // namespace shallotproxy
