#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <limits>
#include <random>
#include <vector>

#include <gtest/gtest.h>

#include "shallotproxy/demand.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;
using Seconds = std::chrono::duration<double>;

const auto queue = QueueName("queue");
const auto honestTeam = TeamName("honest");
const auto liarTeam = TeamName("liar");

auto scaled(Duration time, double factor) -> Duration
{
    return std::chrono::duration_cast<Duration>(Seconds(time) * factor);
}

/// Runs of a queue whose actual times vary around a mean, and what submitters state of them.
class Workload
{
public:
    explicit Workload(double spread, double misstatement)
        : m_actual(0, spread)
        , m_error(0, misstatement)
    { }

    auto nextActual(Duration mean = 1s) -> Duration { return scaled(mean, draw(m_actual)); }
    auto stated(Duration actual) -> Duration { return scaled(actual, draw(m_error)); }

private:
    auto draw(std::normal_distribution<double> &distribution) -> double
    {
        return std::exp(distribution(m_random));
    }

    std::mt19937 m_random{7};
    std::normal_distribution<double> m_actual;
    std::normal_distribution<double> m_error;
};

auto errorOf(Duration predicted, Duration actual) -> double
{
    return std::abs(std::log(Seconds(predicted) / Seconds(actual)));
}

/// Returns the mean error of the forecasts of 300 runs after 100, and that of what was stated.
auto errorsOf(Workload workload, const std::function<Duration(Duration)> &bias = std::identity())
    -> std::pair<double, double>
{
    constexpr auto Warmup = 100;
    constexpr auto Runs = 300;
    auto times = RunTimes();
    auto learned = 0.0;
    auto stated = 0.0;
    for (auto n = 0; n < Warmup + Runs; ++n) {
        const auto actual = workload.nextActual();
        const auto shape = RunShape{queue, honestTeam, bias(workload.stated(actual))};
        if (n >= Warmup) {
            learned += errorOf(times.forecast(shape).expected, actual) / Runs;
            stated += errorOf(shape.stated, actual) / Runs;
        }
        times.observe(shape, {}, actual);
    }
    return {learned, stated};
}

TEST(RunTimes, ExpectsWhatIsStatedUntilSomethingWasSeen)
{
    const auto times = RunTimes();
    const auto shape = RunShape{queue, honestTeam, 700ms};
    EXPECT_EQ(times.forecast(shape).expected, 700ms);
    EXPECT_EQ(times.forecast(shape).upper, 700ms);
    EXPECT_EQ(times.forecast({queue, honestTeam, {}}).expected, 0ms);
}

TEST(RunTimes, KeepsExactStatements)
{
    const auto [learned, stated] = errorsOf(Workload(0.5, 0));
    EXPECT_LE(stated, 1e-6);
    EXPECT_LE(learned, 0.1);
}

TEST(RunTimes, CorrectsStatementsThatAreOffByAFactor)
{
    const auto [learned, stated] =
        errorsOf(Workload(0.5, 0.1), [](Duration time) { return 3 * time; });
    EXPECT_LE(learned, stated / 4);
}

// Random statements are believed as little as they deserve.
TEST(RunTimes, HalvesTheErrorOfRandomStatements)
{
    const auto [learned, stated] = errorsOf(Workload(0.3, 1.2));
    EXPECT_LE(learned, stated / 2);
}

TEST(RunTimes, ExpectsTheTasksOfAStepToBeAlike)
{
    auto times = RunTimes();
    auto workload = Workload(0.8, 1);
    for (auto n = 0; n < 50; ++n) {
        const auto level = workload.nextActual();
        auto finished = StepWitness();
        for (auto task = 0; task < 8; ++task) {
            const auto actual = scaled(level, 1 + 0.02 * task);
            times.observe({queue, honestTeam, 1s}, finished, actual);
            finished.add(actual);
        }
    }
    auto finished = StepWitness();
    finished.add(5s);
    const auto forecast = times.forecast({queue, honestTeam, 200ms}, finished);
    EXPECT_LE(errorOf(forecast.expected, 5s), 0.2);
    EXPECT_GE(forecast.upper, forecast.expected);
}

// The first task of a step to end is the shortest: if it alone counted, all would be taken for
// short.
TEST(RunTimes, CountsAllTasksOfAStep)
{
    constexpr auto Tasks = 8;
    auto times = RunTimes();
    auto workload = Workload(0.5, 0);
    auto sum = Seconds();
    auto count = 0;
    const auto shape = RunShape{queue, honestTeam, 1s, Tasks};
    for (auto n = 0; n < 100; ++n) {
        auto tasks = std::vector<Duration>();
        for (auto task = 0; task < Tasks; ++task)
            tasks.push_back(workload.nextActual());
        std::ranges::sort(tasks);
        auto finished = StepWitness();
        for (const auto actual : tasks) {
            times.observe(shape, finished, actual);
            finished.add(actual);
            sum += actual;
            ++count;
        }
    }
    const auto mean = std::chrono::duration_cast<Duration>(sum / count);
    EXPECT_LE(errorOf(times.forecast(shape).expected, mean), 0.1);
}

TEST(RunTimes, FollowsWorkThatChanges)
{
    auto times = RunTimes();
    const auto shape = RunShape{queue, honestTeam, 1s};
    for (auto n = 0; n < 500; ++n)
        times.observe(shape, {}, 1s);
    for (auto n = 0; n < 200; ++n)
        times.observe(shape, {}, 4s);
    EXPECT_LE(errorOf(times.forecast(shape).expected, 4s), 0.35);
}

// A run that was stopped early says that others take at least as long, and never that they are
// short.
TEST(RunTimes, TakesRunsThatWereEndedEarlyAsALowerBound)
{
    auto times = RunTimes();
    const auto shape = RunShape{queue, honestTeam, 1s};
    for (auto n = 0; n < 50; ++n)
        times.observe(shape, {}, 1s);
    const auto before = times.forecast(shape).expected;
    times.observeAtLeast(shape, {}, 50ms);
    EXPECT_EQ(times.forecast(shape).expected, before);
    for (auto n = 0; n < 50; ++n)
        times.observeAtLeast(shape, {}, 6s);
    EXPECT_GE(times.forecast(shape).expected, 3 * before);
}

// Two teams with the same work: what one states lower, or higher, gains it nothing for long.
TEST(RunTimes, GivesATeamThatMisstatesNoAdvantage)
{
    for (const auto factor : {0.25, 4.0}) {
        auto times = RunTimes();
        auto workload = Workload(0.4, 0.2);
        for (auto n = 0; n < 60; ++n) {
            const auto honest = workload.nextActual();
            times.observe({queue, honestTeam, workload.stated(honest)}, {}, honest);
            const auto lied = workload.nextActual();
            times.observe({queue, liarTeam, scaled(workload.stated(lied), factor)}, {}, lied);
        }
        const auto honest = times.forecast({queue, honestTeam, 1s}).expected;
        const auto lied = times.forecast({queue, liarTeam, scaled(1s, factor)}).expected;
        EXPECT_LE(errorOf(lied, honest), 0.35) << factor;
    }
}

TEST(RunTimes, SurviveTheirEncoding)
{
    auto times = RunTimes();
    auto workload = Workload(0.5, 0.5);
    for (auto n = 0; n < 40; ++n) {
        const auto actual = workload.nextActual();
        times.observe({queue, n % 2 == 0 ? honestTeam : liarTeam, workload.stated(actual)}, {},
                      actual);
    }
    const auto decoded = RunTimes::decode(times.encode());
    ASSERT_TRUE(decoded);
    const auto shape = RunShape{queue, liarTeam, 2s};
    EXPECT_EQ(decoded->forecast(shape).expected, times.forecast(shape).expected);
    EXPECT_EQ(decoded->forecast(shape).upper, times.forecast(shape).upper);
    EXPECT_FALSE(RunTimes::decode("no run times"));
}

/// Returns a record of run times of one queue with one team, as another writer may have left it.
auto recordOf(std::array<double, 6> line, std::array<double, 2> step, std::array<double, 2> team)
    -> std::string
{
    auto buf = msgpack::sbuffer();
    auto packer = msgpack::packer(buf);
    packer.pack_map(1);
    packer.pack_array(1);
    packer.pack(queue.value());
    packer.pack_array(4);
    packer.pack(line);
    packer.pack(step[0]);
    packer.pack(step[1]);
    packer.pack_map(1);
    packer.pack_array(1);
    packer.pack(honestTeam.value());
    packer.pack(team);
    return {buf.data(), buf.size()};
}

// Huge values in a record led to forecasts that aren't numbers, and to deadlines beyond all clocks.
TEST(RunTimes, RefuseRecordsThatAreOutOfRange)
{
    constexpr auto Huge = 1e300;
    const auto valid = std::array<double, 6>{20, 0, 1, 0.5, 0.5, 0.2};
    EXPECT_TRUE(RunTimes::decode(recordOf(valid, {0.1, 5}, {3, 0.5})));
    for (const auto odd : {Huge, -Huge, std::numeric_limits<double>::infinity(),
                           std::numeric_limits<double>::quiet_NaN(), 1e4, -1e4}) {
        for (std::size_t n = 0; n < valid.size(); ++n) {
            auto line = valid;
            line.at(n) = odd;
            EXPECT_FALSE(RunTimes::decode(recordOf(line, {0.1, 5}, {3, 0.5}))) << n << ' ' << odd;
        }
        EXPECT_FALSE(RunTimes::decode(recordOf(valid, {odd, 5}, {3, 0.5}))) << odd;
        EXPECT_FALSE(RunTimes::decode(recordOf(valid, {0.1, odd}, {3, 0.5}))) << odd;
        EXPECT_FALSE(RunTimes::decode(recordOf(valid, {0.1, 5}, {odd, 0.5}))) << odd;
        EXPECT_FALSE(RunTimes::decode(recordOf(valid, {0.1, 5}, {3, odd}))) << odd;
    }
}

// Whatever is observed, forecasts stay in a range of which deadlines can be computed, the upper
// bound isn't below the mean, and the record can be read.
TEST(RunTimes, StayWithinRange)
{
    auto times = RunTimes();
    auto random = std::mt19937(3);
    const auto extremes = std::array<Duration, 6>{
        Duration::min(), Duration(-1), Duration(), 1ns, 1h, Duration::max()};
    auto pick = std::uniform_int_distribution<std::size_t>(0, extremes.size() - 1);
    for (auto n = 0; n < 2'000; ++n) {
        auto witness = StepWitness();
        if (n % 3 == 0)
            witness.add(extremes.at(pick(random)));
        const auto shape = RunShape{queue, TeamName(std::to_string(n)), extremes.at(pick(random))};
        times.observe(shape, witness, extremes.at(pick(random)));
        times.observeAtLeast(shape, witness, extremes.at(pick(random)));
        const auto forecast = times.forecast(shape, witness);
        EXPECT_GE(forecast.expected, 0s);
        EXPECT_LE(forecast.expected, 1'000'000s);
        EXPECT_GE(forecast.upper, forecast.expected);
        EXPECT_LE(forecast.upper, 1'000'000s);
    }
    EXPECT_TRUE(RunTimes::decode(times.encode()));
    EXPECT_LE(times.encode().size(), 100'000U); // the teams of a queue are bounded
}

TEST(RunTimes, ForgetQueuesAndTeamsThatAreGone)
{
    auto times = RunTimes();
    for (auto n = 0; n < 10; ++n)
        times.observe({queue, honestTeam, 1s}, {}, 3s);
    const auto isAny = [](const auto &) { return true; };
    times.retain([](const QueueName &) { return false; }, isAny);
    EXPECT_EQ(times.sampleCount(queue), 0);
    EXPECT_EQ(times.forecast({queue, honestTeam, 1s}).expected, 1s);
}

} // namespace

} // namespace shallotproxy
