#include <algorithm>

#include "shallotproxy/job/stewardship.hpp"

namespace shallotproxy {

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

auto Stewardship::mayHold(BootTime now) const -> bool
{
    return m_token && now < m_renewedAt + HoldOnTime;
}

} // namespace shallotproxy
