#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include <msgpack.hpp>

namespace shallotproxy {

/// What the crash of a worker says about a run that was lost there.
///
/// `Beside`: it was one of the runs there. `Likely`: the run had just started, or its task was a
/// suspect. `Isolated`: the run was under test, and had been active for a while. `Sole`: it was
/// under test, and had just started. The last two prove less on a worker that is new itself, since
/// it may fail repeatedly. `Grouped`: it was under test and had just started, together with others.
enum class CrashEvidence : std::uint8_t {
    Beside = 0,
    Likely = 1,
    Isolated = 2,
    Sole = 3,
    SoleOnNewWorker = 4,
    IsolatedOnNewWorker = 5,
    Grouped = 6,
};

/// A run under which its worker crashed.
struct CrashedRun
{
    static constexpr double Millionths = 1e6;

    std::uint64_t run = 0;
    /// A CrashEvidence.
    std::uint8_t evidence = 0;
    /// The worker had confirmed the run. Otherwise it may have crashed before the order arrived.
    bool wasConfirmed = false;
    /// How long the run was there before the crash was known.
    std::int64_t survivedMilliseconds = 0;
    /// Number of crashes, in millionths, that the run would have met in this time if its task had
    /// no part in them; 0 if it isn't known.
    std::uint32_t expectedMillionths = 0;
    /// The worker had been up for a short time only.
    bool isOnNewWorker = false;
    /// The order may never have reached the worker: it hadn't been heard from lately, or fell
    /// silent with the order.
    bool isDeliveryInDoubt = false;

    /// Whether the run is known to have been there, or its order to have reached the worker.
    [[nodiscard]] auto isProven() const -> bool { return wasConfirmed || !isDeliveryInDoubt; }
    /// Returns the number of crashes that are expected by chance; 0 if it isn't known.
    [[nodiscard]] auto expectedCrashes() const -> double { return expectedMillionths / Millionths; }
    /// Whether it is known how likely the crash was by chance.
    [[nodiscard]] auto isComparable() const -> bool
    {
        return wasConfirmed || expectedMillionths > 0;
    }

    MSGPACK_DEFINE(run, evidence, wasConfirmed, survivedMilliseconds, expectedMillionths,
                   isOnNewWorker, isDeliveryInDoubt)
};

/// What is known of a run that was lost, beside the evidence; see CrashedRun. `expectedCrashes` is
/// 0 if it isn't known.
struct CrashContext
{
    std::chrono::milliseconds survived{};
    double expectedCrashes = 0;
    bool isOnNewWorker = false;
    bool isDeliveryInDoubt = false;
};

/// A run whose worker may have crashed: it refused connections, or the run has just started where
/// tasks crash their workers. Tells the next steward of a crash that this one may not live to see.
struct PossibleCrash
{
    std::uint64_t run = 0;
    /// A CrashEvidence, if the worker has crashed.
    std::uint8_t evidence = 0;
    bool wasConfirmed = false;
    std::string worker;
    /// Identifies the incarnation of the worker.
    std::int64_t startedMilliseconds = 0;
    std::string dataCentre;
    /// See CrashedRun.
    bool isDeliveryInDoubt = false;
    /// How long before the order the worker had last answered; negative if it isn't known.
    std::int64_t contactAgeMilliseconds = -1;
    /// The worker couldn't be reached; see WorkerContact.
    bool wasWorkerSilent = false;

    MSGPACK_DEFINE(run, evidence, wasConfirmed, worker, startedMilliseconds, dataCentre,
                   isDeliveryInDoubt, contactAgeMilliseconds, wasWorkerSilent)
};

/// Returns what a crash proves that was concluded from the record of an earlier steward: less, as
/// that steward didn't see how the worker ended.
auto weakenEvidence(CrashEvidence evidence) -> CrashEvidence;

/// The crashes of workers while they ran one task.
///
/// Tells a task that crashes every worker that starts it from the tasks that ran beside it and from
/// hosts that fail by themselves. A crash makes the likely tasks suspects. A suspect starts on a
/// worker where nothing else has just started, and nothing else starts there until its run is
/// established; if it crashes its worker again, then it is the cause. A run that its worker never
/// confirmed makes its task a suspect, but proves less: the worker may have crashed before. If it
/// isn't known that the order reached the worker, it proves nothing by itself, but is compared with
/// chance. Where many are suspects of one crash, each starts in a group once, and alone if its
/// group crashed a worker.
///
/// A task whose runs lose their workers far more often than others do is the cause as well, however
/// long after their starts.
///
/// Load pattern: a tenth of the jobs of a busy queue has a task that crashes its worker at its
/// start, so that each crash takes ten other runs along.
class CrashHistory
{
public:
    CrashHistory() = default;
    explicit CrashHistory(std::vector<CrashedRun> runs)
        : m_runs(std::move(runs))
    { }

    /// Adds a crash; a run that was added before counts once. Returns whether it is new.
    auto add(std::uint64_t run, CrashEvidence evidence, bool wasConfirmed,
             const CrashContext &context = {}) -> bool;
    /// Notes that the worker had confirmed a run. Returns whether that is new.
    auto confirm(std::uint64_t run) -> bool;
    /// Other workers turned out to have crashed at the same time. Returns whether that changes what
    /// is known of the run.
    auto addExpected(std::uint64_t run, double crashes) -> bool;
    /// Removes a crash that had another cause, unless the run was under test: few are, and they
    /// would hardly meet it by chance. Returns whether it was removed.
    auto withdraw(std::uint64_t run) -> bool;
    /// Removes the crash of a worker that the order never reached, unless it had confirmed the run.
    /// Returns whether it was removed.
    auto removeUnsent(std::uint64_t run) -> bool;
    auto clear() -> void { m_runs.clear(); }

    [[nodiscard]] auto runs() const -> const std::vector<CrashedRun> & { return m_runs; }
    [[nodiscard]] auto isEmpty() const -> bool { return m_runs.empty(); }
    /// Whether the task may be the cause of the crashes and is placed as a suspect.
    [[nodiscard]] auto isSuspect() const -> bool;
    /// Whether nothing is started beside the task for a while after its run is established: it may
    /// crash its worker late.
    [[nodiscard]] auto needsIsolation() const -> bool;
    /// The same for a long-running task, which meets more failures of hosts.
    [[nodiscard]] auto needsIsolationIfLongRunning() const -> bool;
    /// Returns how long nothing is started beside a run that is isolated.
    [[nodiscard]] auto isolationTime() const -> std::chrono::milliseconds;
    /// Returns after which time a run clears the task: later crashes are more likely those of the
    /// host.
    [[nodiscard]] auto exonerationTime() const -> std::chrono::milliseconds;
    /// Whether the task may start under test together with other suspects: at most once.
    [[nodiscard]] auto mayBeGrouped() const -> bool;
    /// Whether another crash could decide, so that what is known of the others has to be complete.
    [[nodiscard]] auto isNearVerdict() const -> bool;
    /// Whether it isn't known of some run that it was ever there. Such runs don't make the task the
    /// cause, so that the next ones have to start on workers that are known to be there.
    [[nodiscard]] auto hasUnprovenRun() const -> bool;
    /// Whether the task is the cause of the crashes.
    [[nodiscard]] auto isCause() const -> bool;

private:
    [[nodiscard]] auto isUnconfirmedCause() const -> bool;
    [[nodiscard]] auto isRegularCause() const -> bool;
    [[nodiscard]] auto confirmedCrashes() const -> std::size_t;
    [[nodiscard]] auto longestSurvival() const -> std::chrono::milliseconds;
    [[nodiscard]] auto likelihoodRatio(bool withUnconfirmed = false) const -> double;

    std::vector<CrashedRun> m_runs;
};

/// What is known of a run at the crash of its worker.
struct RunAtCrash
{
    /// The task was a suspect before.
    bool isSuspect = false;
    /// The worker has answered after the run had been active for a while.
    bool isEstablished = false;
    /// Nothing was started beside the run of a suspect.
    bool isUnderTest = false;
    /// The run started under test together with others.
    bool isGrouped = false;
};

/// Returns the evidence against each of the runs of a worker that crashed; no value for a run
/// beside one or a group that had just started under test.
auto attributeCrash(std::span<const RunAtCrash> runs) -> std::vector<std::optional<CrashEvidence>>;

} // namespace shallotproxy
