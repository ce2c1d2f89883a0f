#include <algorithm>
#include <tuple>

#include "shallotproxy/job/waiting_order.hpp"

namespace shallotproxy {

namespace {

constexpr double MostPressure = 2; // shares move the order, they don't turn it into one by team

struct Rank
{
    bool isOfTasksThatEnd;
    std::uint32_t priority;
    bool isLate;
    Duration::rep order;
    std::size_t index;

    auto operator<=>(const Rank &) const = default; // NOLINT(modernize-use-nullptr)
};

auto rankOf(const WaitingStep &step, BootTime now) -> Rank
{
    const auto isLate = now + step.workLeft > step.onTimeUntil;
    const auto pressure = std::clamp(step.teamPressure, 1 / MostPressure, MostPressure);
    const auto weighted = std::chrono::duration_cast<Duration>(step.workLeft * pressure);
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
