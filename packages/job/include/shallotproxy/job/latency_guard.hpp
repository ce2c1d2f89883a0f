#pragma once

#include <algorithm>
#include <cstdint>

namespace shallotproxy {

/// How fast tasks on spare cores may work beside a task that serves users of its own.
///
/// Load: the disturbance differs by image and changes within seconds, so the speed follows the tail
/// that is seen: halved near the target, raised slowly while there is room below it.
class LatencyGuard
{
public:
    static constexpr double HighMark = 0.85; // of the target; above it work on spare cores slows
    static constexpr double LowMark = 0.6; // below it that work speeds up
    static constexpr int SpeedStep = 10; // percent; raised by this much each look
    static constexpr int FullSpeed = 100;

    /// The next speed in percent, from the worst share of a target that a neighbour is at.
    static auto nextSpeed(int speed, double worstShareOfTarget) -> int
    {
        if (worstShareOfTarget > 1)
            return 0;
        if (worstShareOfTarget > HighMark)
            return speed / 2;
        if (worstShareOfTarget < LowMark)
            return std::min(FullSpeed, speed + SpeedStep);
        return speed;
    }
};

} // namespace shallotproxy
