#include "shallotproxy/job/crash_history.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace shallotproxy {

namespace {

using std::chrono::milliseconds;

// A task that ran beside others in this many crashes is a suspect.
constexpr std::size_t CrashesOfSuspect = 2;
// A suspect runs without others beside it after this many crashes.
constexpr std::size_t CrashesBeforeIsolation = 2;
// A task is the cause after this many crashes of confirmed runs if one crash came right after a
// start under test: a host rarely fails by itself in just that moment.
constexpr std::size_t ConfirmedCrashesOfCause = 2;
// The same if a task crashes its workers before they can confirm its runs, or new workers only, and
// the least number of crashes right after a start under test.
constexpr std::size_t CrashesOfRepeatedCause = 3;
constexpr std::size_t SoleCrashesOfRepeatedCause = 2;
// The same for a task that crashes its workers later under test, and the least number of these.
constexpr std::size_t CrashesOfLateCause = 4;
constexpr std::size_t IsolatedCrashesOfLateCause = 2;
// The same if new workers are among them.
constexpr std::size_t CrashesOfRepeatedLateCause = 5;
constexpr std::size_t IsolatedCrashesOfRepeatedLateCause = 3;

// A task is the cause after this many confirmed crashes, whenever they come, if they are this many
// times likelier with its help than by chance; after one crash more, fewer times suffice.
constexpr std::size_t CrashesOfFrequentCause = 4;
constexpr double LikelihoodOfFrequentCause = 50'000;
constexpr double LikelihoodOfRepeatedFrequentCause = 1'500;
// A long-running task is isolated if its crashes are this many times likelier with its help.
constexpr double LikelihoodOfIsolation = 50;
// Only as many of the last crashes are compared: a sound task may meet any number in time.
constexpr std::size_t MaxComparedCrashes = 6;
// So many last crashes are compared for how regularly they came after their starts.
constexpr std::size_t RegularCrashes = 5;
// How exactly the time is known for which a run survived.
constexpr milliseconds SurvivalResolution{50};
// A task is the cause if its crashes are this many times likelier with its help by their number and
// by their regularity together.
constexpr double LikelihoodOfRegularCause = 20'000;
constexpr double LeastLikelihoodOfRegularCause = 25;
// After the second crash of its task, nothing is started beside a run for this long; after each
// further crash for this many times longer. From the third one on that is longer than the runs have
// survived, if the crashes are frequent: many sound tasks may have met two, and wait for each
// other.
constexpr milliseconds MinIsolationTime{3'000};
constexpr milliseconds MaxIsolationTime{30'000};
constexpr int IsolationGrowth = 3;
constexpr std::size_t CrashesOfLongIsolation = 3;
constexpr double IsolationPerSurvival = 1.5;
// A run that has been active for this long, and for this many times as long as the longest one that
// was lost, clears its task.
constexpr milliseconds MinExonerationTime{30'000};
constexpr int ExonerationPerSurvival = 3;

auto isOfKind(CrashEvidence kind)
{
    return [kind](const CrashedRun &it) { return it.evidence == static_cast<std::uint8_t>(kind); };
}

auto toMillionths(double crashes) -> std::uint32_t
{
    return static_cast<std::uint32_t>(
        std::lround(std::clamp(crashes, 0.0, 1.0) * CrashedRun::Millionths));
}

/// Returns how many times likelier it is that the last crashes came as regularly after their starts
/// as they did if the task has caused them, than if they came at random. The survival times of runs
/// that end at random, with the same sum, are spread evenly over all ways to divide it; they are
/// this close together in one case of so many.
auto regularityRatio(const std::vector<CrashedRun> &runs) -> double
{
    auto times = std::vector<double>();
    for (auto it = runs.rbegin(); it != runs.rend() && times.size() < RegularCrashes; ++it) {
        if (it->wasConfirmed && !it->isOnNewWorker)
            times.push_back(static_cast<double>(it->survivedMilliseconds));
    }
    if (times.size() < RegularCrashes)
        return 1;
    const auto [shortest, longest] = std::ranges::minmax(times);
    const auto resolution = static_cast<double>(SurvivalResolution.count());
    const auto spread = (longest - shortest + resolution) / std::max(shortest, resolution);
    const auto count = static_cast<double>(RegularCrashes);
    const auto chance =
        std::tgamma(count + 1) / std::pow(count, count) * std::pow(spread, count - 1);
    return std::max(1.0, 1 / chance);
}

} // namespace

auto weakenEvidence(CrashEvidence evidence) -> CrashEvidence
{
    switch (evidence) {
    case CrashEvidence::Sole:
        return CrashEvidence::SoleOnNewWorker;
    case CrashEvidence::Isolated:
        return CrashEvidence::IsolatedOnNewWorker;
    case CrashEvidence::Beside:
    case CrashEvidence::Likely:
    case CrashEvidence::SoleOnNewWorker:
    case CrashEvidence::IsolatedOnNewWorker:
    case CrashEvidence::Grouped:
        break;
    }
    return evidence;
}

auto CrashHistory::add(std::uint64_t run, CrashEvidence evidence, bool wasConfirmed,
                       const CrashContext &context) -> bool
{
    if (std::ranges::find(m_runs, run, &CrashedRun::run) != m_runs.end())
        return false;
    m_runs.push_back({run, static_cast<std::uint8_t>(evidence), wasConfirmed,
                      context.survived.count(), toMillionths(context.expectedCrashes),
                      context.isOnNewWorker, context.isDeliveryInDoubt});
    return true;
}

auto CrashHistory::addExpected(std::uint64_t run, double crashes) -> bool
{
    const auto it = std::ranges::find(m_runs, run, &CrashedRun::run);
    if (it == m_runs.end() || it->expectedMillionths == 0)
        return false;
    it->expectedMillionths = toMillionths(it->expectedCrashes() + crashes);
    return true;
}

auto CrashHistory::confirm(std::uint64_t run) -> bool
{
    const auto it = std::ranges::find(m_runs, run, &CrashedRun::run);
    return it != m_runs.end() && !std::exchange(it->wasConfirmed, true);
}

auto CrashHistory::withdraw(std::uint64_t run) -> bool
{
    const auto isWithdrawn = [run](const CrashedRun &it) {
        const auto wasTestedAlone = !isOfKind(CrashEvidence::Beside)(it)
            && !isOfKind(CrashEvidence::Likely)(it) && !isOfKind(CrashEvidence::Grouped)(it);
        return it.run == run && !wasTestedAlone;
    };
    return std::erase_if(m_runs, isWithdrawn) > 0;
}

auto CrashHistory::removeUnsent(std::uint64_t run) -> bool
{
    return std::erase_if(m_runs,
                         [run](const CrashedRun &it) { return it.run == run && !it.wasConfirmed; })
        > 0;
}

auto CrashHistory::isSuspect() const -> bool
{
    return m_runs.size() >= CrashesOfSuspect
        || std::ranges::any_of(m_runs, std::not_fn(isOfKind(CrashEvidence::Beside)));
}

auto CrashHistory::needsIsolation() const -> bool
{
    // The crash of a group came right after its start, and is against one of many.
    const auto others =
        std::ranges::count_if(m_runs, std::not_fn(isOfKind(CrashEvidence::Grouped)));
    return static_cast<std::size_t>(others) >= CrashesBeforeIsolation;
}

auto CrashHistory::mayBeGrouped() const -> bool
{
    return m_runs.size() < CrashesBeforeIsolation
        && std::ranges::none_of(m_runs, isOfKind(CrashEvidence::Grouped));
}

auto CrashHistory::isNearVerdict() const -> bool
{
    return m_runs.size() >= CrashesOfSuspect;
}

auto CrashHistory::hasUnprovenRun() const -> bool
{
    return !std::ranges::all_of(m_runs, &CrashedRun::isProven);
}

auto CrashHistory::isCause() const -> bool
{
    const auto count = [this](CrashEvidence kind) {
        return static_cast<std::size_t>(
            std::ranges::count_if(m_runs, [isOfThisKind = isOfKind(kind)](const CrashedRun &it) {
                return it.isProven() && isOfThisKind(it);
            }));
    };
    const auto crashes =
        static_cast<std::size_t>(std::ranges::count_if(m_runs, &CrashedRun::isProven));
    const auto confirmed = confirmedCrashes();
    const auto sole = count(CrashEvidence::Sole);
    const auto isEarlyCause = sole > 0 && confirmed >= ConfirmedCrashesOfCause;
    const auto isRepeatedCause =
        sole + count(CrashEvidence::SoleOnNewWorker) >= SoleCrashesOfRepeatedCause
        && crashes >= CrashesOfRepeatedCause;
    const auto isolated = count(CrashEvidence::Isolated);
    const auto isLateCause =
        isolated >= IsolatedCrashesOfLateCause && crashes >= CrashesOfLateCause;
    const auto isRepeatedLateCause =
        isolated + count(CrashEvidence::IsolatedOnNewWorker) >= IsolatedCrashesOfRepeatedLateCause
        && crashes >= CrashesOfRepeatedLateCause;
    const auto likelihood = confirmed > CrashesOfFrequentCause ? LikelihoodOfRepeatedFrequentCause
                                                               : LikelihoodOfFrequentCause;
    const auto isFrequentCause =
        confirmed >= CrashesOfFrequentCause && likelihoodRatio() >= likelihood;
    return isEarlyCause || isRepeatedCause || isLateCause || isRepeatedLateCause || isFrequentCause
        || isUnconfirmedCause() || isRegularCause();
}

/// Whether the task crashes its workers after the same time again and again. That alone isn't
/// enough: a worker that goes down and up by turns ends its runs as regularly.
auto CrashHistory::isRegularCause() const -> bool
{
    const auto likelihood = likelihoodRatio();
    return confirmedCrashes() >= RegularCrashes && likelihood >= LeastLikelihoodOfRegularCause
        && likelihood * regularityRatio(m_runs) >= LikelihoodOfRegularCause;
}

/// Whether the task ends its workers before they can confirm its runs, as far as chance can be
/// ruled out. The longer a worker hadn't answered before the order, the likelier it was gone.
auto CrashHistory::isUnconfirmedCause() const -> bool
{
    const auto compared =
        static_cast<std::size_t>(std::ranges::count_if(m_runs, &CrashedRun::isComparable));
    return compared > CrashesOfFrequentCause
        && likelihoodRatio(true) >= LikelihoodOfRepeatedFrequentCause;
}

auto CrashHistory::needsIsolationIfLongRunning() const -> bool
{
    return needsIsolation() && likelihoodRatio() >= LikelihoodOfIsolation;
}

auto CrashHistory::isolationTime() const -> std::chrono::milliseconds
{
    auto time = MinIsolationTime;
    for (auto n = m_runs.size(); n > CrashesBeforeIsolation && time < MaxIsolationTime; --n)
        time *= IsolationGrowth;
    const auto isFrequent =
        m_runs.size() >= CrashesOfLongIsolation && likelihoodRatio() >= LikelihoodOfIsolation;
    if (isFrequent) {
        const auto survival =
            std::chrono::duration_cast<milliseconds>(longestSurvival() * IsolationPerSurvival);
        time = std::max(time, survival);
    }
    return std::min(time, MaxIsolationTime);
}

auto CrashHistory::exonerationTime() const -> std::chrono::milliseconds
{
    return std::max<milliseconds>(MinExonerationTime, longestSurvival() * ExonerationPerSurvival);
}

auto CrashHistory::confirmedCrashes() const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(m_runs, &CrashedRun::wasConfirmed));
}

auto CrashHistory::longestSurvival() const -> std::chrono::milliseconds
{
    auto longest = std::int64_t{0};
    for (const auto &it : m_runs)
        longest = std::max(longest, it.survivedMilliseconds);
    return milliseconds(longest);
}

/// Returns how many times likelier the last confirmed crashes are at the rate at which they came
/// than at the rate at which other workers crash; with those that can be compared, if requested.
/// Their number follows a Poisson distribution. A crash whose context isn't known counts as
/// expected.
auto CrashHistory::likelihoodRatio(bool withUnconfirmed) const -> double
{
    const auto isCompared = [withUnconfirmed](const CrashedRun &it) {
        return it.wasConfirmed || (withUnconfirmed && it.isComparable());
    };
    const auto compared = static_cast<std::size_t>(std::ranges::count_if(m_runs, isCompared));
    const auto count = std::min(compared, MaxComparedCrashes);
    auto ignored = compared - count;
    auto expected = 0.0;
    for (const auto &it : m_runs) {
        if (!isCompared(it))
            continue;
        if (ignored > 0) {
            --ignored;
            continue;
        }
        expected += it.expectedMillionths == 0 ? 1 : it.expectedCrashes();
    }
    const auto crashes = static_cast<double>(count);
    return crashes <= expected
        ? 1
        : std::pow(crashes / expected, crashes) * std::exp(expected - crashes);
}

auto attributeCrash(std::span<const RunAtCrash> runs) -> std::vector<std::optional<CrashEvidence>>
{
    const auto isStartingInGroup = [](const RunAtCrash &it) {
        return it.isGrouped && it.isUnderTest && !it.isEstablished;
    };
    const auto isGroupStarting = std::ranges::any_of(runs, isStartingInGroup);
    const auto isOneTested =
        !isGroupStarting && std::ranges::count_if(runs, &RunAtCrash::isUnderTest) == 1;
    const auto isOneStarting = isOneTested && std::ranges::any_of(runs, [](const RunAtCrash &it) {
                                   return it.isUnderTest && !it.isEstablished;
                               });
    auto evidence = std::vector<std::optional<CrashEvidence>>();
    for (const auto &it : runs) {
        if (isStartingInGroup(it)) {
            evidence.emplace_back(CrashEvidence::Grouped);
        } else if (isOneTested && it.isUnderTest) {
            evidence.emplace_back(isOneStarting ? CrashEvidence::Sole : CrashEvidence::Isolated);
        } else if (isOneStarting || isGroupStarting) {
            evidence.emplace_back();
        } else {
            const auto isLikely = it.isSuspect || !it.isEstablished;
            evidence.emplace_back(isLikely ? CrashEvidence::Likely : CrashEvidence::Beside);
        }
    }
    return evidence;
}

} // namespace shallotproxy
