#pragma once

#include <algorithm>
#include <cstdint>

namespace shallotproxy {

/// Controls the speed of tasks on spare cores that share a worker with tasks with a latency target.
///
/// The interference differs by image and changes within seconds, so the speed follows the measured
/// tail latency: it is 0 above the target, halved near it, and raised slowly while there is
/// headroom.
class LatencyGuard
{
public:
    /// The speed is halved above this ratio of the latency to its target.
    static constexpr double HighThreshold = 0.85;
    /// The speed is raised below this ratio.
    static constexpr double LowThreshold = 0.6;
    /// The speed is raised by this much with each poll.
    static constexpr int SpeedIncreasePercent = 10;
    static constexpr int FullSpeedPercent = 100;

    /// Returns the next speed in percent, from the highest ratio of latency to target on the
    /// worker.
    static auto nextSpeed(int speed, double worstTargetRatio) -> int
    {
        if (worstTargetRatio > 1)
            return 0;
        if (worstTargetRatio > HighThreshold)
            return speed / 2;
        if (worstTargetRatio < LowThreshold)
            return std::min(FullSpeedPercent, speed + SpeedIncreasePercent);
        return speed;
    }
};

} // namespace shallotproxy
