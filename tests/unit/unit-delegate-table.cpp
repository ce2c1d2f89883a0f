#include <gtest/gtest.h>

#include "shallotproxy/member.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

const auto north = DataCentreName("north");
const auto south = DataCentreName("south");

/// A table with members that report as often as they should.
class Members
{
public:
    auto add(const std::string &name, double processorShare, const DataCentreName &dataCentre)
        -> void
    {
        m_members.push_back({MemberName(name), dataCentre, processorShare, 0});
        report();
    }

    auto remove(const std::string &name) -> void
    {
        std::erase_if(m_members, [&](const auto &it) { return it.delegate.value() == name; });
        table.step(delegate_event::Lost{MemberName(name)}, now);
    }

    auto setLoad(const std::string &name, double load) -> void
    {
        for (auto &it : m_members) {
            if (it.delegate.value() == name)
                it.load = load;
        }
        report();
    }

    /// Lets the steward have this load for a time.
    auto run(double stewardLoad, Duration time) -> void
    {
        for (const auto end = now + time; now < end; now += 100ms) {
            report();
            table.step(delegate_event::LoadMeasured{stewardLoad}, now);
        }
        report();
    }

    /// Returns the number of workers that each member calls; the steward's own have an empty name.
    [[nodiscard]] auto workersByMember(const DataCentreName &dataCentre) const
        -> std::map<MemberName, int>
    {
        auto counts = std::map<MemberName, int>();
        for (auto n = 0; n < Workers; ++n)
            ++counts[delegateOf(n, dataCentre)];
        return counts;
    }

    [[nodiscard]] auto delegateOf(int worker, const DataCentreName &dataCentre) const -> MemberName
    {
        const auto name = WorkerName("worker-" + std::to_string(worker));
        return table.delegateOf(name, dataCentre, now).value_or(MemberName());
    }

    static constexpr auto Workers = 400;
    DelegateTable table;
    BootTime now{1h};

private:
    auto report() -> void
    {
        for (const auto &it : m_members)
            table.step(it, now);
    }

    std::vector<delegate_event::Reported> m_members;
};

// The steward of a fleet used all of its processor time, and the other members hardly any.
TEST(DelegateTable, SpreadsCallsOnceTheStewardIsBusy)
{
    auto members = Members();
    members.add("a", 0.5, north);
    members.add("b", 0.5, north);
    members.run(0.1, 5s);
    EXPECT_EQ(members.workersByMember(north).at(MemberName()), Members::Workers);
    members.run(1.0, 1s);
    const auto counts = members.workersByMember(north);
    EXPECT_FALSE(counts.contains(MemberName()));
    EXPECT_GT(counts.at(MemberName("a")), Members::Workers / 3);
    EXPECT_GT(counts.at(MemberName("b")), Members::Workers / 3);
}

// The load falls as soon as calls are spread; taking them back at once would raise it again.
TEST(DelegateTable, GoesOnSpreadingWhileTheStewardIsUsed)
{
    auto members = Members();
    members.add("a", 0.5, north);
    members.run(1.0, 1s);
    members.run(0.1, 10min);
    EXPECT_TRUE(members.table.isSpreading());
    members.run(0.01, 1min);
    EXPECT_FALSE(members.table.isSpreading());
}

TEST(DelegateTable, PrefersTheWorkersDataCentre)
{
    auto members = Members();
    members.add("a", 0.5, north);
    members.add("b", 0.5, south);
    members.run(1.0, 1s);
    EXPECT_EQ(members.workersByMember(north).at(MemberName("a")), Members::Workers);
    EXPECT_EQ(members.workersByMember(south).at(MemberName("b")), Members::Workers);
    members.remove("b");
    EXPECT_EQ(members.workersByMember(south).at(MemberName("a")), Members::Workers);
}

// Small members would need most of their processor time for the calls.
TEST(DelegateTable, LeavesOutSmallAndOverloadedMembers)
{
    auto members = Members();
    members.add("small", 0.12, north);
    members.add("a", 0.5, north);
    members.add("b", 0.25, north);
    members.run(1.0, 1s);
    auto counts = members.workersByMember(north);
    EXPECT_FALSE(counts.contains(MemberName("small")));
    EXPECT_GT(counts.at(MemberName("a")), counts.at(MemberName("b")));
    members.setLoad("a", 0.9);
    EXPECT_EQ(members.workersByMember(north).at(MemberName("b")), Members::Workers);
    members.setLoad("a", 0.7);
    EXPECT_EQ(members.workersByMember(north).at(MemberName("b")), Members::Workers);
    members.setLoad("a", 0.3);
    EXPECT_TRUE(members.workersByMember(north).contains(MemberName("a")));
}

// The members that aren't needed report rarely; those that are next in turn must be known at once.
TEST(DelegateTable, KeepsReservesForLostMembers)
{
    auto members = Members();
    for (auto n = 100; n < 400; ++n)
        members.add(std::to_string(n), 0.5, north);
    const auto count = [](auto isOne) {
        auto result = std::size_t{0};
        for (auto n = 100; n < 400; ++n)
            result += isOne(MemberName(std::to_string(n))) ? 1U : 0U;
        return result;
    };
    const auto isSelected = [&](const auto &it) { return members.table.isSelected(it); };
    const auto isReserve = [&](const auto &it) { return members.table.isReserve(it); };
    EXPECT_EQ(count(isSelected), DelegateTable::MaxDelegates);
    EXPECT_EQ(count(isReserve), DelegateTable::MaxReserves);
    const auto isBoth = [&](const auto &it) { return isSelected(it) && isReserve(it); };
    EXPECT_EQ(count(isBoth), 0U);
    auto lost = std::vector<std::string>();
    for (auto n = 100; n < 400; ++n) {
        if (isSelected(MemberName(std::to_string(n))))
            lost.push_back(std::to_string(n));
    }
    for (const auto &it : lost)
        members.remove(it);
    EXPECT_EQ(count(isSelected), DelegateTable::MaxDelegates);
    EXPECT_EQ(count(isReserve), DelegateTable::MaxReserves);
}

TEST(DelegateTable, MovesOnlyTheWorkersOfALostMember)
{
    auto members = Members();
    for (const auto *it : {"a", "b", "c", "d"})
        members.add(it, 0.5, north);
    members.run(1.0, 1s);
    auto before = std::vector<MemberName>();
    for (auto n = 0; n < Members::Workers; ++n)
        before.push_back(members.delegateOf(n, north));
    members.remove("c");
    for (auto n = 0; n < Members::Workers; ++n) {
        const auto &earlier = before[static_cast<std::size_t>(n)];
        if (earlier == MemberName("c")) {
            EXPECT_NE(members.delegateOf(n, north), earlier);
        } else {
            EXPECT_EQ(members.delegateOf(n, north), earlier);
        }
    }
}

// A member was cut off or frozen: it has given no sign of that.
TEST(DelegateTable, GivesNoCallsToASilentMember)
{
    auto members = Members();
    members.add("a", 0.5, north);
    members.run(1.0, 1s);
    members.now += DelegateTable::ReportTimeout;
    EXPECT_EQ(members.workersByMember(north).at(MemberName()), Members::Workers);
}

// Only the path between the member and the worker may be cut.
TEST(DelegateTable, LetsTheStewardCallAWorkerThatAMemberCannotReach)
{
    auto members = Members();
    members.add("a", 0.5, north);
    members.run(1.0, 1s);
    members.table.step(delegate_event::WorkerUnanswered{WorkerName("worker-3")}, members.now);
    EXPECT_TRUE(members.delegateOf(3, north).isEmpty());
    EXPECT_EQ(members.delegateOf(4, north), MemberName("a"));
    members.run(1.0, 10s);
    EXPECT_EQ(members.delegateOf(3, north), MemberName("a"));
}

} // namespace

} // namespace shallotproxy
