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

} // namespace

} // namespace shallotproxy
