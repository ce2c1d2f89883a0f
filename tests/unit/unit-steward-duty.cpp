#include <gtest/gtest.h>

#include "fake_fleet.hpp"
#include "fake_ports.hpp"
#include "qt_loop.hpp"
#include "wire.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

const auto worker = WorkerName("worker-0");

/// Returns the registration of a worker, as the platform writes it.
auto registration(std::int64_t startedMilliseconds) -> std::string
{
    return fmt::format(
        R"({{"service":"{}","address":"127.0.0.1:9","zone":"north","state":"ready","labels":[],)"
        R"("capacity":{{"cpu":8000,"mem_mb":16000,"gpu":0}},"born":{}}})",
        test::TestPool, startedMilliseconds);
}

/// A member that holds the steward's key, on simulated ports, with one worker.
class SingleMember
{
public:
    explicit SingleMember(const std::function<void(test::FakeRecordStore &)> &prepare = {},
                          const RuntimeSettings &settings = {})
    {
        context.settings = settings;
        if (prepare)
            prepare(store);
        test::ensureApplication();
        auto declaration = std::make_shared<FleetDeclaration>();
        declaration->version = 1;
        declaration->rules = *test::testRules(2);
        context.fleet.declarationCache.update(declaration);
        context.fleet.declarationCache.confirmed(BootClock::now() + 1h);
        auto host = HostReport();
        host.host = HostName("host-0");
        host.pool = PoolName(test::TestPool);
        host.state = HostState::Up;
        host.worker = worker;
        hosts.hosts = {host};
        store.put(WorkerKey, registration(1));
        duty.start();
        EXPECT_TRUE(test::runUntil([this] { return workers.polls[worker] > 0; }));
    }

    /// Adds a job with one task and returns whether it starts.
    auto startsTasks() -> bool
    {
        const auto before = workers.starts[worker];
        const auto id = "job-" + std::to_string(m_nextJob++);
        store.put("jobs/" + id, encodeJob(test::oneStepJob(id, test::shortStep(1))));
        return test::runUntil([this, before] { return workers.starts[worker] > before; });
    }

    /// Declares a wave that includes the worker's host.
    auto declareWave() -> void
    {
        auto wave = UpkeepWave();
        wave.number = 1;
        wave.hosts = {hosts.hosts.front().host};
        wave.duration = 1min;
        context.fleet.wavesByKey["wave"] = wave;
        duty.declarationsChanged();
    }

    auto withdrawWave() -> void
    {
        context.fleet.wavesByKey.clear();
        duty.declarationsChanged();
    }

    [[nodiscard]] auto isDraining() -> bool
    {
        const auto load = duty.steward()->workerLoad(worker);
        return load && load->isDraining;
    }

    static constexpr auto WorkerKey = "servers/worker-0";

    test::FakeRecordStore store;
    test::FakeWorkerPort workers;
    test::FakeHostPort hosts;
    platform::JsonRecordCodec records;
    platform::JsonCallerCodec codec;
    EventLog log{"test"};
    Metrics metrics;
    RuntimeContext context{
        RuntimeSettings(), ObservedStore(store), workers, hosts, records, codec, log,
        metrics,           FleetState(4s)};
    QObject parent;
    StewardDuty duty{context, &parent};

private:
    int m_nextJob = 0;
};

// Another writer's entries stand among those of the workers when they are read, come and change
// later: the worker behind them in the list goes on to get work.
TEST(StewardDuty, GivesWorkToWorkersBesideOddRegistrations)
{
    auto member = SingleMember();
    const auto valid = registration(1);
    auto entries = std::vector<std::string>{"",
                                            "{",
                                            "\xff\xfe",
                                            "[]",
                                            "null",
                                            "1e400",
                                            std::string(1'000'000, '['),
                                            std::string(1'000'000, 'x')};
    for (const auto *it : {"0", "70000", "-1", "x"}) {
        auto text = valid;
        entries.push_back(text.replace(text.find(":9"), 2, fmt::format(":{}", it)));
    }
    for (const auto *it : {"1e400", "1e300", "-1", "9223372036854775808"}) {
        auto text = valid;
        entries.push_back(text.replace(text.find("8000"), 4, it));
    }
    for (std::size_t n = 0; n < entries.size(); ++n) {
        member.store.put(fmt::format("servers/a-{}", n), entries[n]);
        member.store.put(fmt::format("servers/z-{}", n), entries[n]);
    }
    EXPECT_TRUE(member.startsTasks());
    member.store.compact();
    EXPECT_TRUE(member.startsTasks());
    for (std::size_t n = 0; n < entries.size(); ++n)
        member.store.put("servers/a-0", n % 2 == 0 ? valid : entries[n]);
    EXPECT_TRUE(member.startsTasks());
    EXPECT_EQ(member.workers.polls.size(), 2U); // the odd ones are asked nothing
}

// A worker that was cut off for a while got no work any more: its registration came back unchanged.
TEST(StewardDuty, GivesWorkToAWorkerWhoseRegistrationReturnsUnchanged)
{
    auto member = SingleMember();
    ASSERT_TRUE(member.startsTasks());
    member.store.remove(SingleMember::WorkerKey);
    test::runFor(50);
    member.store.put(SingleMember::WorkerKey, registration(1));
    EXPECT_TRUE(member.startsTasks());
}

// The same after the registration was unreadable for a time.
TEST(StewardDuty, GivesWorkToAWorkerWhoseRegistrationIsReadableAgain)
{
    auto member = SingleMember();
    member.store.put(SingleMember::WorkerKey, "{");
    test::runFor(50);
    member.store.put(SingleMember::WorkerKey, registration(1));
    EXPECT_TRUE(member.startsTasks());
}

// The same if the steward learned of the removal by reading all registrations again.
TEST(StewardDuty, GivesWorkToAWorkerThatWasMissingWhenRegistrationsWereReadAgain)
{
    auto member = SingleMember();
    member.store.remove(SingleMember::WorkerKey);
    member.store.compact();
    test::runFor(50);
    member.store.put(SingleMember::WorkerKey, registration(1));
    EXPECT_TRUE(member.startsTasks());
}

// A steward that couldn't read what earlier ones had learned of run times wrote over it two seconds
// later.
TEST(StewardDuty, KeepsWhatWasLearnedOfRunTimesWhenAReadFails)
{
    constexpr auto Runs = 50;
    auto learned = RunTimes();
    for (auto n = 0; n < Runs; ++n)
        learned.observe({QueueName("quotes"), TeamName("blue"), 1s}, {}, 3s);
    const auto before = learned.encode();
    auto member = SingleMember([&before](test::FakeRecordStore &store) {
        store.put("run-times", before);
        store.failedReads = 1;
    });
    const auto kept = std::make_shared<std::string>(before); // answers may come after the test
    const auto isWritten = [&] {
        member.store.read("run-times",
                          [kept](const auto &reply) { *kept = reply->records.front().value; });
        return *kept != before || !member.startsTasks();
    };
    ASSERT_TRUE(test::runUntil(isWritten, 10'000));
    const auto decoded = RunTimes::decode(*kept);
    ASSERT_TRUE(decoded && *kept != before);
    EXPECT_GT(decoded->sampleCount(QueueName("quotes")), Runs);
}

TEST(StewardDuty, CountsTasksThatWait)
{
    auto member = SingleMember();
    auto step = test::longRunningStep(1);
    step.resources = test::workerReport(0).capacity + Resources{1, 0, 0};
    member.store.put("jobs/large", encodeJob(test::oneStepJob("large", step)));
    const auto isCounted = [&member] {
        return member.metrics.exposition().find(
                   R"(shallotproxy_waiting_tasks_total{reason="no-room"} 1)")
            != std::string::npos;
    };
    EXPECT_TRUE(test::runUntil(isCounted, 10'000));
}

// A member of the first start that became the steward after another one ordered hosts at once, so
// that two stewards ordered a host within its lease.
TEST(StewardDuty, OrdersNoHostWithinTheLeaseOfAnEarlierSteward)
{
    auto settings = RuntimeSettings();
    settings.isFirstStart = true;
    settings.hostLeaseDuration = 1s;
    auto member = SingleMember({}, settings);
    member.declareWave();
    test::runFor(700);
    EXPECT_EQ(member.hosts.upkeepOrders, 0U);
    EXPECT_TRUE(test::runUntil([&] { return member.hosts.upkeepOrders > 0; }));
}

// The workers of a wave that was withdrawn stayed drained.
TEST(StewardDuty, GivesWorkToTheWorkersOfAWithdrawnWave)
{
    auto settings = RuntimeSettings();
    settings.hostLeaseDuration = 1ms;
    auto member = SingleMember({}, settings);
    member.declareWave();
    ASSERT_TRUE(test::runUntil([&] { return member.isDraining(); }));
    member.withdrawWave();
    EXPECT_FALSE(member.isDraining());
    EXPECT_TRUE(member.startsTasks());
}

} // namespace

} // namespace shallotproxy
