#include "shallotproxy/job/suspect_groups.hpp"

#include <algorithm>
#include <cmath>

namespace shallotproxy {

namespace {

// So many tests in a row on each worker take about two seconds.
constexpr std::size_t MaxTestsAlone = 8;
// A crash under a group makes the later ones smaller for this long.
constexpr std::chrono::milliseconds CrashMemory{10'000};
constexpr std::size_t MaxCrashes = 6; // these leave one of MaxSize

} // namespace

auto SuspectGroups::size(std::size_t waiting, std::size_t workers, BootTime now) const
    -> std::size_t
{
    if (waiting <= workers * MaxTestsAlone)
        return 1;
    const auto root = static_cast<std::size_t>(std::sqrt(static_cast<double>(waiting)));
    const auto recent =
        std::ranges::count_if(m_crashes, [now](BootTime it) { return now < it + CrashMemory; });
    return std::max<std::size_t>(1, std::min(root, MaxSize) >> recent);
}

auto SuspectGroups::crashed(BootTime now) -> void
{
    m_crashes.push_back(now);
    if (m_crashes.size() > MaxCrashes)
        m_crashes.pop_front();
}

} // namespace shallotproxy
