#include <gtest/gtest.h>

#include "single_worker.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;
using test::FakeFleet;
using test::oneStepJob;
using test::shortStep;
using test::SingleWorker;
using test::workerName;
using test::workerReport;

auto countStarts(const Steward::Actions &actions) -> std::ptrdiff_t
{
    return std::ranges::count_if(actions, [](const auto &it) {
        return std::holds_alternative<steward_action::StartRun>(it);
    });
}

auto smallTasks(std::uint32_t count) -> StepSpec
{
    auto step = shortStep(count);
    step.resources = {5, 5, 0};
    return step;
}

TEST(Recovery, StartsNoTaskWhoseEndIsOnALaterPage)
{
    auto fleet = FakeFleet(1);
    fleet.runTime = 2s;
    const auto first = fleet.addSteward();
    fleet.addJob(oneStepJob("a", smallTasks(900)));
    fleet.run(1'500ms);
    fleet.killSteward(first);
    fleet.run(2s);
    fleet.addSteward();
    fleet.run(5s);
    EXPECT_EQ(fleet.starts, 900U);
    EXPECT_EQ(fleet.outcome("a"), JobOutcome::Completed);
    EXPECT_EQ(fleet.violations, std::vector<std::string>());
}

/// Returns a page of ends of tasks of the job.
auto endsOf(std::uint32_t first, std::uint32_t count) -> std::vector<EndedRun>
{
    auto page = std::vector<EndedRun>();
    for (auto n = first; n < first + count; ++n)
        page.push_back({n + 1, {"job", 0, 0, n}, 1, RunEnd::Done, {}});
    return page;
}

TEST(Recovery, GoesOnPastItsDeadlineWhileAWorkerIsBeingRead)
{
    auto worker = SingleWorker(smallTasks(1'100));
    worker.steward.expectWorkers({workerName(0)});
    auto starts = std::ptrdiff_t{0};
    for (const auto first : {0U, 500U}) {
        starts += countStarts(worker.poll({}, endsOf(first, 500)));
        starts += countStarts(worker.tick(8s));
        EXPECT_TRUE(worker.steward.isRecovering());
        // The store is slow: the next page follows once the ends of this one are kept.
        const auto actions = worker.step(
            steward_event::ProgressPersisted{"job", worker.steward.record("job")->change});
        const auto *poll = test::firstOf<steward_action::PollWorker>(actions);
        ASSERT_NE(poll, nullptr);
        EXPECT_EQ(poll->acknowledged, first + 500);
        EXPECT_TRUE(worker.steward.workerLoad(workerName(0))->hasUnpersistedEnds);
    }
    starts += countStarts(worker.poll({}, endsOf(1'000, 100)));
    EXPECT_FALSE(worker.steward.isRecovering());
    EXPECT_EQ(starts, 0);
}

TEST(Recovery, EndsAtItsDeadlineIfTheWorkerBeingReadIsCutOff)
{
    auto worker = SingleWorker(smallTasks(600));
    worker.steward.expectWorkers({workerName(0)});
    worker.poll({}, endsOf(0, 500));
    worker.step(steward_event::PollFailed{workerName(0), worker.now, OrderOutcome::Unanswered});
    worker.tick(15s);
    EXPECT_FALSE(worker.steward.isRecovering());
}

/// A steward that has taken over two workers of eight cores each, of which it reaches the second.
class HalfRead : public testing::Test
{
protected:
    explicit HalfRead(std::int64_t limit = 8'000)
        : steward(7, StewardSettings(), now)
    {
        auto rules = *test::testRules(2);
        rules.teams[TeamName("blue")].limit = {limit, 0, 0};
        step(steward_event::Ticked{1'000'000});
        step(steward_event::RulesChanged{std::make_shared<const SchedulingRules>(rules)});
    }

    auto step(const StewardEvent &event) -> std::ptrdiff_t
    {
        auto starts = countStarts(steward.step(event, now));
        starts += countStarts(steward.step(steward_event::PlacementDue(), now));
        return starts;
    }

    auto poll(int worker, std::vector<ActiveRun> active) -> std::ptrdiff_t
    {
        auto event = steward_event::WorkerPolled();
        event.worker = workerName(worker);
        event.sentAt = now;
        event.clockMilliseconds = 5'000;
        event.startedMilliseconds = 1;
        event.active = std::move(active);
        now += 2ms;
        return step(event);
    }

    auto takeOver() -> void
    {
        for (const auto n : {0, 1})
            step(steward_event::WorkerReported{workerReport(n)});
        steward.expectWorkers({workerName(0), workerName(1)});
        EXPECT_EQ(poll(1, {}), 0);
    }

    static auto runsOf(const std::string &job, std::uint32_t count) -> std::vector<ActiveRun>
    {
        auto runs = std::vector<ActiveRun>();
        for (std::uint32_t n = 0; n < count; ++n)
            runs.push_back({{job, 0, 0, n}, 1, {}, 0, 0});
        return runs;
    }

    auto accept(const std::string &id, std::uint32_t tasks, bool isOld) -> std::ptrdiff_t
    {
        return step(steward_event::JobAccepted{oneStepJob(id, shortStep(tasks)), {}, isOld});
    }

    BootTime now{1h};
    Steward steward;
};

class WideHalfRead : public HalfRead
{
protected:
    WideHalfRead()
        : HalfRead(12'000)
    { }
};

TEST_F(HalfRead, CountsRunsOfAnEarlierStewardOnWorkersItCannotAsk)
{
    accept("old", 8, true);
    takeOver();
    EXPECT_EQ(accept("new", 2, false), 0);
    EXPECT_EQ(poll(0, runsOf("old", 8)), 0);
}

TEST_F(HalfRead, StartsTheRestOfATeamOnceAWorkerHasTold)
{
    accept("old", 8, true);
    takeOver();
    EXPECT_EQ(accept("new", 2, false), 0);
    // All tasks of the old job wait, and have been accepted earlier.
    EXPECT_EQ(poll(0, runsOf("old", 3)), 5);
}

TEST_F(HalfRead, StartsTheRestOfATeamOnceRunsThatItCannotAskForHaveEnded)
{
    accept("old", 8, true);
    takeOver();
    EXPECT_EQ(accept("new", 2, false), 0);
    now += StewardSettings().recoveryTimeout;
    EXPECT_EQ(step(steward_event::Ticked{1'000'000}), 8);
}

TEST_F(WideHalfRead, HoldsBackNoMoreThanTheUnaskedWorkerHasRoomFor)
{
    accept("old", 100, true);
    takeOver();
    EXPECT_EQ(accept("new", 8, false), 4);
}

// Its capacity may have shrunk below what the runs there use.
TEST_F(WideHalfRead, HoldsBackWhatTheHostOfAShrunkWorkerHasRoomFor)
{
    accept("old", 100, true);
    takeOver();
    auto shrunk = workerReport(0);
    shrunk.capacity = {2'000, 2'000, 0};
    step(steward_event::WorkerReported{shrunk});
    steward.expectWorkers({workerName(0), workerName(1)}, {workerReport(0).capacity});
    EXPECT_EQ(accept("new", 8, false), 4);
}

TEST_F(WideHalfRead, HoldsBackNoMoreThanTheOldTasksNeed)
{
    accept("old", 2, true);
    takeOver();
    EXPECT_EQ(accept("new", 8, false), 8);
}

TEST_F(HalfRead, CountsRunsOfAJobThatIsCancelledMeanwhile)
{
    accept("old", 8, true);
    takeOver();
    step(steward_event::JobCancelled{"old"});
    EXPECT_EQ(accept("new", 2, false), 0);
}

TEST_F(HalfRead, CountsRunsOfAJobThatWasCancelledBefore)
{
    auto ended = JobSpec();
    ended.id = "old";
    ended.queue = QueueName("quotes");
    ended.team = TeamName("blue");
    auto progress = JobProgress();
    progress.outcome = static_cast<std::uint8_t>(JobOutcome::Cancelled);
    progress.endedMilliseconds = 999'000;
    step(steward_event::JobAccepted{ended, progress, false});
    step(steward_event::JobAccepted{oneStepJob("old", shortStep(8)), progress, true});
    takeOver();
    EXPECT_EQ(accept("new", 2, false), 0);
    EXPECT_EQ(poll(0, runsOf("old", 8)), 0);
    EXPECT_EQ(poll(0, runsOf("old", 7)), 1);
}

/// A steward that has taken over a job whose second occurrence is due half a second later by its
/// clock.
class EarlyOccurrence : public HalfRead
{
protected:
    EarlyOccurrence()
    {
        auto job = oneStepJob("scheduled", shortStep(1));
        job.occurrences = 2;
        job.firstDueMilliseconds = 999'500;
        job.intervalMilliseconds = 1'000;
        step(steward_event::JobAccepted{job, {}, true});
        takeOver();
    }

    /// Reads the other worker, which tells of the task of the second occurrence. Returns the starts
    /// until that is due here as well.
    auto startsAfter(std::vector<ActiveRun> active, std::vector<EndedRun> ended) -> std::ptrdiff_t
    {
        auto event = steward_event::WorkerPolled();
        event.worker = workerName(0);
        event.sentAt = now;
        event.clockMilliseconds = 5'000;
        event.startedMilliseconds = 1;
        event.active = std::move(active);
        event.ended = std::move(ended);
        auto starts = step(event);
        now += 1s;
        starts += step(steward_event::Ticked{1'001'000});
        EXPECT_FALSE(steward.isRecovering());
        return starts;
    }
};

// The earlier steward's clock was ahead. The end of its run was acknowledged and forgotten, and the
// occurrence ran again.
TEST_F(EarlyOccurrence, DoesNotRunAgainIfItIsDone)
{
    const auto ended = EndedRun{1, {"scheduled", 1, 0, 0}, 1, RunEnd::Done, {}};
    EXPECT_EQ(startsAfter({}, {ended}), 1); // the first occurrence
}

TEST_F(EarlyOccurrence, RunsOn)
{
    EXPECT_EQ(startsAfter({{{"scheduled", 1, 0, 0}, 1, {}, 0, 0}}, {}), 1);
}

} // namespace

} // namespace shallotproxy
