#include <map>
#include <random>
#include <tuple>
#include <utility>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "shallotproxy/job.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

using Usage = std::map<TeamName, double>;

auto usageIn(const Usage &usage)
{
    return [&usage](const TeamName &team) {
        const auto it = usage.find(team);
        return it == usage.end() ? 1.0 : it->second;
    };
}

/// Returns the number of the job of each step, in the order of a visit in which all steps fit.
auto visitedJobs(const std::vector<WaitingStep> &steps, BootTime now, const Usage &usage = {})
    -> std::vector<std::uint64_t>
{
    auto waiting = WaitingSteps<std::uint64_t>();
    for (const auto &it : steps)
        waiting.add(it, it.id.job);
    auto visited = std::vector<std::uint64_t>();
    waiting.visit(now, usageIn(usage), [&visited](std::uint64_t job) {
        visited.push_back(job);
        return StepVisit::Placed;
    });
    return visited;
}

auto stepOfJob(std::uint64_t job) -> WaitingStep
{
    auto step = WaitingStep();
    step.id.job = job;
    return step;
}

/// Executes the jobs of a peak that needs several times the resources of the pool, one after the
/// other. Returns how many of them end before their deadline.
auto jobsWithinDeadline(const std::vector<std::uint8_t> &sizes, bool isSorted) -> int
{
    constexpr auto Unit = 40ms;
    auto waiting = std::vector<WaitingStep>();
    const auto start = BootTime(1h);
    for (std::size_t n = 0; n < sizes.size(); ++n) {
        const auto work = Unit * (1 + sizes[n] % 25);
        auto step = stepOfJob(n);
        step.submittedAt = start + 10ms * n;
        step.remainingWork = work;
        step.deadline = step.submittedAt + work * 16 / 10 + 600ms;
        waiting.push_back(step);
    }
    auto now = start;
    auto inTime = 0;
    while (!waiting.empty()) {
        const auto first = isSorted ? visitedJobs(waiting, now).front() : waiting.front().id.job;
        const auto next =
            std::ranges::find(waiting, first, [](const WaitingStep &it) { return it.id.job; });
        now += next->remainingWork;
        inTime += now <= next->deadline ? 1 : 0;
        waiting.erase(next);
    }
    return inTime;
}

// Simulates fifty peaks of 60 jobs that need many times the time of the one core.
TEST(WaitingOrder, MeetsMoreDeadlinesThanFirstComeFirstServed)
{
    constexpr auto Peaks = 50U;
    constexpr auto JobsPerPeak = 60U;
    auto sorted = 0;
    auto inOrder = 0;
    for (auto peak = 0U; peak < Peaks; ++peak) {
        auto random = std::mt19937(peak);
        auto sizes = std::vector<std::uint8_t>();
        for (auto n = 0U; n < JobsPerPeak; ++n)
            sizes.push_back(static_cast<std::uint8_t>(random()));
        sorted += jobsWithinDeadline(sizes, true);
        inOrder += jobsWithinDeadline(sizes, false);
    }
    EXPECT_GE(sorted, 2 * inOrder);
}

TEST(WaitingOrder, PutsATeamBelowItsShareBeforeOneAbove)
{
    const auto now = BootTime(1h);
    auto steps = std::vector<WaitingStep>{stepOfJob(0), stepOfJob(1)};
    steps[0].team = TeamName("above");
    steps[0].remainingWork = 600ms;
    steps[1].team = TeamName("below");
    steps[1].remainingWork = 700ms;
    for (auto &it : steps)
        it.deadline = now + 10s;
    const auto usage = Usage{{TeamName("above"), 1.4}, {TeamName("below"), 0.6}};
    EXPECT_EQ(visitedJobs(steps, now, usage).front(), 1U);
}

TEST(WaitingOrder, PutsLongRunningWorkFirstAndLateWorkLast)
{
    const auto now = BootTime(1h);
    auto steps = std::vector<WaitingStep>{stepOfJob(0), stepOfJob(1), stepOfJob(2)};
    steps[0].deadline = now - 1s;
    steps[0].remainingWork = 10ms;
    steps[1].deadline = now + 10s;
    steps[1].remainingWork = 500ms;
    steps[2].isLongRunning = true;
    steps[2].priority = 5;
    EXPECT_EQ(visitedJobs(steps, now), (std::vector<std::uint64_t>{2, 1, 0}));
}

// A team that sends eight times its rate keeps no other team from its deadlines, whatever the
// priorities of the queues.
TEST(WaitingOrder, PutsWorkBeyondATeamsRateAfterAllOther)
{
    const auto now = BootTime(1h);
    auto steps = std::vector<WaitingStep>{stepOfJob(0), stepOfJob(1), stepOfJob(2)};
    for (auto &it : steps)
        it.deadline = now + 10s;
    steps[0].isSurplus = true;
    steps[1].priority = 3;
    steps[1].remainingWork = 5s;
    steps[2].priority = 3;
    steps[2].deadline = now - 1s;
    EXPECT_EQ(visitedJobs(steps, now), (std::vector<std::uint64_t>{1, 2, 0}));
}

TEST(WaitingOrder, PutsUselessWorkLastAndItsOldestFirst)
{
    const auto now = BootTime(1h);
    auto steps = std::vector<WaitingStep>();
    for (auto n = std::uint64_t{0}; n < 4; ++n) {
        steps.push_back(stepOfJob(n));
        steps[n].remainingWork = 1s;
        steps[n].submittedAt = now - 1s * n;
        steps[n].deadline = now - 1s;
    }
    steps[1].usefulUntil = now;
    steps[2].usefulUntil = now;
    steps[2].priority = 1;
    steps[3].isSurplus = true;
    EXPECT_EQ(visitedJobs(steps, now), (std::vector<std::uint64_t>{0, 3, 2, 1}));
}

// A pool that new work in time would fill for ever still ends each job that it has accepted.
TEST(WaitingOrder, PlacesEachOverdueStepWithinABound)
{
    constexpr auto Overdue = std::uint64_t{40};
    const auto start = BootTime(1h);
    auto waiting = WaitingSteps<std::uint64_t>();
    for (auto n = std::uint64_t{0}; n < Overdue; ++n) {
        auto step = stepOfJob(n);
        step.submittedAt = start + 1ms * n;
        step.deadline = start + 1s;
        step.usefulUntil = start + 3s;
        waiting.add(step, n);
    }
    auto placedOverdue = std::vector<std::uint64_t>();
    auto placed = std::uint64_t{0};
    auto number = Overdue;
    const auto bound = start + 40ms + OverdueAge + OverdueInterval * Overdue;
    for (auto now = start; now <= bound; now += 10ms) {
        auto fresh = stepOfJob(number);
        fresh.submittedAt = now;
        fresh.deadline = now + 10s;
        waiting.add(fresh, number++);
        auto hasRoom = true; // for one step at a time
        waiting.visit(now, usageIn({}), [&](std::uint64_t job) {
            if (!std::exchange(hasRoom, false))
                return StepVisit::Missed;
            waiting.remove({job, 0, 0});
            ++placed;
            if (job < Overdue)
                placedOverdue.push_back(job);
            return StepVisit::Placed;
        });
    }
    EXPECT_EQ(placedOverdue.size(), Overdue);
    EXPECT_TRUE(std::ranges::is_sorted(placedOverdue));
    EXPECT_GE(placed, 24 * Overdue); // the others keep nearly all of the room
}

// The oldest step wants more than ever gets free at once, and most visits find no room at all.
TEST(WaitingOrder, PlacesOverdueStepsBehindOneThatNeverFits)
{
    constexpr auto Overdue = std::uint64_t{40};
    const auto start = BootTime(1h);
    auto waiting = WaitingSteps<std::uint64_t>();
    for (auto n = std::uint64_t{0}; n < Overdue; ++n) {
        auto step = stepOfJob(n);
        step.submittedAt = start + 1ms * n;
        step.deadline = start + 1s;
        step.usefulUntil = start + 3s;
        waiting.add(step, n);
    }
    auto ended = std::uint64_t{0};
    auto number = Overdue;
    const auto bound = start + OverdueAge + 2 * OverdueInterval * Overdue;
    for (auto now = start; now <= bound; now += 10ms) {
        auto fresh = stepOfJob(number);
        fresh.submittedAt = now;
        fresh.deadline = now + 60s;
        waiting.add(fresh, number++);
        auto hasRoom = (now - start) % 30ms == 0ms;
        waiting.visit(now, usageIn({}), [&](std::uint64_t job) {
            if (job == 0 || !std::exchange(hasRoom, false))
                return StepVisit::Missed;
            waiting.remove({job, 0, 0});
            ended += job < Overdue ? 1 : 0;
            return StepVisit::Placed;
        });
    }
    EXPECT_EQ(ended, Overdue - 1);
}

TEST(WaitingOrder, SamplesTensOfThousandsOfSteps)
{
    constexpr auto Steps = std::uint64_t{20'000};
    auto waiting = WaitingSteps<std::uint64_t>();
    for (auto n = std::uint64_t{0}; n < Steps; ++n) {
        auto step = stepOfJob(n);
        step.priority = n % 4 == 0 ? 0 : 1;
        waiting.add(step, n);
    }
    const auto sums = [&waiting](std::size_t maxSteps) {
        auto sum = std::map<std::uint32_t, std::size_t>();
        auto calls = std::size_t{0};
        waiting.forEachSample(maxSteps, [&](const WaitingStep &step, auto, auto, auto count) {
            sum[step.priority] += count;
            ++calls;
        });
        EXPECT_LE(calls, maxSteps);
        return sum;
    };
    EXPECT_EQ(sums(Steps)[0], Steps / 4);
    const auto sampled = sums(1'000);
    EXPECT_EQ(sampled.at(0) + sampled.at(1), Steps);
    EXPECT_NEAR(static_cast<double>(sampled.at(0)), Steps / 4.0, Steps / 20.0);
}

// The order doesn't depend on when steps were added, became late or were removed.
RC_GTEST_PROP(WaitingOrder, IsThatOfTheRanks, ())
{
    constexpr auto Teams = 3;
    const auto random = [](int from, int to) { return *rc::gen::inRange(from, to); };
    auto now = BootTime(1h);
    auto waiting = WaitingSteps<std::uint64_t>();
    auto steps = std::map<std::uint64_t, WaitingStep>();
    auto usage = Usage();
    for (auto n = 0; n < Teams; ++n)
        usage[TeamName(std::to_string(n))] = random(1, 50) / 10.0;
    const auto changes = random(0, 60);
    for (auto n = 0; n < changes; ++n) {
        const auto job = static_cast<std::uint64_t>(random(0, 20));
        if (random(0, 4) == 0) {
            waiting.remove({job, 0, 0});
            steps.erase(job);
            continue;
        }
        auto step = stepOfJob(job);
        step.priority = static_cast<std::uint32_t>(random(0, 2));
        step.isLongRunning = random(0, 5) == 0;
        step.remainingWork = std::chrono::milliseconds(random(1, 30));
        step.deadline = now + std::chrono::milliseconds(random(-20, 60));
        step.submittedAt = now - std::chrono::milliseconds(random(0, 30));
        step.usefulUntil = step.deadline + std::chrono::milliseconds(random(-10, 40));
        step.isSurplus = random(0, 3) == 0;
        step.team = TeamName(std::to_string(random(0, Teams)));
        step.requiredLabel = random(0, 3) == 0 ? "gpu" : "";
        waiting.add(step, job);
        steps[job] = step;
        now += std::chrono::milliseconds(random(0, 10));
        if (random(0, 3) == 0)
            waiting.visit(now, usageIn(usage), [](std::uint64_t) { return StepVisit::Placed; });
    }
    auto expected = std::vector<std::uint64_t>();
    for (const auto &[job, step] : steps)
        expected.push_back(job);
    std::ranges::sort(expected, {}, [&](std::uint64_t job) {
        const auto &step = steps.at(job);
        const auto isLate = now + step.remainingWork > step.deadline;
        const auto factor = std::clamp(usage.at(step.team), 0.5, 2.0);
        const auto weighted = static_cast<double>(step.remainingWork.count()) * factor;
        const auto usefulUntil = std::max(step.usefulUntil, step.deadline);
        const auto isUseless = now + step.remainingWork > usefulUntil;
        const auto order = isUseless ? step.submittedAt.time_since_epoch().count()
                                     : static_cast<Duration::rep>(weighted);
        const auto isSurplus = step.isSurplus && !isUseless;
        return std::tuple(!step.isLongRunning, isUseless, isSurplus, isUseless ? 0 : step.priority,
                          isLate, order, job);
    });
    auto visited = std::vector<std::uint64_t>();
    waiting.visit(now, usageIn(usage), [&visited](std::uint64_t job) {
        visited.push_back(job);
        return StepVisit::Placed;
    });
    RC_ASSERT(visited == expected);
}

/// Adds `count` finite steps of one team, in the order of their numbers.
auto addSteps(WaitingSteps<std::uint64_t> &waiting, std::uint64_t count, BootTime now) -> void
{
    for (auto n = std::uint64_t{0}; n < count; ++n) {
        auto step = stepOfJob(n);
        step.submittedAt = now + 1ms * n;
        waiting.add(step, n);
    }
}

// Each placement examined all steps of all open jobs, and took all the processor time of a member.
TEST(WaitingOrder, ExaminesFewOfTheStepsThatDontFit)
{
    for (const auto count : {1'000U, 20'000U}) {
        auto waiting = WaitingSteps<std::uint64_t>();
        addSteps(waiting, count, BootTime(1h));
        for (auto visit = 0; visit < 20; ++visit) {
            auto examined = std::size_t{0};
            waiting.visit(BootTime(2h), usageIn({}), [&examined](std::uint64_t) {
                ++examined;
                return StepVisit::Missed;
            });
            EXPECT_LE(examined, 2 * MaxMissesPerVisit);
        }
    }
}

// Steps at the head that fit nowhere, perhaps ever, keep no other step from being placed.
TEST(WaitingOrder, ReachesEachStepBehindThoseThatDontFit)
{
    constexpr auto Count = 5'000U;
    auto waiting = WaitingSteps<std::uint64_t>();
    addSteps(waiting, Count, BootTime(1h));
    auto placed = std::set<std::uint64_t>();
    const auto fits = [](std::uint64_t job) { return job % 7 == 6 && job >= 1'000; };
    const auto visits = Count / MaxMissesPerVisit + 1;
    for (std::size_t n = 0; n < visits; ++n) {
        waiting.visit(BootTime(2h), usageIn({}), [&](std::uint64_t job) {
            if (fits(job)) {
                placed.insert(job);
                waiting.remove({job, 0, 0});
            }
            return fits(job) ? StepVisit::Placed : StepVisit::Missed;
        });
    }
    for (auto job = std::uint64_t{0}; job < Count; ++job)
        EXPECT_EQ(placed.contains(job), fits(job)) << job;
}

// What waits for other workers or of another team isn't held up.
TEST(WaitingOrder, ExaminesStepsOfEachTeamAndLabel)
{
    auto waiting = WaitingSteps<std::uint64_t>();
    addSteps(waiting, 1'000, BootTime(1h));
    auto ofTeam = stepOfJob(2'000);
    ofTeam.team = TeamName("small");
    ofTeam.submittedAt = BootTime(90min);
    waiting.add(ofTeam, 2'000);
    auto ofLabel = stepOfJob(2'001);
    ofLabel.requiredLabel = "gpu";
    ofLabel.submittedAt = BootTime(90min);
    waiting.add(ofLabel, 2'001);
    auto placed = std::set<std::uint64_t>();
    waiting.visit(BootTime(2h), usageIn({}), [&placed](std::uint64_t job) {
        if (job >= 2'000)
            placed.insert(job);
        return job >= 2'000 ? StepVisit::Placed : StepVisit::Missed;
    });
    EXPECT_EQ(placed, (std::set<std::uint64_t>{2'000, 2'001}));
}

} // namespace

} // namespace shallotproxy
