#pragma once

#include "ports.hpp"

namespace shallotproxy {

/// Outcome of one attempt to store a job, made by this member or by another. `Cancelled`: the job
/// isn't stored, and no earlier attempt can be applied any more.
enum class WriteOutcome { Stored, AlreadyStored, Cancelled, NotApplied, Unknown };

/// What the caller of a Submission does next.
enum class SubmissionAction {
    Write,
    RetryWrite,
    Relay,
    Accept,
    Refuse,
    RefuseCancelled,
    ReportUnknown
};

/// What the submitting member knows about the store, the steward and the call.
struct SubmissionView
{
    bool isStoreUnavailable = false;
    bool hasPeerSteward = false; // another member is the steward and so reaches the store
    Duration elapsed{}; // since the call was received
};

/// Decides how one job is written to the store, without I/O of its own. Handles outages of the
/// store, for all members or only for this one, and lost replies. Attempts are idempotent, as all
/// use the same key, so an unanswered attempt is repeated. The job is only refused if no attempt
/// can have been applied, or if it was cancelled before one was.
class Submission
{
public:
    static constexpr int MaxWrites = 3;
    /// No attempt starts later than this after the call: a caller waits up to 3 s.
    static constexpr std::chrono::milliseconds WriteDeadline{1'900};

    /// Returns the first action.
    auto start(const SubmissionView &view) -> SubmissionAction;
    /// Returns the next action after an attempt with this outcome.
    auto step(WriteOutcome outcome, const SubmissionView &view) -> SubmissionAction;

private:
    [[nodiscard]] auto giveUp() const -> SubmissionAction;

    int m_writes = 0;
    bool m_isRelayed = false;
    bool m_mayBeStored = false;
};

} // namespace shallotproxy
