#include <algorithm>
#include <map>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "shallotproxy/request.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t GiB = std::uint64_t{1} << 30U;
constexpr auto SixteenCores = TaskDemand{16, 32 * GiB, 0};

auto hostName(int number) -> HostName
{
    return HostName("worker-" + std::to_string(number));
}

auto taskId(int number) -> TaskId
{
    return TaskId("main." + std::to_string(number));
}

auto workers(int count) -> std::vector<WorkerCapacity>
{
    auto result = std::vector<WorkerCapacity>();
    for (auto i = 0; i < count; ++i)
        result.push_back({hostName(i), DataCentreName("north"), SixteenCores, true});
    return result;
}

auto demandGen() -> rc::Gen<TaskDemand>
{
    return rc::gen::map(rc::gen::pair(rc::gen::inRange(1, 17), rc::gen::inRange(1, 33)),
                        [](const std::pair<int, int> &it) {
                            return TaskDemand{static_cast<std::uint32_t>(it.first),
                                              static_cast<std::uint64_t>(it.second) * GiB, 0};
                        });
}

RC_GTEST_PROP(Placement, NeverExceedsAWorkersCapacity, ())
{
    const auto demands = *rc::gen::container<std::vector<TaskDemand>>(demandGen());
    const auto all = workers(*rc::gen::inRange(1, 6));
    auto waiting = std::vector<WaitingTask>();
    for (std::size_t i = 0; i < demands.size(); ++i) {
        waiting.push_back({taskId(static_cast<int>(i)), TeamName(i % 2 == 0 ? "red" : "blue"),
                           demands[i], *rc::gen::arbitrary<bool>(),
                           static_cast<double>(*rc::gen::inRange(0, 600)), HostName()});
    }
    const auto decision = choosePlacements(all, {}, waiting);
    auto cores = std::map<HostName, std::uint32_t>();
    auto memory = std::map<HostName, std::uint64_t>();
    for (const auto &it : decision.starts) {
        const auto task = std::ranges::find(waiting, it.task, &WaitingTask::id);
        cores[it.host] += task->demand.cores;
        memory[it.host] += task->demand.memoryBytes;
    }
    for (const auto &it : all) {
        RC_ASSERT(cores[it.host] <= it.capacity.cores);
        RC_ASSERT(memory[it.host] <= it.capacity.memoryBytes);
    }
}

RC_GTEST_PROP(Placement, PlacesNothingOnAWorkerOutOfService, ())
{
    const auto demands = *rc::gen::container<std::vector<TaskDemand>>(demandGen());
    auto all = workers(4);
    for (auto &it : all)
        it.acceptsWork = *rc::gen::arbitrary<bool>();
    auto waiting = std::vector<WaitingTask>();
    for (std::size_t i = 0; i < demands.size(); ++i)
        waiting.push_back({taskId(static_cast<int>(i)), TeamName("red"), demands[i], true, 0, {}});
    for (const auto &it : choosePlacements(all, {}, waiting).starts) {
        const auto worker = std::ranges::find(all, it.host, &WorkerCapacity::host);
        RC_ASSERT(worker->acceptsWork);
    }
}

TEST(Placement, CheckpointsARunningTaskForAnUrgentOne)
{
    const auto all = workers(1);
    const auto placed = std::vector<PlacedTask>{
        {taskId(1), TeamName("red"), hostName(0), SixteenCores, false, false, 0}};
    const auto urgent =
        std::vector<WaitingTask>{{taskId(2), TeamName("blue"), {4, GiB, 0}, true, 0, {}}};
    const auto decision = choosePlacements(all, placed, urgent);
    EXPECT_TRUE(decision.starts.empty());
    ASSERT_EQ(decision.checkpoints.size(), 1U);
    EXPECT_EQ(decision.checkpoints.front(), taskId(1));
}

TEST(Placement, NeverCheckpointsATaskBeyondItsMaximum)
{
    const auto all = workers(1);
    const auto placed = std::vector<PlacedTask>{
        {taskId(1), TeamName("red"), hostName(0), SixteenCores, false, false, MaxCheckpoints}};
    const auto urgent =
        std::vector<WaitingTask>{{taskId(2), TeamName("blue"), {4, GiB, 0}, true, 0, {}}};
    EXPECT_TRUE(choosePlacements(all, placed, urgent).checkpoints.empty());
}

TEST(Placement, OrdersNoSecondCheckpointWhileOneIsInProgress)
{
    const auto all = workers(1);
    const auto half = TaskDemand{8, GiB, 0};
    const auto placed =
        std::vector<PlacedTask>{{taskId(1), TeamName("red"), hostName(0), half, false, true, 0},
                                {taskId(2), TeamName("red"), hostName(0), half, false, false, 0}};
    const auto urgent = std::vector<WaitingTask>{{taskId(3), TeamName("blue"), half, true, 0, {}}};
    EXPECT_TRUE(choosePlacements(all, placed, urgent).checkpoints.empty());
}

TEST(Placement, KeepsYoungTasksBehindAnAgedOneThatDoesNotFitYet)
{
    const auto all = workers(1);
    const auto placed = std::vector<PlacedTask>{
        {taskId(1), TeamName("red"), hostName(0), {4, GiB, 0}, false, false, 0}};
    const auto waiting = std::vector<WaitingTask>{
        {taskId(2), TeamName("red"), SixteenCores, false, AgedSeconds + 1, {}},
        {taskId(3), TeamName("blue"), {1, GiB, 0}, false, 1, {}}};
    EXPECT_TRUE(choosePlacements(all, placed, waiting).starts.empty());
}

RC_GTEST_PROP(SizeEstimator, ConvergesToTheTrueSize, ())
{
    // The true size is 0.5 to 4 times the declared one.
    const auto factor = 0.5 + 0.05 * *rc::gen::inRange(0, 71);
    auto sizes = SizeEstimator();
    auto record = TaskRecord();
    record.declared = {8, 8 * GiB, 0};
    for (auto i = 0; i < 20; ++i)
        sizes.observe(record, 8 * factor, static_cast<double>(8 * GiB) * factor);
    const auto maxCapacity = TaskDemand{1'000, 1'000 * GiB, 0};
    const auto estimate = sizes.estimate(record, maxCapacity);
    RC_ASSERT(estimate.cores >= 8 * factor - 0.01);
    RC_ASSERT(estimate.cores <= 8 * factor * 1.1 + 1);
    const auto fits = sizes.estimate(record, {4, GiB, 0});
    RC_ASSERT(fits.cores <= 4U && fits.memoryBytes <= GiB);
}

TEST(Overuse, CheckpointsTheTaskFurthestAboveItsReservedMemory)
{
    const auto runs = std::vector<RunUsage>{
        {taskId(1), {4, 8 * GiB, 0}, 4, static_cast<double>(8 * GiB), false, false},
        {taskId(2), {4, 8 * GiB, 0}, 4, static_cast<double>(24 * GiB), false, false}};
    const auto orders = limitOveruse(SixteenCores, runs);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders.front().task, taskId(2));
    EXPECT_EQ(orders.front().order, RunOrder::Checkpoint);
}

TEST(Overuse, ThrottlesTheTaskFurthestAboveItsReservedCoresOnce)
{
    auto runs = std::vector<RunUsage>{{taskId(1), {8, GiB, 0}, 8, 1, false, false},
                                      {taskId(2), {8, GiB, 0}, 20, 1, false, false}};
    auto orders = limitOveruse(SixteenCores, runs);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders.front().order, RunOrder::Throttle);
    runs[1].isThrottled = true;
    EXPECT_TRUE(limitOveruse(SixteenCores, runs).empty());
}

auto allWorkers(int count) -> std::set<HostName>
{
    auto names = std::set<HostName>();
    for (auto i = 0; i < count; ++i)
        names.insert(hostName(i));
    return names;
}

TEST(Quarantine, QuarantinesAWorkerThatFailsMoreThanItsPeers)
{
    const auto now = BootTime(1h);
    auto quarantine = Quarantine();
    quarantine.workersChanged(allWorkers(8));
    for (auto i = 0; i < 16; ++i)
        quarantine.runSucceeded(hostName(1 + i % 7), taskId(i));
    for (auto i = 0; i < 3; ++i)
        quarantine.runFailed(hostName(0), taskId(100 + i), now);
    EXPECT_TRUE(quarantine.isQuarantined(hostName(0), now));
    EXPECT_FALSE(quarantine.isQuarantined(hostName(0), now + 1h));
}

TEST(Quarantine, IgnoresTasksThatFailOnEveryWorker)
{
    const auto now = BootTime(1h);
    auto quarantine = Quarantine();
    quarantine.workersChanged(allWorkers(8));
    for (auto round = 0; round < 10; ++round) {
        for (auto i = 0; i < 3; ++i)
            quarantine.runFailed(hostName((round + i) % 8), taskId(round), now);
    }
    EXPECT_EQ(quarantine.quarantinedCount(now), 0U);
}

RC_GTEST_PROP(Quarantine, LimitsTheQuarantinedWorkersOfAPool, ())
{
    const auto count = *rc::gen::inRange(1, 20);
    const auto failures = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, count), rc::gen::inRange(0, 50)));
    const auto now = BootTime(1h);
    auto quarantine = Quarantine();
    quarantine.workersChanged(allWorkers(count));
    for (const auto &[host, task] : failures)
        quarantine.runFailed(hostName(host), taskId(task), now);
    const auto quarantined = static_cast<int>(quarantine.quarantinedCount(now));
    RC_ASSERT(quarantined <= std::max(1, count / 5));
    RC_ASSERT(quarantined < count);
}

RC_GTEST_PROP(Steward, ReassignsOnlyTheSubjectsOfALeavingMember, ())
{
    const auto count = *rc::gen::inRange(2, 12);
    auto members = std::vector<MemberName>();
    for (auto i = 0; i < count; ++i)
        members.emplace_back("entry-" + std::to_string(i));
    const auto leaving = *rc::gen::elementOf(members);
    auto remaining = members;
    std::erase(remaining, leaving);
    for (auto i = 0; i < 50; ++i) {
        const auto subject = "tasks/pool-" + std::to_string(i);
        const auto before = stewardOf(subject, members);
        const auto after = stewardOf(subject, remaining);
        RC_ASSERT(after == before || before == leaving);
    }
}

} // namespace

} // namespace shallotproxy
