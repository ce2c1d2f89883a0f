#include <random>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "shallotproxy/job.hpp"
#include "shallotproxy/process/base/record_codec.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

auto hostName(std::size_t number) -> HostName
{
    return HostName("host-" + std::to_string(number));
}

auto idleHost(std::size_t number, const std::string &pool) -> HostView
{
    auto view = HostView();
    view.report.host = hostName(number);
    view.report.pool = PoolName(pool);
    view.report.state = HostState::Up;
    view.report.capacity = {10'000, 10'000, 0};
    view.report.worker = WorkerName("worker-" + std::to_string(number));
    view.isLoadKnown = true;
    return view;
}

auto poolRules() -> SchedulingRules
{
    auto rules = SchedulingRules();
    rules.pools[PoolName("a")] = {};
    rules.pools[PoolName("b")] = {};
    rules.pools[PoolName("spare")] = {true};
    return rules;
}

auto waveOf(std::size_t hosts, std::uint32_t maxConcurrent) -> UpkeepWave
{
    auto wave = UpkeepWave();
    wave.number = 1;
    wave.maxConcurrent = maxConcurrent;
    for (std::size_t n = 0; n < hosts; ++n)
        wave.hosts.insert(hostName(n));
    return wave;
}

RC_GTEST_PROP(UpkeepPlanner, NeverHasMoreDownThanTheWaveAllows,
              (const std::vector<std::uint8_t> &choices))
{
    constexpr std::size_t Hosts = 9;
    constexpr std::uint32_t MaxConcurrent = 3;
    auto now = BootTime(1h);
    auto planner = UpkeepPlanner();
    planner.waveDeclared(waveOf(Hosts, MaxConcurrent), {});
    auto hosts = std::vector<HostView>();
    for (std::size_t n = 0; n < Hosts; ++n)
        hosts.push_back(idleHost(n, "a"));
    auto unanswered = std::vector<UpkeepStart>();
    auto downUntil = std::map<HostName, BootTime>();
    auto started = std::set<HostName>();
    auto completed = false;
    const auto countDown = [&downUntil, &now] {
        return std::ranges::count_if(downUntil, [now](const auto &it) { return it.second > now; });
    };
    for (std::size_t n = 0; n < 400 && !completed; ++n) {
        const auto choice = choices.empty() ? std::uint8_t{3} : choices[n % choices.size()];
        now += 300ms;
        for (auto &it : hosts) {
            const auto isDown =
                downUntil.contains(it.report.host) && downUntil.at(it.report.host) > now;
            it.report.state = isDown ? HostState::InUpkeep : HostState::Up;
            it.otherRuns = choice % 5 == 0 && n < 200 ? 1 : 0;
        }
        const auto listedAt = now;
        now += 5ms;
        const auto orders = planner.step(hosts, {}, listedAt, now);
        for (const auto &it : orders.start) {
            planner.startSent(it);
            unanswered.push_back(it);
            // An order is carried out immediately or not at all. Without an answer it is sent
            // again.
            if (choice % 3 != 0 && started.insert(it.host).second) {
                RC_ASSERT(countDown() < static_cast<std::ptrdiff_t>(MaxConcurrent));
                downUntil[it.host] = now + 2s;
            }
        }
        if (choice % 4 == 1 || n > 200) {
            for (const auto &it : unanswered) {
                if (started.insert(it.host).second) {
                    RC_ASSERT(countDown() < static_cast<std::ptrdiff_t>(MaxConcurrent));
                    downUntil[it.host] = now + 2s;
                }
                planner.startAccepted(it, now);
            }
            unanswered.clear();
        }
        completed = !orders.completed.empty();
        RC_ASSERT(!completed || started.size() == Hosts);
    }
    RC_ASSERT(completed);
}

// A list without one host completed the wave, and the host never had its upkeep.
TEST(UpkeepPlanner, DoesNotCompleteAWaveByAListThatLacksAHost)
{
    auto now = BootTime(1h);
    auto planner = UpkeepPlanner();
    planner.waveDeclared(waveOf(2, 1), {hostName(0)});
    const auto listed = std::vector{idleHost(0, "a"), idleHost(1, "a")};
    const auto step = [&](std::span<const HostView> hosts) {
        const auto listedAt = now;
        now += 400ms;
        return planner.step(hosts, {}, listedAt, now);
    };
    EXPECT_TRUE(step(std::span(listed).first(1)).completed.empty());
    const auto orders = step(listed);
    ASSERT_EQ(orders.start.size(), 1U);
    EXPECT_EQ(orders.start.front().host, hostName(1));
    auto lists = 0;
    while (step(std::span(listed).first(1)).completed.empty() && lists < 100)
        ++lists; // it has left the fleet
    EXPECT_GE(lists * 400ms, UpkeepPlanner::DepartureTime);
    EXPECT_LT(lists * 400ms, UpkeepPlanner::DepartureTime + 1s);
}

TEST(UpkeepPlanner, ReleasesTheHostsOfAWithdrawnWave)
{
    const auto now = BootTime(1h);
    auto planner = UpkeepPlanner();
    planner.waveDeclared(waveOf(3, 3), {});
    auto other = waveOf(1, 1);
    other.number = 2;
    planner.waveDeclared(other, {});
    const auto hosts = std::vector{idleHost(0, "a"), idleHost(1, "a"), idleHost(2, "a")};
    const auto orders = planner.step(hosts, {}, now, now);
    ASSERT_EQ(std::set(orders.drain.begin(), orders.drain.end()).size(), 3U);
    planner.startSent({hostName(1), 1, {}});
    const auto withdrawn = planner.waveWithdrawn(1);
    EXPECT_EQ(withdrawn.idle, std::vector{hostName(2)});
    EXPECT_EQ(withdrawn.inDoubt, std::vector{hostName(1)});
    EXPECT_TRUE(planner.isClaimed(hostName(0))); // by the other wave
    EXPECT_FALSE(planner.isClaimed(hostName(2)));
}

TEST(UpkeepPlanner, SkipsHostsThatAnEarlierStewardStarted)
{
    auto planner = UpkeepPlanner();
    planner.waveDeclared(waveOf(3, 3), {hostName(0)});
    const auto hosts = std::vector{idleHost(0, "a"), idleHost(1, "a"), idleHost(2, "a")};
    const auto now = BootTime(1h);
    const auto orders = planner.step(hosts, {}, now, now + 1ms);
    EXPECT_EQ(orders.start.size(), 2U);
    EXPECT_TRUE(planner.isDue(hostName(1)));
    EXPECT_FALSE(planner.isDue(hostName(0)));
    EXPECT_TRUE(planner.isClaimed(hostName(1)));
    EXPECT_FALSE(planner.isClaimed(hostName(0)));
}

// A pool at its peak may take hosts of a wave that has time; a move without an answer may still be
// carried out and would end what the upkeep's next worker runs.
TEST(UpkeepPlanner, ClaimsNoHostUnderAnotherOrder)
{
    auto planner = UpkeepPlanner();
    planner.waveDeclared(waveOf(2, 2), {});
    const auto hosts = std::vector{idleHost(0, "a"), idleHost(1, "a")};
    const auto now = BootTime(1h);
    const auto orders = planner.step(hosts, {hostName(0)}, now, now + 1ms);
    ASSERT_EQ(orders.start.size(), 1U);
    EXPECT_EQ(orders.start[0].host, hostName(1));
    EXPECT_TRUE(planner.isDue(hostName(0)));
    EXPECT_FALSE(planner.isClaimed(hostName(0)));
    planner.startSent(orders.start[0]);
    const auto later = planner.step(hosts, {}, now, now + 2ms);
    ASSERT_EQ(later.start.size(), 1U);
    EXPECT_EQ(later.start[0].host, hostName(0));
}

// Hosts with finite runs become idle by themselves, those with long-running tasks don't.
TEST(UpkeepPlanner, DrainsHostsWithLongRunningTasksFirst)
{
    auto planner = UpkeepPlanner();
    auto wave = waveOf(20, 1);
    wave.duration = 1h;
    planner.waveDeclared(wave, {});
    auto hosts = std::vector<HostView>();
    for (std::size_t n = 0; n < 20; ++n) {
        hosts.push_back(idleHost(n, "a"));
        hosts.back().otherRuns = 1;
    }
    hosts[7].longRunningRuns = 1;
    const auto now = BootTime(1h);
    const auto orders = planner.step(hosts, {}, now, now + 1ms);
    ASSERT_EQ(orders.drain.size(), UpkeepPlanner::DrainingPerDown);
    EXPECT_EQ(orders.drain[0], hostName(7));
}

TEST(UpkeepPlanner, NamesTheWorkerThatEndsWithAnUpkeep)
{
    auto planner = UpkeepPlanner();
    planner.waveDeclared(waveOf(1, 1), {});
    auto hosts = std::vector{idleHost(0, "a")};
    hosts[0].report.worker = WorkerName("before");
    const auto now = BootTime(1h);
    const auto orders = planner.step(hosts, {}, now, now + 1ms);
    ASSERT_EQ(orders.start.size(), 1U);
    EXPECT_EQ(orders.start[0].worker, WorkerName("before"));
}

TEST(UpkeepPlanner, StartsNoHostWithRunsOrUnpersistedEnds)
{
    auto planner = UpkeepPlanner();
    planner.waveDeclared(waveOf(2, 2), {});
    auto hosts = std::vector{idleHost(0, "a"), idleHost(1, "a")};
    hosts[0].otherRuns = 1;
    hosts[1].hasUnpersistedEnds = true;
    const auto now = BootTime(1h);
    const auto orders = planner.step(hosts, {}, now, now + 1ms);
    EXPECT_TRUE(orders.start.empty());
    EXPECT_EQ(orders.drain.size(), 2U);
}

TEST(PoolSizer, MovesIdleAndStandbyHostsToAPoolAtItsPeak)
{
    auto sizer = PoolSizer();
    auto hosts = std::vector<HostView>();
    for (std::size_t n = 0; n < 3; ++n)
        hosts.push_back(idleHost(n, "a"));
    for (std::size_t n = 3; n < 7; ++n)
        hosts.push_back(idleHost(n, "b"));
    hosts.push_back(idleHost(7, "spare"));
    for (std::size_t n = 0; n < 3; ++n)
        hosts[n].otherRuns = 4;
    auto loads = std::map<PoolName, PoolLoad>();
    loads[PoolName("a")].used = {30'000, 0, 0};
    auto now = BootTime(1h);
    sizer.step(hosts, loads, poolRules(), {}, now);
    now += PoolSizer::IdleBeforeMove;
    // The peak begins: the pool needs five times its hosts.
    loads[PoolName("a")].waiting = {120'000, 0, 0};
    const auto moves = sizer.step(hosts, loads, poolRules(), {}, now);
    EXPECT_EQ(moves.size(), 4U); // three idle hosts of b, which keeps one, and the standby host
    for (const auto &it : moves)
        EXPECT_EQ(it.to, PoolName("a"));
}

// The first pool by its name took all moves until it had all its hosts.
TEST(PoolSizer, SharesMovesAmongPoolsThatLackHosts)
{
    auto sizer = PoolSizer();
    auto hosts = std::vector<HostView>{idleHost(0, "a"), idleHost(1, "b")};
    for (auto &it : hosts)
        it.otherRuns = 4;
    for (std::size_t n = 2; n < 12; ++n)
        hosts.push_back(idleHost(n, "spare"));
    auto loads = std::map<PoolName, PoolLoad>();
    for (const auto *pool : {"a", "b"})
        loads[PoolName(pool)].waiting = {200'000, 0, 0};
    auto count = std::map<PoolName, std::size_t>();
    for (const auto &it : sizer.step(hosts, loads, poolRules(), {}, BootTime(1h)))
        ++count[it.to];
    EXPECT_EQ(count[PoolName("a")], 3U);
    EXPECT_EQ(count[PoolName("b")], 3U);
}

// A pool whose hosts are drained for their upkeep needs other hosts: otherwise a long-running task
// doesn't fit there for seconds.
TEST(PoolSizer, ReplacesDrainingHosts)
{
    auto sizer = PoolSizer();
    auto hosts = std::vector<HostView>();
    for (std::size_t n = 0; n < 3; ++n) {
        hosts.push_back(idleHost(n, "a"));
        hosts.back().longRunningRuns = 1;
        hosts.back().isDraining = true;
    }
    hosts.push_back(idleHost(3, "spare"));
    hosts.push_back(idleHost(4, "spare"));
    auto loads = std::map<PoolName, PoolLoad>();
    loads[PoolName("a")].used = {3'000, 0, 0};
    loads[PoolName("a")].waiting = {1'000, 0, 0};
    const auto moves = sizer.step(hosts, loads, poolRules(), {}, BootTime(1h));
    EXPECT_EQ(moves.size(), 2U);
}

// Tasks of one pool crash its hosts, which are back after seconds. The idle hosts of the others
// must not be lost in the same way, one after the other.
TEST(PoolSizer, TakesNoIdleHostsOfOthersForThoseThatTasksHaveCrashed)
{
    auto sizer = PoolSizer();
    auto hosts = std::vector<HostView>();
    for (std::size_t n = 0; n < 4; ++n)
        hosts.push_back(idleHost(n, "a"));
    for (std::size_t n = 4; n < 8; ++n)
        hosts.push_back(idleHost(n, "b"));
    for (std::size_t n = 0; n < 4; ++n)
        hosts[n].otherRuns = 1;
    auto loads = std::map<PoolName, PoolLoad>();
    loads[PoolName("a")].waiting = {20'000, 20'000, 0};
    auto now = BootTime(1h);
    sizer.step(hosts, loads, poolRules(), {}, now);
    for (std::size_t n = 0; n < 2; ++n) {
        hosts[n].report.state = HostState::Down;
        hosts[n].otherRuns = 0;
    }
    now += PoolSizer::IdleBeforeMove;
    auto crashing = loads;
    crashing[PoolName("a")].hasCrashingTasks = true;
    EXPECT_TRUE(sizer.step(hosts, crashing, poolRules(), {}, now).empty());
    // Hosts that failed by themselves are replaced at once, and so are those that stay down.
    EXPECT_FALSE(sizer.step(hosts, loads, poolRules(), {}, now).empty());
    now += PoolSizer::ReturnTime;
    EXPECT_FALSE(sizer.step(hosts, crashing, poolRules(), {}, now).empty());
}

TEST(PoolSizer, MovesLongIdleHostsToStandby)
{
    auto sizer = PoolSizer();
    auto hosts = std::vector<HostView>();
    for (std::size_t n = 0; n < 5; ++n)
        hosts.push_back(idleHost(n, "a"));
    auto now = BootTime(1h);
    // The pool has had its peak, on hosts that are idle now.
    auto loads = std::map<PoolName, PoolLoad>();
    loads[PoolName("a")].used = {30'000, 0, 0};
    EXPECT_TRUE(sizer.step(hosts, loads, poolRules(), {}, now).empty());
    now += PoolSizer::IdleBeforeStandby + 1ms;
    const auto moves = sizer.step(hosts, {}, poolRules(), {hostName(0)}, now);
    EXPECT_EQ(moves.size(), 3U); // half of the hosts may move at the same time
    for (const auto &it : moves) {
        EXPECT_EQ(it.to, PoolName("spare"));
        EXPECT_NE(it.host, hostName(0));
    }
}

// At the system's first start, the peak of a pool may come before any of its work was seen.
TEST(PoolSizer, KeepsIdleHostsOfAPoolWhoseDemandIsUnknown)
{
    auto now = BootTime(1h);
    const auto holdUntil = now + PoolSizer::UnknownDemandHold;
    auto sizer = PoolSizer(holdUntil);
    auto hosts = std::vector<HostView>();
    for (std::size_t n = 0; n < 5; ++n)
        hosts.push_back(idleHost(n, "a"));
    auto starting = hosts;
    for (auto &it : starting)
        it.report.state = HostState::Down;
    sizer.step(starting, {}, poolRules(), {}, now);
    sizer.step(hosts, {}, poolRules(), {}, now);
    now = holdUntil - 1ms;
    EXPECT_TRUE(sizer.step(hosts, {}, poolRules(), {}, now).empty());
    now = holdUntil;
    EXPECT_FALSE(sizer.step(hosts, {}, poolRules(), {}, now).empty());
}

// Stewards follow each other on a day with little work: idle hosts must not be paid for again after
// each change.
TEST(PoolSizer, HoldsNoIdleHostsAfterATakeover)
{
    auto sizer = PoolSizer();
    auto hosts = std::vector<HostView>();
    for (std::size_t n = 0; n < 5; ++n)
        hosts.push_back(idleHost(n, "a"));
    auto now = BootTime(1h);
    sizer.step(hosts, {}, poolRules(), {}, now);
    now += PoolSizer::IdleBeforeStandby + 1ms;
    EXPECT_FALSE(sizer.step(hosts, {}, poolRules(), {}, now).empty());
}

/// Returns one host in pool a and the others in standby, all idle.
auto hostsWithStandby(std::size_t count) -> std::vector<HostView>
{
    auto hosts = std::vector<HostView>{idleHost(0, "a")};
    for (std::size_t n = 1; n < count; ++n)
        hosts.push_back(idleHost(n, "spare"));
    return hosts;
}

// A peak begins: 40 jobs a second, of two dependent steps of 500 ms that each need half a host.
// Only the first step of each job is waiting or running when the moves are ordered.
TEST(PoolSizer, SizesAPoolForTheRateOfAcceptedWork)
{
    auto sizer = PoolSizer();
    const auto hosts = hostsWithStandby(60);
    auto loads = std::map<PoolName, PoolLoad>();
    auto &load = loads[PoolName("a")];
    auto now = BootTime(1h);
    sizer.step(hosts, loads, poolRules(), {}, now);
    now += 300ms; // 12 jobs later
    load.waiting = {60'000, 0, 0};
    load.used = {40'000, 0, 0};
    load.longRunning = {40'000, 0, 0};
    load.acceptedJobs = 12;
    load.acceptedWork = {60'000'000, 0, 0};
    const auto moves = sizer.step(hosts, loads, poolRules(), {}, now);
    // 40 jobs/s times 1 s times 5 cores, over 10 cores a host: 20 hosts, of which 14.2 are certain,
    // and 4 for long-running tasks. At the target utilization these are 21.5, and the tasks that
    // wait or run would need 11.8.
    EXPECT_EQ(moves.size(), 22U);
}

// One job of many wide tasks arrives at a quiet pool: it uses the hosts that its tasks need.
TEST(PoolSizer, TakesNoSingleLargeJobForARate)
{
    auto sizer = PoolSizer();
    const auto hosts = hostsWithStandby(60);
    auto loads = std::map<PoolName, PoolLoad>();
    auto &load = loads[PoolName("a")];
    auto now = BootTime(1h);
    sizer.step(hosts, loads, poolRules(), {}, now);
    now += 300ms;
    load.waiting = {17'000, 0, 0};
    load.acceptedJobs = 1;
    load.acceptedWork = {170'000'000, 0, 0};
    EXPECT_EQ(sizer.step(hosts, loads, poolRules(), {}, now).size(), 2U);
}

// Nine small jobs and a large one arrive, at a rate that only the large one makes high: its work
// isn't a peak, while ten alike jobs of the same work are.
TEST(PoolSizer, TakesNoLargeJobAmongSmallOnesForARate)
{
    constexpr auto SmallWork = 1'000'000.0;
    constexpr auto LargeWork = 91'000'000.0;
    const auto movesFor = [](double squares) {
        auto sizer = PoolSizer();
        const auto hosts = hostsWithStandby(60);
        auto loads = std::map<PoolName, PoolLoad>();
        auto &load = loads[PoolName("a")];
        auto now = BootTime(1h);
        sizer.step(hosts, loads, poolRules(), {}, now);
        now += 500ms;
        load.acceptedJobs = 10;
        load.acceptedWork = {100'000'000, 0, 0};
        load.acceptedSquares = squares;
        return sizer.step(hosts, loads, poolRules(), {}, now).size();
    };
    EXPECT_LE(movesFor(9 * SmallWork * SmallWork + LargeWork * LargeWork), 3U);
    EXPECT_GE(movesFor(10 * 1e7 * 1e7), 15U);
}

// After the peak the rate falls to nothing within the window.
TEST(PoolSizer, ForgetsTheRateOfAPeakThatIsOver)
{
    auto sizer = PoolSizer();
    const auto hosts = hostsWithStandby(20);
    auto loads = std::map<PoolName, PoolLoad>();
    auto now = BootTime(1h);
    sizer.step(hosts, loads, poolRules(), {}, now);
    loads[PoolName("a")].acceptedJobs = 100;
    loads[PoolName("a")].acceptedWork = {50'000'000, 0, 0};
    for (auto n = 0; n < 30; ++n) {
        now += 150ms;
        if (n < 29)
            sizer.step({}, loads, poolRules(), {}, now);
    }
    // A fraction of a host is left of the smoothed demand.
    EXPECT_LE(sizer.step(hosts, loads, poolRules(), {}, now).size(), PoolSizer::SpareHosts + 1);
}

// Half of the fleet is due for upkeep while a pool has its peak.
TEST(UpkeepPlanner, SpreadsAWaveOverItsTime)
{
    constexpr std::size_t Hosts = 100;
    constexpr std::uint32_t MaxConcurrent = 40;
    auto planner = UpkeepPlanner();
    auto wave = waveOf(Hosts, MaxConcurrent);
    wave.duration = 30s;
    planner.waveDeclared(wave, {});
    auto now = BootTime(1h);
    const auto start = now;
    auto hosts = std::vector<HostView>();
    for (std::size_t n = 0; n < Hosts; ++n)
        hosts.push_back(idleHost(n, "a"));
    auto downUntil = std::map<HostName, BootTime>();
    auto mostDown = std::size_t{0};
    for (; planner.hasWork() && now < start + 30s; now += 150ms) {
        for (auto &it : hosts) {
            const auto until = downUntil.find(it.report.host);
            const auto isDown = until != downUntil.end() && now < until->second;
            it.report.state = isDown ? HostState::InUpkeep : HostState::Up;
        }
        for (const auto &it : planner.step(hosts, {}, now, now + 1ms).start) {
            planner.startSent(it);
            planner.startAccepted(it, now);
            downUntil[it.host] = now + 2s;
        }
        const auto down =
            std::ranges::count_if(downUntil, [now](const auto &it) { return now < it.second; });
        mostDown = std::max(mostDown, static_cast<std::size_t>(down));
    }
    EXPECT_FALSE(planner.hasWork());
    EXPECT_LE(now - start, 25s);
    EXPECT_LE(mostDown, 20U); // 100 hosts of 2.6 s each in 18 s need 15 at the same time
}

// A steward that takes over doesn't know how much of the time is left.
TEST(UpkeepPlanner, DoesNotDelayAWaveThatAnEarlierStewardBegan)
{
    auto planner = UpkeepPlanner();
    auto wave = waveOf(10, 8);
    wave.duration = 100s;
    planner.waveDeclared(wave, {hostName(0)});
    auto hosts = std::vector<HostView>();
    for (std::size_t n = 0; n < 10; ++n)
        hosts.push_back(idleHost(n, "a"));
    const auto now = BootTime(1h);
    EXPECT_EQ(planner.step(hosts, {}, now, now + 1ms).start.size(), 8U);
}

auto emptyRecord(const std::string &job) -> std::optional<ProgressWriter::Entry>
{
    auto entry = ProgressWriter::Entry();
    entry.job = job;
    return entry;
}

TEST(ProgressWriter, WritesOneBatchAtATimeAndUrgentJobsFirst)
{
    auto writer = ProgressWriter();
    auto now = BootTime(1h);
    for (auto n = 0; n < 20; ++n)
        writer.changed("slow-" + std::to_string(n), WriteUrgency::Relaxed, now);
    writer.changed("urgent", WriteUrgency::Urgent, now);
    EXPECT_FALSE(writer.next(now, emptyRecord).has_value());
    now += ProgressWriter::UrgentDelay;
    const auto first = writer.next(now, emptyRecord);
    ASSERT_TRUE(first.has_value());
    EXPECT_EQ(first->front().job, "urgent");
    EXPECT_EQ(first->size(), ProgressWriter::MaxJobsPerWrite);
    now += 1s;
    EXPECT_FALSE(writer.next(now, emptyRecord).has_value());
    writer.stored(50);
    EXPECT_TRUE(writer.next(now, emptyRecord).has_value());
}

// A takeover changes the records of all jobs that run, and their writes take seconds. The crash of
// a suspect must not wait for them: the steward may die before.
TEST(ProgressWriter, WritesACrashBeforeABacklog)
{
    auto writer = ProgressWriter();
    auto now = BootTime(1h);
    for (auto n = 0; n < 200; ++n)
        writer.changed("urgent-" + std::to_string(n), WriteUrgency::Urgent, now);
    writer.changed("crash", WriteUrgency::Relaxed, now);
    now += 6s;
    writer.changed("crash", WriteUrgency::First, now);
    const auto first = writer.next(now, emptyRecord);
    ASSERT_TRUE(first.has_value());
    EXPECT_EQ(first->front().job, "crash");
    EXPECT_EQ(first->size(), ProgressWriter::MaxJobsPerWrite);
}

/// Returns how long it takes until the record of the job is written, at most a minute, while more
/// crashes of other jobs are recorded than can be written.
auto timeUntilWritten(ProgressWriter &writer, const std::string &job, BootTime now) -> Duration
{
    const auto begin = now;
    for (auto isWritten = false; !isWritten && now < begin + 60s; now += 10ms) {
        for (auto n = 0; n < 30; ++n)
            writer.changed("crashing-" + std::to_string(n), WriteUrgency::First, now);
        if (const auto batch = writer.next(now, emptyRecord)) {
            isWritten = std::ranges::find(*batch, job, &ProgressWriter::Entry::job) != batch->end();
            writer.stored(1);
        }
    }
    return now - begin;
}

// The records of crashes were written in the order of the ids of their jobs: while others went on
// changing, the last ones waited for ever, and so did their tasks.
TEST(ProgressWriter, WritesEachCrashWhileOthersGoOn)
{
    auto writer = ProgressWriter();
    const auto now = BootTime(1h);
    writer.changed("last", WriteUrgency::First, now);
    EXPECT_LE(timeUntilWritten(writer, "last", now), 100ms);
}

// The same for records of any other kind.
TEST(ProgressWriter, WritesEachRecordWhileCrashesGoOn)
{
    auto writer = ProgressWriter();
    const auto now = BootTime(1h);
    writer.changed("last", WriteUrgency::Relaxed, now);
    EXPECT_LE(timeUntilWritten(writer, "last", now), ProgressWriter::RelaxedDelay + 100ms);
}

// A crash in a write that failed was written after the backlog of all other records.
TEST(ProgressWriter, KeepsThePlaceOfACrashAfterAFailedWrite)
{
    for (const auto isConflict : {false, true}) {
        auto writer = ProgressWriter();
        auto now = BootTime(1h);
        writer.changed("crash", WriteUrgency::First, now);
        ASSERT_TRUE(writer.next(now, emptyRecord).has_value());
        for (auto n = 0; n < 200; ++n) {
            writer.changed("urgent-" + std::to_string(n), WriteUrgency::Urgent, now);
            writer.changed("other-crash-" + std::to_string(n), WriteUrgency::First, now);
        }
        now += 1s;
        if (isConflict) {
            writer.conflicted({}, now);
        } else {
            writer.failed(now);
            EXPECT_FALSE(writer.next(now, emptyRecord).has_value());
        }
        now += ProgressWriter::RetryDelay;
        const auto retried = writer.next(now, emptyRecord);
        ASSERT_TRUE(retried.has_value());
        EXPECT_EQ(retried->front().job, "crash");
    }
}

// The store refused each write with one record, for example because it is too large, and that
// record kept its place in each write: nothing else was written any more.
TEST(ProgressWriter, WritesOthersBesideARecordThatIsAlwaysRefused)
{
    for (const auto urgency : {WriteUrgency::First, WriteUrgency::Urgent}) {
        auto writer = ProgressWriter();
        auto now = BootTime(1h);
        writer.changed("refused", urgency, now);
        auto waiting = std::set<std::string>();
        for (auto n = 0; n < 100; ++n) {
            waiting.insert("job-" + std::to_string(n));
            writer.changed("job-" + std::to_string(n), WriteUrgency::Urgent, now);
        }
        auto tries = 0;
        for (const auto end = now + 10s; now < end; now += 10ms) {
            writer.changed("refused", urgency, now);
            const auto batch = writer.next(now, emptyRecord);
            if (!batch)
                continue;
            if (std::ranges::find(*batch, "refused", &ProgressWriter::Entry::job) != batch->end()) {
                ++tries;
                writer.failed(now);
                continue;
            }
            for (const auto &it : writer.stored(1))
                waiting.erase(it.job);
            if (now > end - 8s) {
                EXPECT_TRUE(waiting.empty());
            }
        }
        EXPECT_TRUE(waiting.empty());
        EXPECT_GT(tries, 5); // it is still tried
        EXPECT_LT(tries, 20);
    }
}

// Records that are refused after a second each took all writes in turn.
TEST(ProgressWriter, WritesACrashBesideSlowWritesThatAreRefused)
{
    auto writer = ProgressWriter();
    auto now = BootTime(1h);
    const auto isRefused = [](const auto &it) { return it.job.starts_with("refused"); };
    const auto write = [&] {
        const auto batch = writer.next(now, emptyRecord);
        now += batch ? 1s : 10ms;
        if (batch && std::ranges::any_of(*batch, isRefused)) {
            writer.failed(now);
            return ProgressWriter::Batch();
        }
        return batch ? writer.stored(1) : ProgressWriter::Batch();
    };
    for (auto n = 0; n < 5; ++n)
        writer.changed("refused-" + std::to_string(n), WriteUrgency::Urgent, now);
    for (const auto end = now + 60s; now < end;)
        write();
    writer.changed("crash", WriteUrgency::First, now);
    const auto changedAt = now;
    for (auto isWritten = false; !isWritten && now < changedAt + 10s;)
        isWritten = !write().empty();
    EXPECT_LE(now - changedAt, 3s);
}

// An outage must not keep the order of records from returning to normal.
TEST(ProgressWriter, WritesAllSoonAfterAnOutage)
{
    auto writer = ProgressWriter();
    auto now = BootTime(1h);
    auto waiting = std::set<std::string>();
    for (auto n = 0; n < 50; ++n) {
        waiting.insert("job-" + std::to_string(n));
        writer.changed("job-" + std::to_string(n), WriteUrgency::First, now);
    }
    for (const auto end = now + 20s; now < end; now += 10ms) {
        if (writer.next(now, emptyRecord))
            writer.failed(now);
    }
    const auto end = now + ProgressWriter::SetAsideDelay + 1s;
    for (; now < end && !waiting.empty(); now += 10ms) {
        if (!writer.next(now, emptyRecord))
            continue;
        for (const auto &it : writer.stored(1))
            waiting.erase(it.job);
    }
    EXPECT_TRUE(waiting.empty());
}

TEST(ProgressWriter, RetriesWithTheRevisionsOfAConflict)
{
    auto writer = ProgressWriter();
    auto now = BootTime(1h);
    writer.loaded("a", 10);
    writer.changed("a", WriteUrgency::Urgent, now);
    now += 1s;
    EXPECT_EQ(writer.next(now, emptyRecord)->front().revision, 10U);
    // The write is carried out without an answer, and refused when it is sent again.
    writer.failed(now);
    now += ProgressWriter::RetryDelay;
    EXPECT_EQ(writer.next(now, emptyRecord)->front().revision, 10U);
    writer.conflicted({{"a", 17}}, now);
    EXPECT_EQ(writer.next(now, emptyRecord)->front().revision, 17U);
}

// A member with 0.12 of a core must not get the key because it started 0.3 s before members with
// half a core.
TEST(Stewardship, DelaysMembersWithLittleProcessorTime)
{
    EXPECT_EQ(Stewardship::campaignDelay(0.5), 0ms);
    EXPECT_EQ(Stewardship::campaignDelay(1), 0ms);
    EXPECT_LE(Stewardship::campaignDelay(0.25), 150ms);
    EXPECT_GE(Stewardship::campaignDelay(0.12), 1'000ms);
    EXPECT_LE(Stewardship::campaignDelay(0.01), Stewardship::LeaseTime);
}

TEST(Stewardship, StopsBeforeAnotherMemberCanTakeOver)
{
    auto stewardship = Stewardship();
    const auto start = BootTime(1h);
    EXPECT_FALSE(stewardship.mayOrder(start));
    stewardship.acquired(9, start);
    EXPECT_TRUE(stewardship.mayOrder(start + 1s));
    EXPECT_FALSE(stewardship.mayOrder(start + Stewardship::LeaseTime));
    stewardship.renewed(start + 1s);
    EXPECT_TRUE(stewardship.mayOrder(start + Stewardship::LeaseTime));
    stewardship.renewed(start); // a late answer
    EXPECT_TRUE(stewardship.mayOrder(start + Stewardship::LeaseTime));
    EXPECT_TRUE(stewardship.mayRenewRuns(start + Stewardship::RunRenewalTimeout));
    EXPECT_FALSE(stewardship.mayRenewRuns(start + 1s + Stewardship::RunRenewalTimeout));
    stewardship.lost();
    EXPECT_FALSE(stewardship.mayRenewRuns(start));
}

TEST(LatencyGuard, SlowsNearTheTargetAndSpeedsUpBelowIt)
{
    EXPECT_EQ(LatencyGuard::nextSpeed(100, 1.2), 0);
    EXPECT_EQ(LatencyGuard::nextSpeed(100, 0.9), 50);
    EXPECT_EQ(LatencyGuard::nextSpeed(50, 0.7), 50);
    EXPECT_EQ(LatencyGuard::nextSpeed(95, 0.2), 100);
}

TEST(JobRecords, RoundTrip)
{
    auto spec = JobSpec();
    spec.id = "0123456789abcdef";
    spec.queue = QueueName("q");
    spec.payload = std::string("\0\xff text", 7);
    spec.steps.resize(2);
    spec.steps[1].after = {0};
    spec.steps[1].resources = {2'500, 64, 1};
    spec.teamLimit = {9'000, 0, 2};
    const auto decoded = decodeJob(encodeJob(spec));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded->payload, spec.payload);
    EXPECT_EQ(decoded->steps[1].resources, spec.steps[1].resources);
    EXPECT_EQ(decoded->teamLimit, spec.teamLimit);
    auto progress = JobProgress();
    progress.tasks.push_back({0, 1, 2, false, {3, 4}, "c", {{5, 1}}});
    const auto read = decodeProgress(encodeProgress(progress));
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->tasks.front().failedRuns, (std::vector<std::uint64_t>{3, 4}));
}

/// The entries that builds before PossibleCrash read and write.
struct EarlierTaskProgress
{
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    bool isDone = false;
    std::vector<std::uint64_t> failedRuns;
    std::string checkpoint;
    std::vector<CrashedRun> crashedRuns;

    MSGPACK_DEFINE(occurrence, step, index, isDone, failedRuns, checkpoint, crashedRuns)
};

TEST(JobRecords, AreReadableAcrossVersions)
{
    const auto earlier = EarlierTaskProgress{0, 1, 2, false, {3}, "c", {{5, 1, true}}};
    const auto read = unpackRecord<TaskProgress>(packRecord(earlier));
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->crashedRuns.at(0).run, 5U);
    EXPECT_TRUE(read->possibleCrashes.empty());
    const auto possible = PossibleCrash{6, 1, true, "worker", 7, "north"};
    const auto current = TaskProgress{0, 1, 2, false, {3}, "c", {{5, 1, true}}, {possible}};
    const auto again = unpackRecord<TaskProgress>(packRecord(current));
    ASSERT_TRUE(again.has_value());
    EXPECT_EQ(again->possibleCrashes.at(0).worker, "worker");
    EXPECT_EQ(again->possibleCrashes.at(0).dataCentre, "north");
    const auto back = unpackRecord<EarlierTaskProgress>(packRecord(current));
    ASSERT_TRUE(back.has_value());
    EXPECT_EQ(back->crashedRuns.at(0).run, 5U);
    EXPECT_EQ(back->index, 2U);
}

TEST(RecordCodec, RejectsAListLongerThanItsBytes)
{
    const auto bytes = std::string("\xdd\x7f\xff\xff\xff", 5); // a list of 2^31 - 1
    EXPECT_FALSE(unpackRecord<std::vector<std::uint64_t>>(bytes).has_value());
    EXPECT_THROW(unpackBounded(bytes), msgpack::unpack_error);
    const auto list = std::vector<std::uint64_t>{1, 2, 3};
    EXPECT_EQ(unpackRecord<std::vector<std::uint64_t>>(packRecord(list)), list);
}

RC_GTEST_PROP(JobRecords, DecodeArbitraryBytesWithoutACrash, (const std::string &bytes))
{
    static_cast<void>(decodeJob(bytes));
    static_cast<void>(decodeProgress(bytes));
}

// A stated time of years in each of many steps overflowed, and the job was due in the past.
TEST(JobRules, GiveADeadlineToTheLongestJob)
{
    constexpr auto LongestMilliseconds = 100'000'000'000;
    auto job = JobSpec();
    job.steps.resize(64);
    for (std::uint32_t n = 0; n < job.steps.size(); ++n) {
        job.steps[n].estimatedMilliseconds = LongestMilliseconds;
        job.steps[n].after = n == 0 ? std::vector<std::uint32_t>() : std::vector{n - 1};
    }
    ASSERT_TRUE(checkJob(job).has_value());
    auto rules = JobRules();
    rules.deadlineFactor = 1.6;
    const auto path = job.criticalPath([&job](std::size_t step) {
        return 8 * std::chrono::milliseconds(job.steps[step].estimatedMilliseconds);
    });
    EXPECT_GT(path, std::chrono::years(100));
    EXPECT_GT(rules.deadlineOf(path), std::chrono::years(40));
    EXPECT_GE(rules.usefulTimeOf(path), rules.deadlineOf(path));
}

TEST(JobRecords, InvalidJobsAreRefused)
{
    auto spec = JobSpec();
    EXPECT_EQ(checkJob(spec).error().kind, JobError::Kind::Malformed);
    spec.steps.resize(1);
    EXPECT_TRUE(checkJob(spec).has_value());
    spec.steps[0].after = {0};
    EXPECT_FALSE(checkJob(spec).has_value());
    spec.steps[0].after = {};
    spec.steps[0].taskCount = 0;
    EXPECT_FALSE(checkJob(spec).has_value());
    spec.steps[0].taskCount = 1;
    spec.steps[0].isGang = true;
    EXPECT_EQ(checkJob(spec).error().kind, JobError::Kind::Unsupported);
    spec.steps[0].isGang = false;
    spec.steps[0].resources.milliCores = -1;
    EXPECT_FALSE(checkJob(spec).has_value());
}

// Ten million tasks take gigabytes, and each steward in turn would read the job.
TEST(JobRecords, JobsThatDontFitIntoAMemberAreRefused)
{
    constexpr std::size_t StoredBytes = 1'048'576; // the largest value of the platform's store
    auto spec = JobSpec();
    spec.steps.resize(2);
    spec.steps[0].taskCount = 1'000;
    spec.steps[1].taskCount = 1'000;
    spec.occurrences = 10'000;
    EXPECT_EQ(checkJob(spec).error().kind, JobError::Kind::Malformed);
    EXPECT_FALSE(decodeJob(encodeJob(spec)).has_value());
    spec.occurrences = 11;
    EXPECT_FALSE(checkJob(spec).has_value());
    spec.occurrences = 10;
    EXPECT_TRUE(checkJob(spec).has_value());
    auto progress = JobProgress();
    for (std::uint32_t n = 0; n < 20'000; ++n) {
        progress.tasks.push_back(
            {n / 2'000, n / 1'000 % 2, n % 1'000, false, {n}, "00000bb87a21d94b", {{n, 1, true}}});
    }
    EXPECT_LT(encodeProgress(progress).size(), StoredBytes);
}

} // namespace

} // namespace shallotproxy
