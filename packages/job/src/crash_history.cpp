#include "shallotproxy/job/crash_history.hpp"

#include <algorithm>

namespace shallotproxy {

namespace {

// A task that ran beside others in this many crashes is a suspect.
constexpr std::size_t CrashesOfSuspect = 2;
// A suspect runs without others beside it after this many crashes.
constexpr std::size_t CrashesBeforeIsolation = 2;
// A task is the cause after this many crashes, of which so many were evidence against it alone. A
// host rarely fails by itself within the short time of a test.
constexpr std::size_t CrashesOfCause = 2;
constexpr std::ptrdiff_t SoleCrashesOfCause = 1;

auto isOfKind(CrashEvidence kind)
{
    return [kind](const CrashedRun &it) { return it.evidence == static_cast<std::uint8_t>(kind); };
}

} // namespace

auto CrashHistory::add(std::uint64_t run, CrashEvidence evidence) -> bool
{
    if (std::ranges::find(m_runs, run, &CrashedRun::run) != m_runs.end())
        return false;
    m_runs.push_back({run, static_cast<std::uint8_t>(evidence)});
    return true;
}

auto CrashHistory::remove(std::uint64_t run) -> bool
{
    return std::erase_if(m_runs, [run](const CrashedRun &it) { return it.run == run; }) > 0;
}

auto CrashHistory::isSuspect() const -> bool
{
    return m_runs.size() >= CrashesOfSuspect
        || std::ranges::any_of(m_runs, std::not_fn(isOfKind(CrashEvidence::Beside)));
}

auto CrashHistory::needsIsolation() const -> bool
{
    return m_runs.size() >= CrashesBeforeIsolation;
}

auto CrashHistory::isCause() const -> bool
{
    return m_runs.size() >= CrashesOfCause
        && std::ranges::count_if(m_runs, isOfKind(CrashEvidence::Sole)) >= SoleCrashesOfCause;
}

auto attributeCrash(std::span<const RunAtCrash> runs) -> std::vector<std::optional<CrashEvidence>>
{
    const auto isOneTested = std::ranges::count_if(runs, &RunAtCrash::isUnderTest) == 1;
    auto evidence = std::vector<std::optional<CrashEvidence>>();
    for (const auto &it : runs) {
        if (isOneTested) {
            evidence.push_back(it.isUnderTest ? std::optional(CrashEvidence::Sole) : std::nullopt);
        } else {
            const auto isLikely = it.isSuspect || !it.isEstablished;
            evidence.emplace_back(isLikely ? CrashEvidence::Likely : CrashEvidence::Beside);
        }
    }
    return evidence;
}

} // namespace shallotproxy
