#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "../process/timeline_checker.hpp"
#include "shallotproxy/process.hpp"

namespace shallotproxy::test {

namespace {

using namespace std::chrono_literals;

using Attributes = std::vector<TimelineAttribute>;

constexpr std::int64_t Millisecond = 1'000'000; // ns
constexpr std::uint32_t Limit = 3;

/// Writes journal lines in the format of the members.
class JournalWriter
{
public:
    auto at(std::int64_t milliseconds) -> JournalWriter &
    {
        m_now = milliseconds;
        return *this;
    }

    auto by(int member, std::uint64_t incarnation = 1) -> JournalWriter &
    {
        m_source = {MemberName(fmt::format("entry-{}", member)), incarnation};
        return *this;
    }

    auto record(std::string kind, std::string subject, std::uint64_t version,
                Attributes attributes = {}) -> JournalWriter &
    {
        auto event = TimelineEvent();
        event.source = m_source;
        event.sequence = ++m_sequences[m_source];
        event.bootNanoseconds = m_now * Millisecond;
        event.kind = std::move(kind);
        event.subject = std::move(subject);
        event.version = version;
        event.attributes = std::move(attributes);
        m_lines.push_back(timelineJson(event));
        return *this;
    }

    auto arrive(const std::string &id, std::uint64_t version = 1) -> JournalWriter &
    {
        return record("request.arrive", id, version, {{"queue", "orders"}, {"team", "red"}});
    }

    auto start(const std::string &id, std::uint64_t version = 1, Attributes more = {})
        -> JournalWriter &
    {
        auto attributes = Attributes{
            {"host", "target-1"}, {"dataCentre", "north"}, {"pool", "main"}, {"team", "red"}};
        attributes.insert(attributes.end(), more.begin(), more.end());
        return record("request.start", id, version, attributes);
    }

    auto end(const std::string &id, const std::string &outcome = "answered") -> JournalWriter &
    {
        return record("request.end", id, 1, {{"outcome", outcome}, {"team", "red"}});
    }

    [[nodiscard]] auto lines() const -> const std::vector<std::string> & { return m_lines; }

private:
    std::int64_t m_now = 0;
    Incarnation m_source = {MemberName("entry-0"), 1};
    std::map<Incarnation, std::uint64_t> m_sequences;
    std::vector<std::string> m_lines;
};

auto rules() -> TimelineRules
{
    auto result = TimelineRules();
    result.limits["red"] = Limit;
    result.deadlines["orders"] = 8s;
    return result;
}

auto violatedGuarantees(const JournalWriter &journal) -> std::vector<Guarantee>
{
    auto guarantees = std::vector<Guarantee>();
    for (const auto &it : checkTimeline(journal.lines(), rules()))
        guarantees.push_back(it.guarantee);
    return guarantees;
}

auto isViolated(const JournalWriter &journal, Guarantee guarantee) -> bool
{
    return std::ranges::count(violatedGuarantees(journal), guarantee) > 0;
}

auto intentAttributes(const std::string &what, const std::string &name, const std::string &state)
    -> Attributes
{
    return {{"version", "2"}, {"what", what}, {"name", name}, {"state", state}};
}

/// Returns a journal without violations: requests one after another, spread over the members.
auto validTraffic(int requests, int members) -> JournalWriter
{
    auto journal = JournalWriter();
    for (auto i = 0; i < requests; ++i) {
        const auto id = fmt::format("{}", i);
        journal.at(std::int64_t{10} * i).by(i % members).arrive(id).start(id);
        journal.at(std::int64_t{10} * i + 9).end(id);
    }
    for (auto i = 0; i < std::min(requests, members); ++i) {
        journal.at(std::int64_t{10} * requests)
            .by(i)
            .record("member.stop", fmt::format("entry-{}", i), 1);
    }
    return journal;
}

RC_GTEST_PROP(TimelineChecker, FindsNothingInTrafficThatHonoursEveryGuarantee, ())
{
    const auto requests = *rc::gen::inRange(0, 40);
    const auto members = *rc::gen::inRange(1, 5);
    RC_ASSERT(violatedGuarantees(validTraffic(requests, members)).empty());
}

RC_GTEST_PROP(TimelineChecker, ReportsTheSameForAnyOrderOfLines, ())
{
    auto lines = validTraffic(10, 3).start("3").lines();
    const auto expected = checkTimeline(lines, rules());
    for (auto i = lines.size(); i > 1; --i)
        std::swap(lines[i - 1], lines[*rc::gen::inRange<std::size_t>(0, i)]);
    RC_ASSERT(checkTimeline(lines, rules()) == expected);
}

RC_GTEST_PROP(TimelineChecker, FindsARequestThatStartsTwice, ())
{
    const auto requests = *rc::gen::inRange(1, 20);
    const auto id = fmt::format("{}", *rc::gen::inRange(0, requests));
    auto journal = validTraffic(requests, 2);
    journal.by(7).start(id);
    RC_ASSERT(isViolated(journal, Guarantee::AtMostOnce));
}

RC_GTEST_PROP(TimelineChecker, FindsALostOrRepeatedLine, ())
{
    auto lines = validTraffic(*rc::gen::inRange(2, 20), 2).lines();
    const auto at = *rc::gen::inRange<std::size_t>(0, lines.size() - 2);
    if (*rc::gen::arbitrary<bool>()) {
        lines.push_back(lines[at]);
    } else {
        lines.erase(lines.begin() + static_cast<std::ptrdiff_t>(at));
    }
    RC_ASSERT(!checkTimeline(lines, rules()).empty());
}

RC_GTEST_PROP(TimelineChecker, FindsMoreRunningThanTheLimitAcrossMembers, ())
{
    const auto running = *rc::gen::inRange(1U, 2 * Limit + 1);
    auto journal = JournalWriter();
    for (auto i = 0U; i < running; ++i) {
        const auto id = fmt::format("{}", i);
        journal.at(i).by(static_cast<int>(i % 3)).arrive(id).start(id);
    }
    RC_ASSERT(isViolated(journal, Guarantee::TeamLimit) == (running > Limit));
}

RC_GTEST_PROP(TimelineChecker, CountsTheRunsOfAKilledMemberUntilTheirDeadline, ())
{
    const auto nextStart = *rc::gen::inRange(0, 16'000);
    auto journal = JournalWriter();
    for (auto i = 0U; i < Limit; ++i)
        journal.arrive(fmt::format("dead-{}", i)).start(fmt::format("dead-{}", i));
    journal.at(nextStart).by(1).arrive("next").start("next");
    RC_ASSERT(isViolated(journal, Guarantee::TeamLimit) == (nextStart < 8'000));
}

RC_GTEST_PROP(TimelineChecker, FindsAStartInADataCentreThatIsOut, ())
{
    const auto startsAt = *rc::gen::inRange(0, 12'000);
    const auto returnsAt = *rc::gen::inRange(5'000, 12'000);
    auto journal = JournalWriter();
    journal.record("intent.applied", "a", 2, intentAttributes("data-centre", "north", "out"));
    journal.at(returnsAt).record("intent.confirm", "b", 2,
                                 intentAttributes("data-centre", "north", "in"));
    journal.at(startsAt).by(1).arrive("1", 2).start("1", 2).end("1");
    RC_ASSERT(isViolated(journal, Guarantee::DataCentreOut)
              == (startsAt >= 5'000 && startsAt < returnsAt));
}

TEST(TimelineChecker, FindsAStartOnALeavingTarget)
{
    auto journal = JournalWriter();
    journal.record("intent.applied", "a", 2, intentAttributes("host", "target-1", "leaving"));
    journal.at(4'999).arrive("1", 2).start("1", 2).end("1");
    EXPECT_FALSE(isViolated(journal, Guarantee::LeavingTarget));
    journal.at(5'000).arrive("2", 2).start("2", 2).end("2");
    EXPECT_TRUE(isViolated(journal, Guarantee::LeavingTarget));
}

TEST(TimelineChecker, FindsAStartForATeamWithoutKeys)
{
    auto journal = JournalWriter();
    journal.record("intent.applied", "a", 2, intentAttributes("keys", "red", "out"));
    journal.at(5'001).arrive("1", 2).start("1", 2).end("1");
    EXPECT_TRUE(isViolated(journal, Guarantee::WithdrawnKey));
}

TEST(TimelineChecker, FindsAnOldVersionInUseAfterANewerWasApplied)
{
    auto journal = JournalWriter();
    journal.record("intent.applied", "a", 2, {{"version", "2"}});
    journal.at(6'000).by(1).arrive("1", 1).start("1", 1).end("1");
    EXPECT_TRUE(isViolated(journal, Guarantee::VersionInForce));
}

TEST(TimelineChecker, FindsAVersionThatDecreasesEvenAcrossARestart)
{
    auto journal = JournalWriter();
    journal.by(0, 1).record("configuration.hold", "control", 4);
    journal.at(1).record("configuration.hold", "control", 3);
    EXPECT_TRUE(isViolated(journal, Guarantee::NeverReverts));
    auto restarted = JournalWriter();
    restarted.by(0, 1).record("configuration.serve", "front", 4);
    restarted.at(1).by(0, 2).record("configuration.serve", "front", 3);
    EXPECT_TRUE(isViolated(restarted, Guarantee::NeverReverts));
}

TEST(TimelineChecker, FindsARequestReportedAsNotRunThatRan)
{
    auto journal = JournalWriter();
    journal.arrive("1").start("1").end("1", "not-run");
    EXPECT_TRUE(isViolated(journal, Guarantee::NotRunNeverRan));
    auto dropped = JournalWriter();
    dropped.arrive("1").start("1").record("request.drop", "1", 1);
    EXPECT_TRUE(isViolated(dropped, Guarantee::NotRunNeverRan));
}

TEST(TimelineChecker, AllowsNotRunAndAnotherStartAfterAStartThatWasNotSent)
{
    auto journal = JournalWriter();
    journal.arrive("1").start("1").record("request.not-sent", "1", 1);
    journal.at(1).start("1").record("request.not-sent", "1", 1).end("1", "not-run");
    journal.at(2).arrive("2").start("2").record("request.not-sent", "2", 1);
    journal.at(3).start("2").end("2");
    EXPECT_TRUE(violatedGuarantees(journal).empty());
}

TEST(TimelineChecker, AllowsAnotherStartAfterAFailureOnlyOnIdempotentQueues)
{
    auto journal = JournalWriter();
    journal.arrive("1").start("1").record("request.fail", "1", 1).start("1").end("1");
    EXPECT_TRUE(isViolated(journal, Guarantee::AtMostOnce));
    auto idempotent = rules();
    idempotent.idempotentQueues.insert("orders");
    EXPECT_TRUE(checkTimeline(journal.lines(), idempotent).empty());
    journal.start("1");
    EXPECT_FALSE(checkTimeline(journal.lines(), idempotent).empty());
}

TEST(TimelineChecker, FindsATaskThatStartsInADataCentreThatIsOut)
{
    auto journal = JournalWriter();
    journal.record("intent.applied", "a", 2, intentAttributes("data-centre", "north", "out"));
    journal.at(5'000).by(1).record(
        "task.start", "1", 2, {{"host", "worker-1"}, {"dataCentre", "north"}, {"pool", "main"}});
    EXPECT_TRUE(isViolated(journal, Guarantee::DataCentreOut));
}

TEST(TimelineChecker, AllowsAnAnswerWithoutAStartIfItIsReplayed)
{
    auto journal = JournalWriter();
    journal.arrive("1").record("request.end", "1", 1,
                               {{"outcome", "answered"}, {"replayed", "true"}});
    EXPECT_TRUE(violatedGuarantees(journal).empty());
}

TEST(TimelineChecker, FindsTwoAnswersAndAnAnswerWithoutAStart)
{
    auto journal = JournalWriter();
    journal.arrive("1").start("1").end("1").end("1");
    EXPECT_TRUE(isViolated(journal, Guarantee::OneAnswer));
    auto early = JournalWriter();
    early.arrive("1").end("1");
    EXPECT_TRUE(isViolated(early, Guarantee::OneAnswer));
}

TEST(TimelineChecker, FindsARequestInterruptedByAGracefulShutdown)
{
    auto journal = JournalWriter();
    journal.arrive("1").start("1");
    EXPECT_TRUE(violatedGuarantees(journal).empty()); // a killed member may leave requests open
    journal.record("member.stop", "entry-0", 1);
    EXPECT_TRUE(isViolated(journal, Guarantee::GracefulShutdown));
}

TEST(TimelineChecker, FindsAHostInTwoPoolsAtOneVersion)
{
    auto journal = JournalWriter();
    journal.arrive("1").start("1").end("1");
    journal.by(1).arrive("2").record(
        "request.start", "2", 1,
        {{"host", "target-1"}, {"dataCentre", "north"}, {"pool", "spare"}, {"team", "red"}});
    EXPECT_TRUE(isViolated(journal, Guarantee::OnePool));
}

} // namespace

} // namespace shallotproxy::test
