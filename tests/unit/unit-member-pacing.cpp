#include <algorithm>
#include <random>
#include <vector>

#include <gtest/gtest.h>

#include "shallotproxy/member/member_pacing.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr auto WritesPerSecond = 400; // that the store takes from all members

struct Herd
{
    int campaigns = 0;
    milliseconds firstClaim{};
};

/// All members notice that the steward's key is free. Each begins at its own time, unless it has
/// seen by then that another one has the key, which takes a while.
auto campaign(std::size_t members, milliseconds timeToSee, unsigned seed) -> Herd
{
    auto random = std::minstd_rand(seed);
    const auto spread = MemberPacing::campaignSpread(members).count();
    auto starts = std::vector<milliseconds>();
    for (std::size_t n = 0; n < members; ++n) {
        starts.emplace_back(
            std::uniform_int_distribution<milliseconds::rep>(0, spread - 1)(random));
    }
    const auto first = std::ranges::min(starts);
    const auto campaigns =
        std::ranges::count_if(starts, [&](auto it) { return it <= first + timeToSee; });
    return {static_cast<int>(campaigns), first};
}

// 300 members wrote more than the store takes in a second while a change of the steward was under
// way, as many as would begin within the time that a slow store takes to tell them of the winner.
TEST(MemberPacing, KeepsTheStoreFreeWhileHundredsOfMembersCampaign)
{
    constexpr auto WritesPerCampaign = 3; // the lease, the claim, the end of the lease
    for (auto seed = 1U; seed <= 50; ++seed) {
        const auto usual = campaign(300, 25ms, seed);
        EXPECT_LE(usual.campaigns * WritesPerCampaign, WritesPerSecond / 10);
        EXPECT_LE(usual.firstClaim, 120ms);
        EXPECT_LE(campaign(300, 750ms, seed).campaigns * WritesPerCampaign, WritesPerSecond);
        // In a small fleet the herd is as before.
        EXPECT_LE(campaign(8, 25ms, seed).firstClaim, 80ms);
    }
}

// The steward of 300 members spent a good part of a quarter of a core on reports that told it
// nothing.
TEST(MemberPacing, BoundsTheReportsOfMembersThatAreNotNeeded)
{
    constexpr auto Hold = 1.0; // seconds that the steward holds a report back
    for (auto members = std::size_t{1}; members <= 300; ++members) {
        const auto pause = std::chrono::duration<double>(MemberPacing::reportPause(members));
        EXPECT_LE(static_cast<double>(members) / (Hold + pause.count()), 61);
    }
    EXPECT_EQ(MemberPacing::reportPause(50), 0ms);
    EXPECT_LE(MemberPacing::reportPause(100'000), 4s);
}

} // namespace

} // namespace shallotproxy
