// Measures the processor time of the steward's decisions against the number of workers, and of a
// full fleet against the number of open jobs, and that of decoding the reply of one worker to a
// poll. Usage: bench_steward [WORKERS...]

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <random>

#include <fmt/format.h>

#include "shallotproxy/job.hpp"
#include "wire.hpp"

namespace {

using namespace shallotproxy;
using namespace std::chrono_literals;

constexpr auto Pools = 4;
constexpr auto SimulatedTime = 10s;
constexpr auto RunTime = 640ms;
// Uses three quarters of the resources, with tasks of 5 cores.
constexpr auto JobsPerWorkerPerSecond = 0.25;
constexpr std::uint32_t TasksPerJob = 10;
constexpr auto WorkersOfFullFleet = 96;

/// Number of events and starts, and the processor time of the steward.
struct Cost
{
    std::uint64_t events = 0;
    std::uint64_t starts = 0;
    std::chrono::nanoseconds time{};
};

/// Simulates workers that accept every run and report its end.
class Fleet
{
public:
    explicit Fleet(int workers, std::uint64_t openJobs = 0)
        : m_steward(1, StewardSettings(), m_now)
        , m_active(static_cast<std::size_t>(workers))
    {
        auto rules = SchedulingRules();
        for (auto n = 0; n < Pools; ++n) {
            rules.pools[pool(n)] = {};
            rules.queues[QueueName(pool(n).value())] = {{3, 0, 1.6, 600}, pool(n)};
        }
        step(steward_event::Ticked{1'000'000});
        step(steward_event::RulesChanged{std::make_shared<const SchedulingRules>(rules)});
        for (auto n = 0; n < workers; ++n) {
            auto report = WorkerReport();
            report.name = WorkerName(std::to_string(n));
            report.pool = pool(n % Pools);
            report.capacity = {64'000, 128'000, 0};
            step(steward_event::WorkerReported{report});
        }
        m_steward.expectWorkers({});
        for (auto n = std::uint64_t{0}; n < openJobs; ++n)
            submit();
        m_cost = {};
    }

    auto run() -> Cost
    {
        auto dueJobs = 0.0;
        for (const auto end = m_now + SimulatedTime; m_now < end; m_now += 10ms) {
            dueJobs += JobsPerWorkerPerSecond * static_cast<double>(m_active.size()) / 100;
            for (; dueJobs >= 1; dueJobs -= 1)
                submit();
            for (std::size_t n = 0; n < m_active.size(); ++n)
                reportEndedRuns(n);
            step(steward_event::PlacementDue());
            if (++m_rounds % 10 == 0)
                step(steward_event::Ticked{1'000'000});
        }
        return m_cost;
    }

private:
    static auto pool(int number) -> PoolName { return PoolName("pool-" + std::to_string(number)); }

    auto submit() -> void
    {
        auto job = JobSpec();
        job.id = fmt::format("{:016x}", ++m_jobs);
        job.queue = QueueName(pool(static_cast<int>(m_jobs % Pools)).value());
        job.steps.resize(1);
        job.steps[0].taskCount = TasksPerJob;
        job.steps[0].resources = {4'000 + static_cast<std::int64_t>(m_random() % 3'000), 6'000, 0};
        job.steps[0].estimatedMilliseconds = 640;
        step(steward_event::JobAccepted{job, {}, false});
    }

    auto reportEndedRuns(std::size_t worker) -> void
    {
        auto &active = m_active[worker];
        auto poll = steward_event::WorkerPolled();
        for (auto n = active.size(); n-- > 0;) {
            if (active[n].second > m_now)
                continue;
            poll.ended.push_back(
                {++m_sequence, active[n].first.task, active[n].first.run, RunEnd::Done, {}});
            active.erase(active.begin() + static_cast<std::ptrdiff_t>(n));
        }
        if (poll.ended.empty() && m_rounds > 0)
            return;
        poll.worker = WorkerName(std::to_string(worker));
        poll.sentAt = m_now;
        poll.clockMilliseconds = 1;
        for (const auto &it : active)
            poll.active.push_back(it.first);
        step(poll);
    }

    auto step(const StewardEvent &event) -> void
    {
        const auto started = std::chrono::steady_clock::now();
        const auto actions = m_steward.step(event, m_now);
        m_cost.time += std::chrono::steady_clock::now() - started;
        ++m_cost.events;
        for (const auto &action : actions) {
            if (const auto *start = std::get_if<steward_action::StartRun>(&action))
                acceptStart(*start);
            if (const auto *persist = std::get_if<steward_action::PersistProgress>(&action)) {
                if (const auto record = m_steward.record(persist->job))
                    m_persisted.emplace_back(persist->job, record->change);
            }
        }
        for (const auto &[job, change] : std::exchange(m_persisted, {}))
            m_steward.step(steward_event::ProgressPersisted{job, change}, m_now);
    }

    auto acceptStart(const steward_action::StartRun &start) -> void
    {
        ++m_cost.starts;
        const auto worker = static_cast<std::size_t>(std::stoul(start.worker.value()));
        m_active[worker].push_back({{start.task, start.run, {}, 0, 0}, m_now + RunTime});
        step(steward_event::StartAnswered{start.worker, start.task, start.run,
                                          OrderOutcome::Accepted, 1});
    }

    BootTime m_now{1h};
    std::mt19937 m_random{7};
    Steward m_steward;
    std::vector<std::vector<std::pair<ActiveRun, BootTime>>> m_active;
    std::vector<std::pair<std::string, std::uint64_t>> m_persisted;
    std::uint64_t m_jobs = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_rounds = 0;
    Cost m_cost;
};

auto measurePollDecoding() -> void
{
    constexpr auto RunsPerReply = 12;
    constexpr auto Repetitions = 20'000;
    auto body = std::string(R"({"clock_ms":482113,"born":1,"active":[)");
    for (auto n = 0; n < RunsPerReply; ++n) {
        body += fmt::format(R"({}["5c0e7a21d94b36f8.0.1.{}",3002,"",{},3306])", n == 0 ? "" : ",",
                            n, n);
    }
    body += R"(],"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";
    const auto started = std::chrono::steady_clock::now();
    auto decodedRuns = std::size_t{0};
    for (auto n = 0; n < Repetitions; ++n)
        decodedRuns += platform::decodePollReply(WorkerName("w"), body)->active.size();
    const auto time = std::chrono::steady_clock::now() - started;
    fmt::print("a look of {} rows, {} bytes: {:.1f} us\n", decodedRuns / Repetitions, body.size(),
               std::chrono::duration<double, std::micro>(time).count() / Repetitions);
}

} // namespace

auto main(int argc, char **argv) -> int
{
    auto sizes = std::vector<int>();
    for (auto n = 1; n < argc; ++n)
        sizes.push_back(std::atoi(argv[n]));
    if (sizes.empty())
        sizes = {48, 96, 192, 384};
    const auto printCost = [](std::uint64_t size, const Cost &cost) {
        const auto seconds = std::chrono::duration<double>(cost.time).count();
        const auto time = std::chrono::duration<double>(SimulatedTime).count();
        fmt::print("{:9}  {:8.0f}  {:16.4f}  {:13.1f}\n", size,
                   static_cast<double>(cost.starts) / time, seconds / time,
                   seconds * 1e6 / static_cast<double>(cost.starts));
    };
    fmt::print("  workers  starts/s  decisions: cores   us per start\n");
    for (const auto workers : sizes)
        printCost(static_cast<std::uint64_t>(workers), Fleet(workers).run());
    fmt::print("open jobs  starts/s  decisions: cores   us per start\n");
    for (const auto openJobs : {1'000U, 10'000U, 100'000U})
        printCost(openJobs, Fleet(WorkersOfFullFleet, openJobs).run());
    measurePollDecoding();
    return 0;
}
