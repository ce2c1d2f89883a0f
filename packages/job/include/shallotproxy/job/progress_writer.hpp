#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "job_progress.hpp"
#include "shallotproxy/process/base/boot_clock.hpp"

namespace shallotproxy {

/// Groups changes of jobs into few conditional writes, one under way at a time.
///
/// Load: a write may be answered late, never, or be carried out seconds later. Each one names the
/// revision of every record that it replaces, so an old one can't undo a newer one.
class ProgressWriter
{
public:
    using Milliseconds = std::chrono::milliseconds;

    /// Records of one write: with two entries each, and those of an ended job, it stays below the
    /// store's 32 entries.
    static constexpr std::size_t JobsPerWrite = 7;
    static constexpr Milliseconds UrgentDelay{8}; // groups jobs that end together
    /// Changes that only save work wait longer; their workers tell them again until they are kept.
    static constexpr Milliseconds RelaxedDelay{250};
    static constexpr Milliseconds RetryDelay{200}; // after a write that failed

    struct Entry
    {
        std::string job;
        std::uint64_t revision = 0; // of the record to be replaced; 0: there is none
        std::uint64_t change = 0;
        bool isFinal = false;
        std::string bytes;
    };
    using Batch = std::vector<Entry>;
    /// Makes the record of a job as it is now; no value if the job isn't known.
    using Source = std::function<std::optional<Entry>(const std::string &job)>;

    /// A record was read from the store.
    auto loaded(const std::string &job, std::uint64_t revision) -> void;
    /// The record is removed.
    auto removed(const std::string &job) -> void { m_revisions.erase(job); }
    auto changed(const std::string &job, bool isUrgent, BootTime now) -> void;
    /// The next write, if one is due and none is under way.
    auto next(BootTime now, const Source &source) -> std::optional<Batch>;
    /// When next() should be asked again; no value while nothing waits or a write is under way.
    [[nodiscard]] auto dueAt() const -> std::optional<BootTime>;

    /// The write took effect at `revision`; returns what it held.
    auto stored(std::uint64_t revision) -> Batch;
    /// A condition failed: the records have these revisions (0: absent). All are written again.
    auto conflicted(const std::map<std::string, std::uint64_t> &revisions, BootTime now) -> void;
    /// It may have been done or not, or may be done later: written again under the same condition.
    auto failed(BootTime now) -> void;

private:
    auto putBack(BootTime now) -> void;

    std::map<std::string, std::uint64_t> m_revisions;
    std::map<std::string, BootTime> m_due;
    Batch m_underWay;
};

} // namespace shallotproxy
