#include <algorithm>
#include <tuple>

#include "shallotproxy/job/waiting_order.hpp"

namespace shallotproxy {

namespace {

// Bounds the influence of team shares, so that they don't dominate the remaining work.
constexpr double MaxRelativeUsage = 2;

struct Rank
{
    bool isNotLongRunning;
    std::uint32_t priority;
    bool isLate;
    Duration::rep order;
    std::size_t index;

    auto operator<=>(const Rank &) const = default; // NOLINT(modernize-use-nullptr)
};

auto rankOf(const WaitingStep &step, BootTime now) -> Rank
{
    const auto isLate = now + step.remainingWork > step.deadline;
    const auto usage = std::clamp(step.relativeTeamUsage, 1 / MaxRelativeUsage, MaxRelativeUsage);
    const auto weighted = std::chrono::duration_cast<Duration>(step.remainingWork * usage);
    const auto order = isLate ? step.submittedAt.time_since_epoch() : weighted;
    return {!step.isLongRunning, step.priority, isLate, order.count(), step.index};
}

} // namespace

auto sortWaiting(std::span<WaitingStep> steps, BootTime now) -> void
{
    std::ranges::sort(steps, [now](const auto &left, const auto &right) {
        return rankOf(left, now) < rankOf(right, now);
    });
}

} // namespace shallotproxy
