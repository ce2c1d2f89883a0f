#include "shallotproxy/job/team_limit.hpp"

#include <algorithm>
#include <array>

namespace shallotproxy {

auto isWithinLimit(const TeamLoad &usage, const Resources &task, bool isLongRunning,
                   const Resources &limit) -> bool
{
    const auto allows = [&](std::int64_t Resources::*resource) {
        const auto most = limit.*resource;
        const auto used = usage.total.*resource;
        const auto needed = task.*resource;
        if (most == 0 || needed == 0 || used + needed <= most)
            return true;
        // Finite runs end, and the task may fit beside what is left then.
        const auto isBesideLongRunning =
            !isLongRunning && used == usage.longRunning.*resource && used <= most;
        return used * 2 < most || isBesideLongRunning;
    };
    const auto resources =
        std::array{&Resources::milliCores, &Resources::memoryMegabytes, &Resources::accelerators};
    return std::ranges::all_of(resources, allows);
}

} // namespace shallotproxy
