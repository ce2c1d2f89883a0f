#include "shallotproxy/member/submission.hpp"

namespace shallotproxy {

auto Submission::start(const SubmissionView &view) -> SubmissionAction
{
    if (!view.isStoreUnavailable) {
        ++m_writes;
        return SubmissionAction::Write;
    }
    if (!view.hasPeerSteward)
        return SubmissionAction::Refuse;
    m_isRelayed = true;
    return SubmissionAction::Relay;
}

auto Submission::step(WriteOutcome outcome, const SubmissionView &view) -> SubmissionAction
{
    if (outcome == WriteOutcome::Stored || outcome == WriteOutcome::AlreadyStored)
        return SubmissionAction::Accept;
    if (outcome == WriteOutcome::Cancelled)
        return SubmissionAction::RefuseCancelled;
    m_mayBeStored = m_mayBeStored || outcome == WriteOutcome::Unknown;
    if (view.elapsed > WriteDeadline)
        return giveUp();
    const auto needsPeer = outcome == WriteOutcome::NotApplied || view.isStoreUnavailable;
    if (needsPeer && view.hasPeerSteward && !m_isRelayed) {
        m_isRelayed = true;
        return SubmissionAction::Relay;
    }
    if (!m_mayBeStored || view.isStoreUnavailable || m_writes >= MaxWrites)
        return giveUp();
    ++m_writes;
    return SubmissionAction::RetryWrite;
}

auto Submission::giveUp() const -> SubmissionAction
{
    return m_mayBeStored ? SubmissionAction::ReportUnknown : SubmissionAction::Refuse;
}

} // namespace shallotproxy
