#include <algorithm>
#include <cmath>

#include "shallotproxy/demand/run_pace.hpp"

namespace shallotproxy {

namespace {

using Seconds = std::chrono::duration<double>;

// A run that took longer, or shorter, than this many times the forecast says no more than that.
constexpr double MaxRatio = 8;
// A worker is slow if its runs take this many times what they take elsewhere,
constexpr double SlowRatio = 1.5;
// its mean is off by this many standard deviations of a mean of as many runs,
constexpr double SlowDeviations = 3;
// and it has had this many.
constexpr double MinRuns = 5;
constexpr std::chrono::seconds SlowTime{20}; // since its last run

} // namespace

auto RunPace::add(Duration actual, Duration forecast, BootTime now) -> void
{
    if (actual <= Duration() || forecast <= Duration())
        return;
    const auto ratio = std::clamp(Seconds(actual) / Seconds(forecast), 1 / MaxRatio, MaxRatio);
    m_lastRunAt = now;
    m_runs = std::min(m_runs + 1, m_maxRuns);
    const auto distance = std::log(ratio) - m_mean;
    m_mean += distance / m_runs;
    m_variance = (1 - 1 / m_runs) * (m_variance + distance * distance / m_runs);
}

auto RunPace::isSlowerThan(const RunPace &fleet, BootTime now) const -> bool
{
    if (m_runs < MinRuns || now >= m_lastRunAt + SlowTime)
        return false;
    const auto deviation = std::sqrt(m_variance / m_runs);
    return m_mean - fleet.m_mean > std::max(std::log(SlowRatio), SlowDeviations * deviation);
}

} // namespace shallotproxy
