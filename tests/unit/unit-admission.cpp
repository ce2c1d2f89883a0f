#include <algorithm>
#include <functional>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "shallotproxy/demand.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;
using Kind = PoolBacklog::Kind;

const auto testPool = PoolName("pool");
const auto startTime = BootTime(1h);
constexpr auto OneTask = Resources{1'000, 1'000, 0};

auto requestOf(const TeamName &team, Duration chain) -> AdmissionRequest
{
    auto request = AdmissionRequest();
    request.pool = testPool;
    request.team = team;
    request.chain = chain;
    request.deadline = chain + 1s;
    request.usefulTime = 3 * request.deadline;
    return request;
}

auto outlookOf(std::int64_t entitledMilliseconds, std::int64_t surplusMilliseconds,
               std::vector<TeamName> exhausted = {}) -> AdmissionOutlook
{
    auto outlook = AdmissionOutlook();
    outlook.pools[testPool] = {
        {0, entitledMilliseconds, entitledMilliseconds, surplusMilliseconds}};
    outlook.exhaustedTeams = std::move(exhausted);
    return outlook;
}

// A team that sends eight times its rate for 6 s has its rate admitted, and a second of it at once.
TEST(TeamEntitlement, AdmitsTheRateOfAHotTeam)
{
    constexpr auto Rate = 5;
    const auto hot = TeamName("hot");
    auto entitlement = TeamEntitlement();
    auto admitted = 0;
    for (auto n = 0; n < 8 * Rate * 6; ++n)
        admitted += entitlement.admit(hot, Rate, startTime + n * 25ms) ? 1 : 0;
    EXPECT_GE(admitted, Rate * 6);
    EXPECT_LE(admitted, Rate * 7);
    EXPECT_TRUE(entitlement.exhaustedTeams(startTime + 5'990ms) == std::vector{hot});
    EXPECT_TRUE(entitlement.exhaustedTeams(startTime + 8s).empty());
}

TEST(TeamEntitlement, AdmitsOneJobOfAnySmallRate)
{
    const auto small = TeamName("small");
    auto entitlement = TeamEntitlement();
    EXPECT_TRUE(entitlement.admit(small, 0.1, startTime));
    EXPECT_FALSE(entitlement.admit(small, 0.1, startTime + 5s));
    EXPECT_TRUE(entitlement.admit(small, 0.1, startTime + 10s));
    EXPECT_TRUE(entitlement.admit(TeamName("unlimited"), 0, startTime));
    EXPECT_TRUE(entitlement.admit(TeamName("unlimited"), 0, startTime));
}

TEST(PoolBacklog, DelaysWorkByWhatComesBeforeIt)
{
    auto backlog = PoolBacklog(Resources{10'000, 100'000, 0});
    backlog.add(0, Kind::Entitled, OneTask, 20, 1s);
    backlog.add(0, Kind::Late, OneTask, 30, 1s);
    backlog.add(1, Kind::Entitled, OneTask, 40, 1s);
    backlog.add(0, Kind::Surplus, OneTask, 100, 1s);
    const auto expected =
        std::vector<PoolWait>{{0, 2'000, 5'000, 19'000}, {1, 9'000, 9'000, 19'000}};
    EXPECT_EQ(waitsIn(backlog), expected);
}

TEST(PoolBacklog, CountsTheScarcestResource)
{
    auto backlog = PoolBacklog(Resources{10'000, 10'000, 0});
    backlog.add(0, Kind::Entitled, Resources{100, 5'000, 0}, 4, 1s);
    EXPECT_EQ(waitsIn(backlog), (std::vector<PoolWait>{{0, 2'000, 2'000, 2'000}}));
}

// Nobody knows when a pool without any host will have room.
TEST(PoolBacklog, TellsNoWaitWithoutRoom)
{
    auto backlog = PoolBacklog(Resources());
    backlog.add(0, Kind::Entitled, OneTask, 4, 1s);
    EXPECT_TRUE(waitsIn(backlog).empty());
}

TEST(AdmissionGate, AcceptsAllWithoutABacklogOrNewsOfIt)
{
    auto gate = AdmissionGate();
    const auto request = requestOf(TeamName("team"), 1s);
    EXPECT_FALSE(gate.decide(request, startTime));
    gate.outlookReceived(outlookOf(60'000, 60'000), startTime);
    EXPECT_TRUE(gate.decide(request, startTime));
    EXPECT_FALSE(gate.decide(request, startTime + AdmissionGate::MaxAge + 1ms));
    gate.outlookReceived(outlookOf(60'000, 60'000), startTime + 10s);
    gate.outlookRemoved();
    EXPECT_FALSE(gate.decide(request, startTime + 10s));
}

TEST(AdmissionGate, RefusesATeamAboveItsRateFirst)
{
    const auto hot = TeamName("hot");
    auto gate = AdmissionGate();
    gate.outlookReceived(outlookOf(0, 2'000, {hot}), startTime);
    const auto refusal = gate.decide(requestOf(hot, 1s), startTime);
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->reason, AdmissionRefusalReason::TeamAboveRate);
    EXPECT_EQ(refusal->retryAfter, 1s);
    EXPECT_FALSE(gate.decide(requestOf(TeamName("calm"), 1s), startTime));
}

// Late results are still of use: only what can't be is refused.
TEST(AdmissionGate, RefusesWhatWouldBeOfNoUseWhenDone)
{
    auto gate = AdmissionGate();
    const auto request = requestOf(TeamName("team"), 1s); // of use for 6 s
    gate.outlookReceived(outlookOf(4'900, 4'900), startTime);
    EXPECT_FALSE(gate.decide(request, startTime));
    gate.outlookReceived(outlookOf(8'000, 8'000), startTime);
    const auto refusal = gate.decide(request, startTime);
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->reason, AdmissionRefusalReason::NoRoomInTime);
    EXPECT_EQ(refusal->retryAfter, 3s);
    EXPECT_FALSE(gate.decide(request, startTime + 3s)); // the news is too old by then
}

TEST(AdmissionGate, AcceptsWhereNothingWaitsWhateverTheDeadline)
{
    auto request = requestOf(TeamName("team"), 5s);
    request.deadline = 1s;
    request.usefulTime = 3s;
    auto gate = AdmissionGate();
    gate.outlookReceived(outlookOf(0, 2'000), startTime);
    EXPECT_FALSE(gate.decide(request, startTime));
    gate.outlookReceived(outlookOf(500, 500), startTime);
    EXPECT_TRUE(gate.decide(request, startTime));
    EXPECT_FALSE(gate.decide(request, startTime + 500ms));
}

TEST(AdmissionGate, IgnoresTheBacklogOfLaterPriorities)
{
    auto outlook = AdmissionOutlook();
    outlook.pools[testPool] = {{1, 60'000, 60'000, 60'000}};
    auto gate = AdmissionGate();
    gate.outlookReceived(outlook, startTime);
    auto request = requestOf(TeamName("team"), 1s);
    EXPECT_FALSE(gate.decide(request, startTime));
    request.priority = 2;
    EXPECT_TRUE(gate.decide(request, startTime));
}

// A later priority has no backlog yet, but comes after the late work of the earlier one.
TEST(AdmissionGate, CountsLateWorkOfEarlierPriorities)
{
    auto outlook = AdmissionOutlook();
    outlook.pools[testPool] = {{0, 0, 60'000, 60'000}};
    auto gate = AdmissionGate();
    gate.outlookReceived(outlook, startTime);
    auto request = requestOf(TeamName("team"), 1s);
    EXPECT_FALSE(gate.decide(request, startTime));
    request.priority = 1;
    EXPECT_TRUE(gate.decide(request, startTime));
}

// A herd that was refused doesn't return at once, and those refused first return first.
TEST(AdmissionGate, SpreadsReturnsInTheOrderOfTheRefusals)
{
    auto gate = AdmissionGate();
    gate.outlookReceived(outlookOf(9'000, 9'000), startTime);
    auto returns = std::vector<std::chrono::seconds>();
    for (auto n = 0; n < 40; ++n) {
        const auto refusal = gate.decide(requestOf(TeamName("team"), 1s), startTime + n * 1ms);
        ASSERT_TRUE(refusal);
        returns.push_back(refusal->retryAfter);
    }
    EXPECT_TRUE(std::ranges::is_sorted(returns));
    EXPECT_GE(returns.back(), returns.front() + 3s);
    EXPECT_LE(returns.back(), AdmissionGate::MaxRetryAfter);
}

RC_GTEST_PROP(AdmissionOutlook, SurvivesItsEncoding, ())
{
    auto outlook = AdmissionOutlook();
    const auto count = *rc::gen::inRange(0, 5);
    for (auto n = 0; n < count; ++n) {
        const auto waits =
            std::vector<PoolWait>{{static_cast<std::uint32_t>(n), *rc::gen::inRange(0, 100'000),
                                   *rc::gen::inRange(0, 100'000)}};
        outlook.pools[PoolName(std::to_string(n))] = waits;
        outlook.exhaustedTeams.emplace_back(std::to_string(n));
    }
    RC_ASSERT(decodeOutlook(encodeOutlook(outlook)) == outlook);
    RC_ASSERT(!decodeOutlook("no outlook"));
}

TEST(OutlookPublisher, PublishesABacklogOftenEnoughAndNothingWithoutOne)
{
    auto publisher = OutlookPublisher();
    for (auto now = startTime; now < startTime + 10s; now += 100ms)
        EXPECT_FALSE(publisher.step({}, 8, now));
    auto count = 0;
    for (auto n = 0; n < 100; ++n)
        count += publisher.step(outlookOf(n, n), 8, startTime + n * 100ms) ? 1 : 0;
    EXPECT_LE(count, 10s / OutlookPublisher::MinInterval);
    EXPECT_GE(count, 10s / AdmissionGate::MaxAge * 2);
    EXPECT_TRUE(publisher.step({}, 8, startTime + 11s));
    EXPECT_FALSE(publisher.step({}, 8, startTime + 12s));
}

// Each publication is a read for each member: a peak must not use up the store's reads, and members
// must not forget the backlog in between.
TEST(OutlookPublisher, LeavesTheStoreToOthersWithHundredsOfMembers)
{
    constexpr auto Members = 300;
    auto publisher = OutlookPublisher();
    auto count = 0;
    for (auto n = 0; n < 100; ++n)
        count += publisher.step(outlookOf(n, n), Members, startTime + n * 100ms) ? 1 : 0;
    EXPECT_LE(count * Members / 10, 500);
    EXPECT_GE(count, 10s / AdmissionGate::MaxAge * 2);
    EXPECT_LT(2 * OutlookPublisher::minInterval(100'000), AdmissionGate::MaxAge);
}

/// One pool of 100 cores that serves a burst of 30 s at several times of what it holds; the backlog
/// is published as a steward does.
class Burst
{
public:
    explicit Burst(double load)
        : m_load(load)
    { }

    /// Returns how many jobs start so that they end in time, while the burst lasts.
    auto goodput() -> int
    {
        for (auto now = startTime; now < startTime + 30s; now += Tick) {
            arrive(now);
            serve(now);
            publish(now);
        }
        return m_inTime;
    }

    [[nodiscard]] auto refused() const -> int { return m_refused; }

private:
    struct Waiting
    {
        BootTime deadline;
    };
    static constexpr auto Tick = 10ms;
    static constexpr auto RunTime = 1s;
    static constexpr auto JobsPerTick = 1.0; // that the pool can serve

    auto arrive(BootTime now) -> void
    {
        for (m_arriving += m_load * JobsPerTick; m_arriving >= 1; --m_arriving) {
            const auto request = requestOf(TeamName("team"), RunTime);
            if (m_gate.decide(request, now)) {
                ++m_refused;
            } else {
                m_waiting.push_back({now + request.deadline});
            }
        }
    }

    auto serve(BootTime now) -> void
    {
        const auto late = [now](const Waiting &it) { return now + RunTime > it.deadline; };
        // Those that are late come last, as in WaitingSteps.
        std::stable_partition(m_waiting.begin(), m_waiting.end(), std::not_fn(late));
        for (m_served += JobsPerTick; m_served >= 1; --m_served) {
            if (m_waiting.empty())
                continue;
            m_inTime += late(m_waiting.front()) ? 0 : 1;
            m_waiting.erase(m_waiting.begin());
        }
    }

    auto publish(BootTime now) -> void
    {
        auto backlog = PoolBacklog(Resources{100'000, 100'000, 0});
        const auto inTime = std::ranges::count_if(
            m_waiting, [now](const Waiting &it) { return now + RunTime <= it.deadline; });
        const auto late = std::ssize(m_waiting) - inTime;
        backlog.add(0, Kind::Entitled, OneTask, inTime, RunTime);
        backlog.add(0, Kind::Late, OneTask, late, RunTime);
        auto outlook = AdmissionOutlook();
        if (auto waits = waitsIn(backlog); !waits.empty())
            outlook.pools[testPool] = std::move(waits);
        if (m_publisher.step(outlook, 8, now))
            m_gate.outlookReceived(outlook, now);
    }

    double m_load;
    double m_arriving = 0;
    double m_served = 0;
    AdmissionGate m_gate;
    OutlookPublisher m_publisher;
    std::vector<Waiting> m_waiting;
    int m_inTime = 0;
    int m_refused = 0;
};

TEST(AdmissionGate, KeepsTheGoodputOfABurstFlat)
{
    auto half = Burst(0.5);
    half.goodput();
    EXPECT_EQ(half.refused(), 0);
    const auto atOnce = Burst(1.5).goodput();
    EXPECT_GE(Burst(3).goodput(), atOnce);
    EXPECT_GE(Burst(8).goodput(), atOnce);
}

} // namespace

} // namespace shallotproxy
