#include <gtest/gtest.h>

#include "shallotproxy/job.hpp"

namespace shallotproxy {

namespace {

auto hostWith(const std::string &worker, HostState state = HostState::Up) -> HostReport
{
    auto report = HostReport();
    report.host = HostName("host-1");
    report.pool = PoolName("nordlys");
    report.state = state;
    report.worker = WorkerName(worker);
    return report;
}

auto step(ListedWorkers &workers, const HostReport &host) -> std::vector<ListedWorkers::Ended>
{
    return workers.step(std::vector{host});
}

// The steward may not believe a list that is older than the worker's present incarnation. An end
// that is told only once would then be missed if the next list is the first one to show it.
TEST(ListedWorkers, AreReturnedAsEndedUntilTheyAreForgotten)
{
    auto workers = ListedWorkers();
    EXPECT_TRUE(step(workers, hostWith("a")).empty());
    for (auto n = 0; n < 2; ++n) {
        const auto ended = step(workers, hostWith("", HostState::Down));
        ASSERT_EQ(ended.size(), 1U);
        EXPECT_EQ(ended[0].worker, WorkerName("a"));
        EXPECT_FALSE(ended[0].isMaintained);
    }
    workers.forget(WorkerName("a"));
    EXPECT_TRUE(step(workers, hostWith("", HostState::Down)).empty());
}

TEST(ListedWorkers, HaveNotEndedOnceTheyAreListedAgain)
{
    auto workers = ListedWorkers();
    step(workers, hostWith("a"));
    EXPECT_EQ(step(workers, hostWith("", HostState::Down)).size(), 1U);
    EXPECT_TRUE(step(workers, hostWith("a")).empty());
}

TEST(ListedWorkers, HaveEndedIfTheirHostsHaveOthersOrAreMaintained)
{
    auto workers = ListedWorkers();
    step(workers, hostWith("a"));
    auto ended = step(workers, hostWith("b"));
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended[0].worker, WorkerName("a"));
    workers.forget(WorkerName("a"));
    ended = step(workers, hostWith("", HostState::InUpkeep));
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended[0].worker, WorkerName("b"));
    EXPECT_TRUE(ended[0].isMaintained);
}

// A host may be missing from one list while its worker runs on.
TEST(ListedWorkers, HaveNotEndedIfTheirHostsAreMissing)
{
    auto workers = ListedWorkers();
    step(workers, hostWith("a"));
    EXPECT_TRUE(workers.step({}).empty());
    EXPECT_TRUE(step(workers, hostWith("")).empty());
}

} // namespace

} // namespace shallotproxy
