#include "shallotproxy/job/crash_rate.hpp"

#include <algorithm>
#include <cmath>

namespace shallotproxy {

namespace {

using Seconds = std::chrono::duration<double>;

// The weight of what was observed falls to a third in this time.
constexpr Seconds DecayTime{120};

} // namespace

auto CrashRate::observe(std::size_t workers, BootTime now) -> void
{
    const auto elapsed =
        m_observedAt == BootTime() ? Seconds() : Seconds(std::max(now - m_observedAt, Duration()));
    m_observedAt = now;
    const auto weight = std::exp(-elapsed / DecayTime);
    m_crashes *= weight;
    m_workerSeconds = m_workerSeconds * weight + static_cast<double>(workers) * elapsed.count();
}

auto CrashRate::removeCrashes(std::size_t count) -> void
{
    m_crashes = std::max(0.0, m_crashes - static_cast<double>(count));
}

auto PoolCrashRates::removeCrashes(std::span<const CrashedRun> runs) -> void
{
    for (const auto &it : runs)
        of(it.isOnNewWorker).removeCrashes(1);
}

auto CrashRate::expectedCrashes(Duration time, std::size_t others) const -> double
{
    const auto crashes = std::max(0.0, m_crashes - static_cast<double>(others));
    const auto rate = (crashes + 1) / (m_workerSeconds + Seconds(m_assumedInterval).count());
    return rate * Seconds(time).count();
}

} // namespace shallotproxy
