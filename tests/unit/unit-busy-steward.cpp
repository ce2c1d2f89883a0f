#include <algorithm>

#include <gtest/gtest.h>

#include "single_worker.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using test::firstOf;
using test::SingleWorker;

const auto otherPool = PoolName("other");
const auto otherQueue = QueueName("other");

/// A steward with many workers that answer nothing but their first poll.
class SilentFleet
{
public:
    explicit SilentFleet(int workers, int otherWorkers = 0)
    {
        m_steward.step(steward_event::Ticked{1'000'000}, m_now);
        auto rules = *test::testRules(2);
        rules.pools[otherPool] = {};
        rules.queues[otherQueue] = {{2, 0, 1.6, 600}, otherPool};
        m_steward.step(steward_event::RulesChanged{std::make_shared<const SchedulingRules>(rules)},
                       m_now);
        for (auto n = 0; n < workers + otherWorkers; ++n) {
            auto report = test::workerReport(n);
            if (n >= workers)
                report.pool = otherPool;
            m_steward.step(steward_event::WorkerReported{report}, m_now);
            auto poll = steward_event::WorkerPolled();
            poll.worker = test::workerName(n);
            poll.sentAt = m_now;
            poll.clockMilliseconds = 1'000;
            m_steward.step(poll, m_now);
        }
        m_steward.expectWorkers({});
    }

    auto addJob(const std::string &id, const StepSpec &step) -> void
    {
        addJob(test::oneStepJob(id, step));
    }

    auto addJob(const JobSpec &job) -> void
    {
        m_steward.step(steward_event::JobAccepted{job, {}, false}, m_now);
    }

    /// Places the waiting tasks and returns the start orders.
    auto place() -> std::vector<steward_action::StartRun>
    {
        auto starts = std::vector<steward_action::StartRun>();
        for (const auto &it : m_steward.step(steward_event::PlacementDue(), m_now)) {
            if (const auto *start = std::get_if<steward_action::StartRun>(&it))
                starts.push_back(*start);
        }
        return starts;
    }

    auto answer(const steward_action::StartRun &start) -> void
    {
        m_steward.step(steward_event::StartAnswered{start.worker, start.task, start.run,
                                                    OrderOutcome::Accepted, 1'000},
                       m_now);
    }

    [[nodiscard]] auto isPlacementDue() const -> bool { return m_steward.isPlacementDue(); }

private:
    BootTime m_now{1h};
    Steward m_steward{7, StewardSettings(), m_now};
};

// A placement ordered thousands of starts at once: reading their answers took longer than the
// steward's lease, and cancellations waited behind them.
TEST(BusySteward, OrdersNoMoreStartsThanItReadsAnswers)
{
    const auto limit = StewardSettings().maxStartsInFlight;
    constexpr auto Workers = 400;
    auto fleet = SilentFleet(Workers);
    fleet.addJob("finite", test::shortStep(Workers * 8));
    auto starts = fleet.place();
    EXPECT_EQ(starts.size(), limit);
    EXPECT_TRUE(fleet.place().empty());
    constexpr auto Answered = std::size_t{50};
    std::ranges::for_each(std::span(starts).first(Answered),
                          [&fleet](const auto &it) { fleet.answer(it); });
    EXPECT_TRUE(fleet.isPlacementDue());
    EXPECT_EQ(fleet.place().size(), Answered);
}

// The pool that had all starts went first in each placement, and the other one had none.
TEST(BusySteward, SharesStartsAmongPools)
{
    constexpr auto Workers = 150;
    auto fleet = SilentFleet(Workers, Workers);
    fleet.addJob("first", test::shortStep(Workers * 8));
    auto other = test::oneStepJob("other", test::shortStep(Workers * 8));
    other.queue = otherQueue;
    fleet.addJob(other);
    auto count = std::map<std::string, std::size_t>();
    for (auto n = 0; n < 4; ++n) {
        for (const auto &it : fleet.place()) {
            ++count[it.task.job];
            fleet.answer(it);
        }
    }
    EXPECT_EQ(count["first"], 2 * StewardSettings().maxStartsInFlight);
    EXPECT_EQ(count["other"], 2 * StewardSettings().maxStartsInFlight);
}

// Long-running tasks wait for no answers of others.
TEST(BusySteward, StartsLongRunningTasksBeforeAnswersOfOthers)
{
    constexpr auto Workers = 400;
    auto fleet = SilentFleet(Workers);
    fleet.addJob("finite", test::shortStep(Workers * 4));
    fleet.place();
    constexpr auto Tasks = std::size_t{100};
    fleet.addJob("long", test::longRunningStep(Tasks));
    const auto starts = fleet.place();
    EXPECT_EQ(starts.size(), Tasks);
    for (const auto &it : starts)
        EXPECT_EQ(it.task.job, "long");
}

/// Returns the time from a poll's answer to the next poll, for a steward whose ticks come at this
/// interval.
auto pollIntervalAtTicksOf(Duration interval) -> Duration
{
    auto single = SingleWorker(test::longRunningStep(1));
    const auto run = single.startRun();
    for (auto n = 0; n < 10; ++n)
        single.tick(interval);
    single.poll({{single.task, run, "", 100, 0}}, {});
    const auto answeredAt = single.now;
    while (firstOf<steward_action::PollWorker>(single.tick(10ms)) == nullptr) { }
    return single.now - answeredAt;
}

// A steward that reads answers late polls less often, and still far more often than its workers
// count as unresponsive.
TEST(BusySteward, PollsLessOften)
{
    const auto settings = StewardSettings();
    const auto usual = pollIntervalAtTicksOf(settings.tickInterval);
    const auto late = pollIntervalAtTicksOf(settings.tickInterval + 400ms);
    EXPECT_LE(usual, settings.minPollInterval + 10ms);
    EXPECT_GE(late, 4 * settings.minPollInterval);
    EXPECT_LE(late, settings.responseTimeout / 3);
}

} // namespace

} // namespace shallotproxy
