#pragma once

#include <cstdint>

#include "shallotproxy/process/base/boot_clock.hpp"

namespace shallotproxy {

/// How much longer than forecast runs have taken lately, on one worker or on all of them.
///
/// Load pattern: single workers that run at a fraction of their speed for some time, while the work
/// of queues becomes longer or shorter on all workers at once.
class RunPace
{
public:
    /// `maxRuns` is how many runs count at most; newer ones outweigh older ones.
    explicit RunPace(double maxRuns)
        : m_maxRuns(maxRuns)
    { }

    auto add(Duration actual, Duration forecast, BootTime now) -> void;
    /// Whether the worker with this pace is slower than the others, whose pace is `fleet`. Ends
    /// some time after its last run, so that it is tried again.
    [[nodiscard]] auto isSlowerThan(const RunPace &fleet, BootTime now) const -> bool;

private:
    double m_maxRuns;
    double m_runs = 0;
    /// Of the logarithm of actual over forecast run time.
    double m_mean = 0;
    double m_variance = 0;
    BootTime m_lastRunAt;
};

} // namespace shallotproxy
