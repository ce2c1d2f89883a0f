#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "shallotproxy/process.hpp"

namespace shallotproxy {

namespace {

const auto redTeam = TeamName("red");

/// Returns the successive records of one incarnation that counts up to `last` requests.
auto history(std::uint64_t number, std::uint64_t last) -> std::vector<UsageRecord>
{
    auto records = std::vector<UsageRecord>();
    for (std::uint64_t i = 0; i <= last; ++i)
        records.push_back({{MemberName("entry-1"), number}, {{redTeam, {i * 10, i, 0}}}});
    return records;
}

RC_GTEST_PROP(Usage, IsCountedOnceInAnyRecordOrder, ())
{
    auto records = std::vector<UsageRecord>();
    auto expected = std::uint64_t{0};
    const auto incarnations = *rc::gen::inRange<std::uint64_t>(1, 5);
    for (std::uint64_t i = 0; i < incarnations; ++i) {
        const auto last = *rc::gen::inRange<std::uint64_t>(0, 10);
        const auto some = history(i, last);
        records.insert(records.end(), some.begin(), some.end());
        records.push_back(some[*rc::gen::inRange<std::size_t>(0, some.size())]);
        expected += last;
    }
    const auto order = *rc::gen::container<std::vector<std::uint32_t>>(
        records.size(), rc::gen::arbitrary<std::uint32_t>());
    auto sum = UsageSum();
    auto indexes = std::vector<std::size_t>(records.size());
    for (std::size_t i = 0; i < indexes.size(); ++i)
        indexes[i] = i;
    std::ranges::stable_sort(indexes, {}, [&order](std::size_t i) { return order[i]; });
    for (const auto i : indexes)
        sum.add(records[i]);
    RC_ASSERT(sum.total()[redTeam].requests == expected);
    RC_ASSERT(sum.total()[redTeam].slotMicroseconds == expected * 10);
}

TEST(Usage, CountsTimeOfEachEndedRequest)
{
    auto usage = TeamUsage();
    usage.add(std::chrono::milliseconds(20));
    usage.add(std::chrono::milliseconds(5));
    EXPECT_EQ(usage.requests, 2U);
    EXPECT_EQ(usage.slotMicroseconds, 25'000U);
}

} // namespace

} // namespace shallotproxy
