#include <numeric>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "shallotproxy/process.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

const auto mainPool = PoolName("main");
const auto redTeam = TeamName("red");
const auto blueTeam = TeamName("blue");

auto member(int number) -> Incarnation
{
    return {MemberName("entry-" + std::to_string(number)), 1};
}

auto demands() -> rc::Gen<std::vector<WeightedDemand>>
{
    return rc::gen::container<std::vector<WeightedDemand>>(rc::gen::build<WeightedDemand>(
        rc::gen::set(&WeightedDemand::weight,
                     rc::gen::map(rc::gen::inRange(1, 10), [](int it) { return double(it); })),
        rc::gen::set(&WeightedDemand::demand,
                     rc::gen::map(rc::gen::inRange(0, 200), [](int it) { return double(it); }))));
}

auto sumOf(const std::vector<double> &parts) -> double
{
    return std::accumulate(parts.begin(), parts.end(), 0.0);
}

constexpr auto Tolerance = 1e-6;

RC_GTEST_PROP(Shares, UseWholePoolWhileDemandRemains, ())
{
    const auto teams = *demands();
    const auto capacity = static_cast<double>(*rc::gen::inRange(0, 300));
    const auto parts = weightedMaxMin(capacity, teams);
    auto demand = 0.0;
    for (const auto &it : teams)
        demand += it.demand;
    RC_ASSERT(std::abs(sumOf(parts) - std::min(capacity, demand)) < Tolerance * 100);
}

RC_GTEST_PROP(Shares, AreMaxMinFairByWeight, ())
{
    const auto teams = *demands();
    const auto capacity = static_cast<double>(*rc::gen::inRange(0, 300));
    const auto parts = weightedMaxMin(capacity, teams);
    for (std::size_t i = 0; i < teams.size(); ++i) {
        RC_ASSERT(parts[i] <= teams[i].demand + Tolerance);
        if (parts[i] >= teams[i].demand - Tolerance)
            continue;
        for (std::size_t j = 0; j < teams.size(); ++j)
            RC_ASSERT(parts[j] / teams[j].weight <= parts[i] / teams[i].weight + Tolerance);
    }
}

RC_GTEST_PROP(Shares, RoundWithoutLossOverTime, ())
{
    const auto teams = *demands();
    const auto capacity = static_cast<double>(*rc::gen::inRange(0, 300));
    const auto parts = weightedMaxMin(capacity, teams);
    auto carry = std::vector<double>(parts.size(), 0.0);
    auto sums = std::vector<double>(parts.size(), 0.0);
    constexpr auto Rounds = 50;
    for (auto n = 0; n < Rounds; ++n) {
        const auto whole = roundWithCarry(parts, carry);
        const auto sum = std::accumulate(whole.begin(), whole.end(), 0.0);
        RC_ASSERT(sum <= sumOf(parts) + Tolerance * 100);
        for (std::size_t i = 0; i < whole.size(); ++i)
            sums[i] += whole[i];
    }
    for (std::size_t i = 0; i < parts.size(); ++i)
        RC_ASSERT(std::abs(sums[i] / Rounds - parts[i]) < 0.1);
}

auto parameters(std::uint32_t slots) -> PoolParameters
{
    return {slots, {{redTeam, 3}, {blueTeam, 1}}};
}

auto slotsOf(const std::map<MemberName, TeamSlots> &credits, const TeamName &team) -> std::uint32_t
{
    auto sum = std::uint32_t{0};
    for (const auto &[name, slots] : credits)
        sum += slots.contains(team) ? slots.at(team) : 0;
    return sum;
}

TEST(Shares, FollowWeightsAcrossMembers)
{
    auto shares = PoolShares();
    shares.setParameters(parameters(40));
    const auto now = BootTime(1h);
    shares.report(member(0).member, {{redTeam, 1'000, 0}}, now);
    shares.report(member(1).member, {{blueTeam, 50, 0}}, now);
    shares.report(member(2).member, {{blueTeam, 50, 0}}, now);
    const auto credits =
        shares.allocate({member(0).member, member(1).member, member(2).member}, now);
    EXPECT_EQ(slotsOf(credits, redTeam), 30U);
    EXPECT_EQ(slotsOf(credits, blueTeam), 10U);
    EXPECT_EQ(credits.at(member(1).member).at(blueTeam), 5U);
}

TEST(Shares, SplitUnusedSlotsAmongMembers)
{
    auto shares = PoolShares();
    shares.setParameters(parameters(40));
    const auto now = BootTime(1h);
    shares.report(member(0).member, {{redTeam, 0, 4}}, now);
    shares.report(member(1).member, {}, now);
    const auto credits = shares.allocate({member(0).member, member(1).member}, now);
    EXPECT_EQ(credits.at(member(1).member).at(blueTeam), 18U);
}

TEST(Shares, ReserveEvenPartOfUnresponsiveMember)
{
    auto shares = PoolShares();
    shares.setParameters(parameters(40));
    const auto now = BootTime(1h);
    shares.report(member(0).member, {{redTeam, 1'000, 0}}, now);
    const auto credits = shares.allocate({member(0).member, member(1).member}, now);
    EXPECT_EQ(slotsOf(credits, redTeam), 20U);
}

RC_GTEST_PROP(Shares, StewardChangesOnlyWhenItLeaves, ())
{
    const auto count = *rc::gen::inRange(2, 12);
    const auto gone = *rc::gen::inRange(0, 12) % count;
    auto all = std::set<MemberName>();
    auto left = std::set<MemberName>();
    for (auto i = 0; i < count; ++i) {
        all.insert(member(i).member);
        if (i != gone)
            left.insert(member(i).member);
    }
    const auto pool = PoolName(*rc::gen::arbitrary<std::string>());
    const auto before = stewardOf(pool, all);
    if (before != member(gone).member)
        RC_ASSERT(stewardOf(pool, left) == before);
}

/// ShareLedgers of several members on a simulated bus, from which members can be disconnected.
class Ledgers
{
public:
    explicit Ledgers(int count)
    {
        auto members = ShareMembers();
        for (auto i = 0; i < count; ++i)
            members.members.insert(member(i));
        for (auto i = 0; i < count; ++i) {
            m_ledgers.emplace_back(member(i));
            perform(i, members);
            perform(i, PoolsDeclared{{{mainPool, parameters(40)}}});
        }
        m_loads.resize(m_ledgers.size());
    }

    auto load(int index, std::vector<TeamDemand> teams) -> void
    {
        m_loads[static_cast<std::size_t>(index)] = std::move(teams);
    }

    auto cut(int index) -> void { m_cut.insert(member(index).member); }

    auto run(Duration time) -> void
    {
        for (const auto end = m_now + time; m_now < end;) {
            m_now += 100ms;
            for (auto i = 0; i < count(); ++i) {
                for (auto j = 0; j < count(); ++j) {
                    if (i != j && isJoined(i, member(j).member))
                        perform(i, PeerMessageReceived{member(j)});
                }
                perform(i, ShareLoads{{{mainPool, m_loads[static_cast<std::size_t>(i)]}}});
                perform(i, ShareRound());
            }
        }
    }

    [[nodiscard]] auto slots(int index, const TeamName &team) const -> std::uint32_t
    {
        const auto it = m_slots.find(member(index).member);
        return it == m_slots.end() || !it->second.contains(team) ? 0 : it->second.at(team);
    }

    [[nodiscard]] auto steward(int index) const -> int
    {
        const auto name = m_ledgers[static_cast<std::size_t>(index)].steward(mainPool);
        for (auto i = 0; i < count(); ++i) {
            if (name == member(i).member)
                return i;
        }
        return -1;
    }

private:
    [[nodiscard]] auto count() const -> int { return static_cast<int>(m_ledgers.size()); }

    [[nodiscard]] auto isJoined(int index, const MemberName &name) const -> bool
    {
        return !m_cut.contains(member(index).member) && !m_cut.contains(name);
    }

    auto perform(int index, const ShareEvent &event) -> void
    {
        auto &ledger = m_ledgers[static_cast<std::size_t>(index)];
        for (const auto &action : ledger.step(event, m_now)) {
            if (const auto *it = std::get_if<SetCredits>(&action))
                m_slots[member(index).member] = it->slots;
            if (const auto *it = std::get_if<SendDemand>(&action)) {
                if (isJoined(index, it->to))
                    perform(indexOf(it->to), DemandReported{member(index), it->report});
            }
            if (const auto *it = std::get_if<SendGrant>(&action)) {
                if (isJoined(index, it->to))
                    perform(indexOf(it->to), CreditGranted{member(index), it->grant});
            }
        }
    }

    [[nodiscard]] auto indexOf(const MemberName &name) const -> int
    {
        auto index = 0;
        while (member(index).member != name)
            ++index;
        return index;
    }

    BootTime m_now{1h};
    std::vector<ShareLedger> m_ledgers;
    std::vector<std::vector<TeamDemand>> m_loads;
    std::map<MemberName, TeamSlots> m_slots;
    std::set<MemberName> m_cut;
};

TEST(Shares, GoToMemberWithQueuedWork)
{
    auto ledgers = Ledgers(4);
    ledgers.load(2, {{redTeam, 500, 0}, {blueTeam, 500, 0}});
    ledgers.run(1s);
    EXPECT_GE(ledgers.slots(2, redTeam) + ledgers.slots(2, blueTeam), 39U);
}

TEST(Shares, DisconnectedMemberFallsBackToEvenPart)
{
    auto ledgers = Ledgers(4);
    ledgers.load(2, {{redTeam, 500, 0}, {blueTeam, 500, 0}});
    ledgers.run(1s);
    ledgers.cut(2);
    ledgers.run(3s);
    EXPECT_EQ(ledgers.slots(2, redTeam) + ledgers.slots(2, blueTeam), 10U);
}

TEST(Shares, AnotherStewardTakesOverWithinTwoSeconds)
{
    auto ledgers = Ledgers(4);
    ledgers.run(1s);
    const auto first = ledgers.steward(0);
    const auto other = (first + 1) % 4;
    ledgers.load(other, {{redTeam, 500, 0}});
    ledgers.run(1s);
    ledgers.cut(first);
    ledgers.run(2s);
    EXPECT_NE(ledgers.steward(other), first);
    // All slots but the even part of the disconnected member.
    EXPECT_EQ(ledgers.slots(other, redTeam), 30U);
}

} // namespace

} // namespace shallotproxy
