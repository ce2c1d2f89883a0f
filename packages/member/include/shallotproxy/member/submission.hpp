#pragma once

#include "ports.hpp"

namespace shallotproxy {

/// What became of one try to store a job, by this member or by another.
enum class WriteOutcome { Stored, StoredBefore, NotDone, Unknown };

/// The outcome of a write that creates the job's record.
auto writeOutcomeOf(const Expected<std::uint64_t, StoreFailure> &reply) -> WriteOutcome;

enum class SubmissionMove { Write, WriteLater, Relay, Accept, Refuse, SayUnknown };

/// What the member that submits a job knows of its surroundings.
struct SubmissionView
{
    bool isStoreAway = false;
    bool hasPeer = false; // that reaches the store, as it is the steward
    Duration elapsed{}; // since the call came
};

/// Decides how one job gets into the store. Pure. Answers an outage of the store, for all members
/// or for this one, and answers that get lost. The record's key makes any number of tries one job,
/// so a try without an answer is repeated; "not accepted" is only said if no try can have been
/// done.
class Submission
{
public:
    static constexpr int MostWrites = 3;
    static constexpr std::chrono::milliseconds LatestWrite{1'900}; // a caller waits up to 3 s

    auto begin(const SubmissionView &view) -> SubmissionMove;
    auto step(WriteOutcome outcome, const SubmissionView &view) -> SubmissionMove;

private:
    [[nodiscard]] auto giveUp() const -> SubmissionMove;

    int m_writes = 0;
    bool m_isRelayed = false;
    bool m_mayBeStored = false;
};

} // namespace shallotproxy
