#include <algorithm>

#include "shallotproxy/job/stewardship.hpp"

namespace shallotproxy {

namespace {

constexpr double EnoughShare = 0.5; // of a core; serves 350 workers, measured on the grown sites
// With a quarter of a core 120 ms, little beside the lease; with 0.12 it is 1.2 s, which is more
// than members start or hear of the free key apart (0.3 s seen).
constexpr double HandicapMilliseconds = 30;
constexpr double LongestHandicapMilliseconds = 1'500; // where all members are as weak

} // namespace

auto Stewardship::campaignDelay(double processorShare) -> Milliseconds
{
    const auto lacking = std::max(0.0, 1 / std::max(processorShare, 1e-3) - 1 / EnoughShare);
    const auto handicap =
        std::min(HandicapMilliseconds * lacking * lacking, LongestHandicapMilliseconds);
    return Milliseconds(static_cast<Milliseconds::rep>(handicap));
}

auto Stewardship::acquired(std::uint64_t token, BootTime sentAt) -> void
{
    m_token = token;
    m_renewedAt = sentAt;
}

auto Stewardship::renewed(BootTime sentAt) -> void
{
    m_renewedAt = std::max(m_renewedAt, sentAt);
}

auto Stewardship::lost() -> void
{
    m_token.reset();
}

auto Stewardship::mayOrder(BootTime now) const -> bool
{
    return m_token && now < m_renewedAt + LeaseTime - Margin;
}

auto Stewardship::mayRenewRuns(BootTime now) const -> bool
{
    return m_token && now < m_renewedAt + HoldOnTime;
}

} // namespace shallotproxy
