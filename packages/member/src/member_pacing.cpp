#include <algorithm>

#include "shallotproxy/member/member_pacing.hpp"

namespace shallotproxy {

namespace {

// A campaign makes up to three writes. It lasts some 20 ms, or half a second while the store is
// slow, and the members that begin in this time don't know of each other.
constexpr MemberPacing::Milliseconds CampaignSpacing{10};
constexpr MemberPacing::Milliseconds MinCampaignSpread{80};
constexpr MemberPacing::Milliseconds MaxCampaignSpread{3'000};
// Such reports cost a steward with a quarter of a core some hundredths of its time.
constexpr std::size_t ReportsPerSecond = 50;
constexpr MemberPacing::Milliseconds ReportHold{1'000};
// A member that becomes needed has to be known soon.
constexpr MemberPacing::Milliseconds MaxReportPause{4'000};

} // namespace

auto MemberPacing::campaignSpread(std::size_t members) -> Milliseconds
{
    const auto spread = CampaignSpacing * static_cast<Milliseconds::rep>(members);
    return std::clamp(spread, MinCampaignSpread, MaxCampaignSpread);
}

auto MemberPacing::reportPause(std::size_t members) -> Milliseconds
{
    const auto interval =
        Milliseconds(static_cast<Milliseconds::rep>(members * 1'000 / ReportsPerSecond));
    return std::clamp(interval - ReportHold, Milliseconds(0), MaxReportPause);
}

} // namespace shallotproxy
