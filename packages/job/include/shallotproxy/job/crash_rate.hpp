#pragma once

#include <chrono>
#include <cstddef>
#include <span>

#include "crash_history.hpp"
#include "shallotproxy/process/base/boot_clock.hpp"

namespace shallotproxy {

/// How often workers crash, whatever they run.
///
/// Expected conditions: workers that fail singly, in turn or by racks, some of them because of a
/// task. Older crashes count less, so that the rate follows the workers.
class CrashRate
{
public:
    /// `assumedInterval` is the mean time between two crashes of a worker that is assumed before
    /// much is known.
    explicit CrashRate(std::chrono::seconds assumedInterval)
        : m_assumedInterval(assumedInterval)
    { }

    /// Counts the time since the last call as that of this many workers.
    auto observe(std::size_t workers, BootTime now) -> void;
    auto addCrash() -> void { m_crashes += 1; }
    /// Crashes under a task that was found to cause them say nothing of the workers.
    auto removeCrashes(std::size_t count) -> void;

    /// Returns the number of crashes that a worker meets by itself in this time. `others` is the
    /// number of counted crashes that aren't to be taken for such.
    [[nodiscard]] auto expectedCrashes(Duration time, std::size_t others) const -> double;

private:
    std::chrono::seconds m_assumedInterval;
    double m_crashes = 0;
    double m_workerSeconds = 0;
    BootTime m_observedAt;
};

/// The rates of a pool's workers. One that has just started may fail again and again by itself.
struct PoolCrashRates
{
    static constexpr std::chrono::seconds OldWorkerInterval{200};
    static constexpr std::chrono::seconds NewWorkerInterval{20};

    CrashRate oldWorkers{OldWorkerInterval};
    CrashRate newWorkers{NewWorkerInterval};

    [[nodiscard]] auto of(bool isNew) -> CrashRate & { return isNew ? newWorkers : oldWorkers; }
    [[nodiscard]] auto of(bool isNew) const -> const CrashRate &
    {
        return isNew ? newWorkers : oldWorkers;
    }
    /// Removes the crashes under a task that was found to cause them.
    auto removeCrashes(std::span<const CrashedRun> runs) -> void;
};

} // namespace shallotproxy
