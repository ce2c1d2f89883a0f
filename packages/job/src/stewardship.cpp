#include <algorithm>

#include "shallotproxy/job/stewardship.hpp"

namespace shallotproxy {

namespace {

// Half a core serves 350 workers.
constexpr double SufficientShare = 0.5;
// The delay is 120 ms with a quarter of a core, which is short beside the lease, and 1.2 s with
// 0.12 of a core, which is longer than the time by which members differ in starting or in noticing
// the free key (0.3 s).
constexpr double DelayFactorMilliseconds = 30;
// Bounds the delay in a fleet where all members have little processor time.
constexpr double MaxDelayMilliseconds = 1'500;

} // namespace

auto Stewardship::campaignDelay(double processorShare) -> Milliseconds
{
    const auto deficit = std::max(0.0, 1 / std::max(processorShare, 1e-3) - 1 / SufficientShare);
    const auto delay = std::min(DelayFactorMilliseconds * deficit * deficit, MaxDelayMilliseconds);
    return Milliseconds(static_cast<Milliseconds::rep>(delay));
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
    return orderTimeLeft(now) > Duration(0);
}

auto Stewardship::orderTimeLeft(BootTime now) const -> Duration
{
    if (!m_token)
        return {};
    return std::max<Duration>(m_renewedAt + LeaseTime - OrderMargin - now, Duration(0));
}

auto Stewardship::mayRenewRuns(BootTime now) const -> bool
{
    return m_token && now < m_renewedAt + RunRenewalTimeout;
}

} // namespace shallotproxy
