#include <gtest/gtest.h>

#include "single_worker.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

const auto queue = QueueName("quotes");
const auto team = TeamName("blue");

/// A worker with room for one run at a time, which answers polls when a run ends.
class OneSlot
{
public:
    explicit OneSlot(const StewardSettings &settings = {})
        : single(test::shortStep(1), 2, settings)
    {
        single.steward.step(steward_event::JobCancelled{"job"}, single.now);
        single.startRun();
    }

    auto submit(const std::string &id, std::uint32_t tasks, std::int64_t statedMilliseconds)
        -> Steward::Actions
    {
        auto step = test::shortStep(tasks);
        step.resources = test::workerReport(0).capacity;
        step.estimatedMilliseconds = statedMilliseconds;
        return single.step(
            steward_event::JobAccepted{test::oneStepJob(id, std::move(step)), {}, false});
    }

    /// Confirms the start order among the actions, and ends its run after this time. Returns the
    /// actions that follow.
    auto finish(const Steward::Actions &actions, Duration time, RunEnd end = RunEnd::Done)
        -> Steward::Actions
    {
        const auto *start = test::firstOf<steward_action::StartRun>(actions);
        if (start == nullptr)
            return {};
        const auto order = *start;
        single.step(steward_event::StartAnswered{test::workerName(0), order.task, order.run,
                                                 OrderOutcome::Accepted, clock()});
        auto event = steward_event::WorkerPolled();
        event.worker = test::workerName(0);
        event.sentAt = single.now;
        single.now += time;
        event.clockMilliseconds = clock();
        event.startedMilliseconds = single.startedMilliseconds;
        event.ended = {{++m_ends, order.task, order.run, end, {}}};
        return single.step(event);
    }

    [[nodiscard]] auto forecast(Duration stated) const -> Duration
    {
        return single.steward.runTimes().forecast({queue, team, stated}).expected;
    }

    test::SingleWorker single;

private:
    [[nodiscard]] auto clock() const -> std::int64_t
    {
        const auto since = single.now - m_begin;
        return 5'000 + std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
    }

    BootTime m_begin = single.now;
    std::uint64_t m_ends = 0;
};

auto startedJob(const Steward::Actions &actions) -> std::string
{
    const auto *start = test::firstOf<steward_action::StartRun>(actions);
    return start == nullptr ? std::string() : start->task.job;
}

TEST(RunTimeLearning, PutsTheTasksOfAStepThatLastsLongerThanStatedBehindOthers)
{
    auto slot = OneSlot();
    const auto first = slot.submit("understated", 2, 200);
    slot.submit("honest", 1, 500);
    ASSERT_EQ(startedJob(first), "understated");
    EXPECT_EQ(startedJob(slot.finish(first, 650ms)), "honest");
}

TEST(RunTimeLearning, KeepsTheOrderIfRunsLastAsStated)
{
    auto slot = OneSlot();
    const auto first = slot.submit("short", 2, 200);
    slot.submit("long", 1, 500);
    EXPECT_EQ(startedJob(slot.finish(first, 200ms)), "short");
}

TEST(RunTimeLearning, LearnsFromRunsThatAreDone)
{
    auto slot = OneSlot();
    for (auto n = 0; n < 40; ++n)
        slot.finish(slot.submit("job-" + std::to_string(n), 1, 200), 600ms);
    EXPECT_NEAR(std::chrono::duration<double>(slot.forecast(200ms)).count(), 0.6, 0.1);
    EXPECT_EQ(slot.single.steward.takeRunTimeRatios().size(), 40U);
    EXPECT_TRUE(slot.single.steward.takeRunTimeRatios().empty());
}

TEST(RunTimeLearning, LearnsNothingShortFromRunsThatFailOrAreStopped)
{
    auto slot = OneSlot();
    for (auto n = 0; n < 40; ++n)
        slot.finish(slot.submit("job-" + std::to_string(n), 1, 200), 200ms);
    const auto before = slot.forecast(200ms);
    for (const auto end : {RunEnd::Failed, RunEnd::Stopped, RunEnd::LeaseExpired}) {
        slot.finish(slot.submit("ended-" + std::to_string(static_cast<int>(end)), 1, 200), 20ms,
                    end);
    }
    EXPECT_EQ(slot.forecast(200ms), before);
}

// The run was listed by a poll before its start was confirmed: it may have begun long before.
TEST(RunTimeLearning, LearnsNothingFromRunsThatBeganAtAnUnknownTime)
{
    auto single = test::SingleWorker(test::shortStep(1));
    const auto run = single.startRun();
    single.now += 350ms;
    single.clockMilliseconds += 350;
    single.poll({{single.task, run, {}, 100, 0}}, {});
    single.now += 50ms;
    single.clockMilliseconds += 50;
    single.poll({}, {{1, single.task, run, RunEnd::Done, {}}});
    EXPECT_EQ(single.steward.observedRuns(), 0U);
}

// The clock of a worker that restarted starts anew: the run would have taken less than no time.
TEST(RunTimeLearning, LearnsNothingFromRunsThatEndAfterARestart)
{
    auto single = test::SingleWorker(test::shortStep(1));
    const auto run = single.startRun();
    auto event = steward_event::WorkerPolled();
    event.worker = test::workerName(0);
    event.sentAt = single.now;
    single.now += 50ms;
    single.step(steward_event::StartAnswered{test::workerName(0), single.task, run,
                                             OrderOutcome::Accepted, single.clockMilliseconds});
    event.clockMilliseconds = 100;
    event.startedMilliseconds = 2;
    event.ended = {{1, single.task, run, RunEnd::Done, {}}};
    single.step(event);
    EXPECT_EQ(single.steward.view("job").state, JobState::Running); // until it is persisted
    EXPECT_EQ(single.steward.observedRuns(), 0U);
}

// A busy steward polls late: the run has ended at some time since the last poll.
TEST(RunTimeLearning, TakesTheMiddleIfAWorkerWasPolledLate)
{
    auto single = test::SingleWorker(test::shortStep(1));
    const auto run = single.startRun();
    single.step(steward_event::StartAnswered{test::workerName(0), single.task, run,
                                             OrderOutcome::Accepted, single.clockMilliseconds});
    single.now += 600ms;
    single.clockMilliseconds += 600;
    single.poll({}, {{1, single.task, run, RunEnd::Done, {}}});
    const auto ratios = single.steward.takeRunTimeRatios();
    ASSERT_EQ(ratios.size(), 1U);
    EXPECT_NEAR(ratios.front().ratio, 300.0 / 400, 0.05);
}

TEST(RunTimeLearning, ExpectsWhatIsStatedIfItIsOff)
{
    auto settings = StewardSettings();
    settings.runTimes.isOn = false;
    auto slot = OneSlot(settings);
    const auto first = slot.submit("understated", 2, 200);
    slot.submit("honest", 1, 500);
    EXPECT_EQ(startedJob(slot.finish(first, 650ms)), "understated");
    EXPECT_EQ(slot.single.steward.observedRuns(), 0U);
}

/// A fleet that has run many jobs whose runs take three times as long as stated.
class LearningFleet
{
public:
    explicit LearningFleet(int workers)
        : fleet(workers)
    { }

    auto runJobs(int count, std::uint32_t tasks, const std::string &rack = {}) -> void
    {
        for (auto n = 0; n < count; ++n) {
            auto step = test::shortStep(tasks);
            step.preferredRack = rack;
            fleet.addJob(test::oneStepJob("job-" + std::to_string(m_nextJob++), step));
            fleet.run(fleet.runTime + 200ms);
        }
        fleet.run(10s);
    }

    auto forecast(std::size_t steward) -> double
    {
        const auto &times = fleet.steward(steward).runTimes();
        return std::chrono::duration<double>(times.forecast({queue, team, 400ms}).expected).count();
    }

    test::FakeFleet fleet;

private:
    int m_nextJob = 0;
};

TEST(RunTimeLearning, GoesOnInTheNextSteward)
{
    auto learning = LearningFleet(3);
    auto &fleet = learning.fleet;
    fleet.runTime = 1'200ms;
    const auto first = fleet.addSteward();
    learning.runJobs(30, 1);
    EXPECT_NEAR(learning.forecast(first), 1.2, 0.2);
    const auto record = fleet.steward(first).runTimes().encode();
    fleet.killSteward(first);
    const auto next = fleet.addSteward();
    EXPECT_EQ(learning.forecast(next), 0.4);
    fleet.steward(next).restoreRunTimes(*RunTimes::decode(record));
    EXPECT_EQ(learning.forecast(next), learning.forecast(first));
    learning.runJobs(3, 1);
    EXPECT_GT(fleet.steward(next).runTimes().sampleCount(queue),
              fleet.steward(first).runTimes().sampleCount(queue));
}

// Runs that a new steward finds have begun before, and those of a crashed worker tell nothing.
TEST(RunTimeLearning, LearnsNothingFromAdoptedAndLostRuns)
{
    auto learning = LearningFleet(2);
    auto &fleet = learning.fleet;
    fleet.runTime = 2s;
    const auto first = fleet.addSteward();
    fleet.addJob(test::oneStepJob("adopted", test::shortStep(4)));
    fleet.run(1s);
    fleet.killSteward(first);
    const auto next = fleet.addSteward();
    fleet.run(4s);
    EXPECT_EQ(fleet.outcome("adopted"), JobOutcome::Completed);
    EXPECT_EQ(fleet.steward(next).observedRuns(), 0U);
    fleet.addJob(test::oneStepJob("lost", test::shortStep(1)));
    fleet.run(500ms);
    fleet.endWorkersOf("lost");
    fleet.run(1s);
    EXPECT_EQ(fleet.steward(next).observedRuns(), 0U);
}

TEST(RunTimeLearning, LearnsNothingFromRunsFarFromTheirData)
{
    auto learning = LearningFleet(2);
    learning.fleet.runTime = 1'200ms;
    const auto steward = learning.fleet.addSteward();
    learning.runJobs(5, 1, "rack-7");
    EXPECT_EQ(learning.fleet.steward(steward).observedRuns(), 0U);
}

// One worker of two takes five times as long: that shows the worker, and not the queue. Others go
// first.
TEST(RunTimeLearning, KeepsSlowWorkersApart)
{
    constexpr auto TasksOfBothWorkers = 16;
    auto learning = LearningFleet(2);
    auto &fleet = learning.fleet;
    fleet.slowness[test::workerName(0)] = 5;
    const auto steward = fleet.addSteward();
    for (auto n = 0; n < 20; ++n)
        learning.runJobs(1, TasksOfBothWorkers);
    EXPECT_NEAR(learning.forecast(steward), 0.4, 0.12);
    fleet.addJob(test::oneStepJob("next", test::shortStep(1)));
    fleet.run(1s);
    EXPECT_EQ(fleet.outcome("next"), JobOutcome::Completed);
}

// Work that becomes longer everywhere makes no worker slow.
TEST(RunTimeLearning, LearnsThatAllWorkBecomesLonger)
{
    auto learning = LearningFleet(2);
    const auto steward = learning.fleet.addSteward();
    learning.runJobs(20, 4);
    learning.fleet.runTime = 2s;
    learning.runJobs(60, 4);
    EXPECT_GT(learning.forecast(steward), 1.2);
}

} // namespace

} // namespace shallotproxy
