#include "shallotproxy/member/submission.hpp"

namespace shallotproxy {

auto writeOutcomeOf(const Expected<std::uint64_t, StoreFailure> &reply) -> WriteOutcome
{
    if (reply)
        return WriteOutcome::Stored;
    switch (reply.error().kind) {
    case StoreFailure::Kind::Conflict:
        return WriteOutcome::StoredBefore;
    case StoreFailure::Kind::NotDone:
    case StoreFailure::Kind::LeaseGone:
    case StoreFailure::Kind::HistoryGone:
        return WriteOutcome::NotDone;
    case StoreFailure::Kind::Unknown:
        break;
    }
    return WriteOutcome::Unknown;
}

auto Submission::begin(const SubmissionView &view) -> SubmissionMove
{
    if (!view.isStoreAway) {
        ++m_writes;
        return SubmissionMove::Write;
    }
    if (!view.hasPeer)
        return SubmissionMove::Refuse;
    m_isRelayed = true;
    return SubmissionMove::Relay;
}

auto Submission::step(WriteOutcome outcome, const SubmissionView &view) -> SubmissionMove
{
    if (outcome == WriteOutcome::Stored || outcome == WriteOutcome::StoredBefore)
        return SubmissionMove::Accept;
    m_mayBeStored = m_mayBeStored || outcome == WriteOutcome::Unknown;
    if (view.elapsed > LatestWrite)
        return giveUp();
    const auto needsPeer = outcome == WriteOutcome::NotDone || view.isStoreAway;
    if (needsPeer && view.hasPeer && !m_isRelayed) {
        m_isRelayed = true;
        return SubmissionMove::Relay;
    }
    if (!m_mayBeStored || view.isStoreAway || m_writes >= MostWrites)
        return giveUp();
    ++m_writes;
    return SubmissionMove::WriteLater;
}

auto Submission::giveUp() const -> SubmissionMove
{
    return m_mayBeStored ? SubmissionMove::SayUnknown : SubmissionMove::Refuse;
}

} // namespace shallotproxy
