#include <algorithm>

#include "steward_state.hpp"

namespace shallotproxy {

namespace {

using std::chrono::milliseconds;

// Crashes of a pool's workers within this time may have one cause.
constexpr milliseconds CoincidenceWindow{2'000};
// A crash beside another suspect may be as well the doing of that one.
constexpr double ExpectedBesideSuspect = 0.25;
// A worker that has started lately may fail again by itself.
constexpr double ExpectedOnNewWorker = 1.0 / 7;
// Another worker takes the place of one that has ended within about this time.
constexpr milliseconds ReplacementTime{5'000};
// Of fewer workers, most may be new because each of them fails.
constexpr std::size_t MinWorkersToCompare = 4;
// A worker that has answered within this time is known to be there.
constexpr milliseconds InTouchTime{1'000};
// What a run meets by chance while one steward follows another.
constexpr double ExpectedAtStewardChange = 0.05;

/// Whether runs of two tasks were lost at about the same time before the crash at `now`.
auto wereLostTogether(std::span<const BootTime> losses, std::span<const BootTime> otherLosses,
                      BootTime now) -> bool
{
    return std::ranges::any_of(losses, [&](BootTime at) {
        return at != now && std::ranges::any_of(otherLosses, [at](BootTime other) {
                   return std::chrono::abs(at - other) < CoincidenceWindow;
               });
    });
}

} // namespace

/// Whether the worker is known to be there. An idle one isn't polled, and may be cut off.
auto Steward::isInTouch(const Worker &worker) const -> bool
{
    return m_now - worker.lastAnswerAt < InTouchTime;
}

/// Whether the start order of a run that its worker hasn't confirmed may never have reached it.
/// Silence is that of a cut as well as that of a host that is down, however lately the worker had
/// answered; a process that ends closes its connections.
auto Steward::isDeliveryInDoubt(const Task &task) const -> bool
{
    const auto wasWorkerThere = task.wasStartClosed || task.contactAge < InTouchTime;
    return !task.activeAtMilliseconds && !(wasWorkerThere && task.worker->contact.hasEnded());
}

/// Polls a worker that may be gone. Its pool is placed when it answers.
auto Steward::probe(Worker &worker) -> void
{
    worker.isProbeDue = true;
    worker.nextPoll = m_now;
    pollIfDue(worker);
}

/// Whether the worker may fail again by itself as it has started lately.
auto Steward::isNewByItself(const Worker &worker) const -> bool
{
    return isNew(worker) && doNewWorkersStandOut(worker.report.pool);
}

/// Whether new workers tell of single ones that fail. Where most workers are new, tasks crash them,
/// or a rack was lost.
auto Steward::doNewWorkersStandOut(const PoolName &pool) const -> bool
{
    const auto &workers = m_poolWorkers.at(pool);
    const auto isNewWorker = [this](const Worker *it) { return isNew(*it); };
    const auto newWorkers = static_cast<std::size_t>(std::ranges::count_if(workers, isNewWorker));
    const auto isReplacedSoon = [this, &pool](const auto &entry) {
        return entry.second.report.pool == pool
            && m_now < entry.second.endKnownAt + ReplacementTime;
    };
    const auto endedWorkers =
        static_cast<std::size_t>(std::ranges::count_if(m_endedWorkers, isReplacedSoon));
    const auto areMostNew = 2 * newWorkers > workers.size();
    return !areMostNew || workers.size() + endedWorkers < MinWorkersToCompare;
}

/// Returns what the run of the task would have met by chance until the last crash. `tasks` are
/// those of its worker.
auto Steward::crashContextOf(const Task &task, std::span<Task *const> tasks) -> CrashContext
{
    const auto &worker = *task.worker;
    const auto wasConfirmed = task.activeAtMilliseconds.has_value();
    const auto lostAt = worker.contact.lostAt().value_or(m_now);
    const auto survival = std::max<Duration>(lostAt - task.attachedAt, Duration());
    auto context = CrashContext();
    context.survived = std::chrono::duration_cast<milliseconds>(survival);
    context.isOnNewWorker = m_recentCrashes.back().wasOnNewWorker;
    context.isDeliveryInDoubt = isDeliveryInDoubt(task);
    // An unconfirmed run may have met the end of its worker at any time since the last answer.
    const auto time = wasConfirmed ? survival : std::max<Duration>(task.contactAge, InTouchTime);
    const auto own =
        std::ranges::count(task.crashes.runs(), context.isOnNewWorker, &CrashedRun::isOnNewWorker);
    context.expectedCrashes = m_crashRates.at(worker.report.pool)
                                  .of(context.isOnNewWorker)
                                  .expectedCrashes(time, static_cast<std::size_t>(own) + 1)
        + coincidingShare(m_recentCrashes.back(), task);
    if (context.isOnNewWorker)
        context.expectedCrashes = std::max(context.expectedCrashes, ExpectedOnNewWorker);
    // A companion that comes back is none: it would excuse each of the task's crashes.
    const auto isNewCompanion = [this, &task](const Task *it) {
        return it != &task && it->crashes.isSuspect()
            && !wereLostTogether(task.lossTimes, it->lossTimes, m_now);
    };
    if (std::ranges::any_of(tasks, isNewCompanion))
        context.expectedCrashes += ExpectedBesideSuspect;
    return context;
}

/// The same for a run whose possible crash an earlier steward has recorded.
auto Steward::crashContextOf(const Task &task, const PossibleCrash &crash) -> CrashContext
{
    auto context = CrashContext();
    context.isDeliveryInDoubt = crash.isDeliveryInDoubt;
    if (crash.wasConfirmed)
        context.expectedCrashes = ExpectedAtStewardChange;
    if (!crash.wasConfirmed && crash.contactAgeMilliseconds >= 0) {
        const auto age = std::max(milliseconds(crash.contactAgeMilliseconds), InTouchTime);
        context.expectedCrashes = ExpectedAtStewardChange
            + m_crashRates[poolOf(*task.job)].oldWorkers.expectedCrashes(age, 0);
    }
    return context;
}

auto Steward::observeCrashRates() -> void
{
    for (const auto &[pool, workers] : m_poolWorkers) {
        const auto isNewWorker = [this](const Worker *it) { return isNew(*it); };
        const auto newWorkers = doNewWorkersStandOut(pool)
            ? static_cast<std::size_t>(std::ranges::count_if(workers, isNewWorker))
            : 0;
        auto &rates = m_crashRates[pool];
        rates.newWorkers.observe(newWorkers, m_now);
        rates.oldWorkers.observe(workers.size() - newWorkers, m_now);
    }
}

/// Returns the part of the pool's workers that have crashed at about the same time, without the
/// task: a rack or a switch may have failed. Tasks that crash their workers side by side would be
/// the reason for each other for ever, so that the same ones count once.
auto Steward::coincidingShare(const RecentCrash &crash, const Task &task) -> double
{
    const auto hasCoincidedBefore = [this, &crash, &task](const LostRun &it) {
        const auto *other = findTask(it.task);
        return other != nullptr && wereLostTogether(task.lossTimes, other->lossTimes, crash.at);
    };
    const auto isCoinciding = [&](const RecentCrash &it) {
        return &it != &crash && it.pool == crash.pool && !it.wasUnderTest
            && std::chrono::abs(it.at - crash.at) < CoincidenceWindow
            && std::ranges::find(it.runs, task.id(), &LostRun::task) == it.runs.end()
            && (it.runs.empty() || !std::ranges::all_of(it.runs, hasCoincidedBefore));
    };
    const auto workers = m_poolWorkers.find(crash.pool);
    const auto left = workers == m_poolWorkers.end() ? 0 : workers->second.size();
    const auto coinciding =
        static_cast<double>(std::ranges::count_if(m_recentCrashes, isCoinciding));
    return coinciding / std::max(static_cast<double>(left), coinciding + 1);
}

/// Counts the crashes of other workers that came soon after this one.
auto Steward::addCoincidences(const RecentCrash &crash) -> void
{
    for (const auto &it : crash.runs) {
        auto *task = findTask(it.task);
        if (task == nullptr || task->job->outcome != JobOutcome::Open)
            continue;
        const auto share = coincidingShare(crash, *task);
        if (share > 0 && task->crashes.addExpected(it.run, share))
            markChanged(*task->job, WriteUrgency::Relaxed);
    }
}

} // namespace shallotproxy
