#include <algorithm>
#include <map>
#include <memory>

#include <gtest/gtest.h>

#include <QElapsedTimer>
#include <QJsonDocument>
#include <QJsonObject>
#include <QTimer>

#include "fleet.hpp"

namespace shallotproxy::test {

namespace {

using namespace Qt::StringLiterals;

constexpr auto RedLimit = 16; // limit of `red` in the fleet's default declarations
constexpr auto WorkMilliseconds = 150;

/// Keeps one request per caller open at the members, all with the same key.
class ClosedLoad
{
public:
    ClosedLoad(Fleet &fleet, std::string key)
        : m_fleet(fleet)
        , m_key(std::move(key))
    { }

    auto addCaller(int member) -> void
    {
        auto caller = std::make_shared<Caller>();
        caller->member = member;
        m_callers.push_back(caller);
        send(caller);
    }

    auto stop() -> void { m_isStopped = true; }
    [[nodiscard]] auto answered(int member) const -> int
    {
        const auto it = m_answered.find(member);
        return it == m_answered.end() ? 0 : it->second;
    }

private:
    struct Caller
    {
        int member = 0;
        std::unique_ptr<TargetConnection> connection;
    };

    auto send(const std::shared_ptr<Caller> &caller) -> void
    {
        if (m_isStopped)
            return;
        constexpr auto TimeoutMilliseconds = 3'000;
        caller->connection = std::make_unique<TargetConnection>(
            m_fleet.callersEndpoint(caller->member), HttpBounds());
        const auto request = Fleet::queueRequest("orders", m_key, WorkMilliseconds, "pane");
        caller->connection->send(request, TimeoutMilliseconds, [this, caller](TargetReply reply) {
            constexpr auto RetryMilliseconds = 50;
            const auto isAnswered = reply && reply->header("Shallotproxy-Outcome") == "answered";
            m_answered[caller->member] += isAnswered ? 1 : 0;
            QTimer::singleShot(isAnswered ? 0 : RetryMilliseconds, &m_context,
                               [this, caller] { send(caller); });
        });
    }

    Fleet &m_fleet;
    std::string m_key;
    QObject m_context;
    bool m_isStopped = false;
    std::vector<std::shared_ptr<Caller>> m_callers;
    std::map<int, int> m_answered;
};

/// Samples how many requests the targets run at once.
class RunningSampler
{
public:
    explicit RunningSampler(Fleet &fleet)
        : m_fleet(fleet)
    { }

    /// Runs the event loop and returns the maximum that was seen running during this time.
    auto sample(int milliseconds) -> std::int64_t
    {
        auto maxRunning = std::int64_t{0};
        auto timer = QElapsedTimer();
        timer.start();
        while (timer.elapsed() < milliseconds) {
            maxRunning = std::max(maxRunning, m_fleet.targetCount("running"));
            waitUntil([] { return false; }, 1);
        }
        m_maxRunning = std::max(m_maxRunning, maxRunning);
        return maxRunning;
    }

    /// Returns the maximum over all calls of `sample`.
    [[nodiscard]] auto maxRunning() const -> std::int64_t { return m_maxRunning; }

private:
    Fleet &m_fleet;
    std::int64_t m_maxRunning = 0;
};

/// Returns the maximum number of requests that ran at once by the journals of all members,
/// including killed ones. A request runs from its start to its end, or for its work time if its
/// member was killed before the end.
auto maxRunningByJournal(const Fleet &fleet) -> int
{
    auto starts = std::map<QString, qint64>();
    auto ends = std::map<QString, qint64>();
    for (const auto &line : fleet.journal()) {
        const auto event = QJsonDocument::fromJson(QByteArray::fromStdString(line)).object();
        const auto kind = event.value("kind"_L1).toString();
        const auto at = event.value("bootNs"_L1).toInteger();
        if (kind == "request.start"_L1)
            starts[event.value("subject"_L1).toString()] = at;
        if (kind == "request.end"_L1)
            ends[event.value("subject"_L1).toString()] = at;
    }
    constexpr qint64 NanosecondsPerMillisecond = 1'000'000;
    auto changes = std::vector<std::pair<qint64, int>>();
    for (const auto &[request, start] : starts) {
        const auto end = ends.find(request);
        changes.emplace_back(start, 1);
        changes.emplace_back(
            end == ends.end() ? start + WorkMilliseconds * NanosecondsPerMillisecond : end->second,
            -1);
    }
    std::ranges::sort(changes);
    auto running = 0;
    auto maxRunning = 0;
    for (const auto &[at, change] : changes) {
        running += change;
        maxRunning = std::max(maxRunning, running);
    }
    return maxRunning;
}

TEST(ProcessLimits, HoldAcrossMembersWhileOneIsPausedAndOneKilled)
{
    auto fleet = Fleet({});
    const auto key = fleet.createKey("red");
    ASSERT_FALSE(key.empty());
    auto load = ClosedLoad(fleet, key);
    for (auto member = 0; member < 3; ++member) {
        for (auto i = 0; i < 10; ++i)
            load.addCaller(member);
    }
    auto sampler = RunningSampler(fleet);
    EXPECT_EQ(sampler.sample(3'000), RedLimit);
    fleet.pauseMember(1);
    sampler.sample(4'000);
    fleet.resumeMember(1);
    sampler.sample(1'000);
    fleet.killMember(2);
    sampler.sample(2'000);
    load.stop();
    EXPECT_LE(sampler.maxRunning(), RedLimit);
    EXPECT_LE(maxRunningByJournal(fleet), RedLimit);
}

TEST(ProcessLimits, AreFullyReassignedAfterAMemberIsKilled)
{
    auto fleet = Fleet({});
    const auto key = fleet.createKey("red");
    ASSERT_FALSE(key.empty());
    auto load = ClosedLoad(fleet, key);
    for (auto i = 0; i < 24; ++i)
        load.addCaller(i % 3);
    auto sampler = RunningSampler(fleet);
    EXPECT_EQ(sampler.sample(2'000), RedLimit);
    fleet.killMember(2);
    sampler.sample(1'000);
    EXPECT_LT(sampler.sample(1'000), RedLimit);
    // Covers the lease of the member, the waiting time with the queues' deadline of 8 s, and the
    // rounds in between.
    constexpr auto ReassignTimeoutMilliseconds = 45'000;
    EXPECT_TRUE(waitUntil([&fleet] { return fleet.targetCount("running") == RedLimit; },
                          ReassignTimeoutMilliseconds));
    load.stop();
    EXPECT_LE(maxRunningByJournal(fleet), RedLimit);
}

} // namespace

} // namespace shallotproxy::test
