#include <algorithm>
#include <array>
#include <cmath>
#include <iostream>
#include <queue>
#include <random>
#include <set>

#include <fmt/format.h>

#include "shallotproxy/job.hpp"
#include "shallotproxy/job/waiting_order.hpp"

// Decisions on the same load with stated, learned and true run times: the order of waiting work,
// and the work by which a pool is sized.

namespace {

using namespace shallotproxy;
using namespace std::chrono_literals;
using Seconds = std::chrono::duration<double>;

constexpr int Slots = 64;
constexpr int Queues = 5;
constexpr int Teams = 4;
constexpr int JobCount = 4'000;
constexpr double Load = 1.05; // of what the pool can do; peaks are higher
constexpr auto SizeWindow = 5s;
constexpr int Seeds = 3;

struct BenchJob
{
    RunShape shape;
    Duration submittedAt{};
    std::vector<Duration> tasks; // the true run times
};

/// How far statements are off.
struct Misstatement
{
    std::string_view name;
    double random = 0; // standard deviation of the logarithm
    double byTeam = 0; // the same for the teams' habits
    /// The work takes this many times as long from the middle of the load on, as stated before.
    double change = 1;
};

auto seconds(double value) -> Duration
{
    return std::chrono::duration_cast<Duration>(Seconds(value));
}

auto recordLoad(const Misstatement &misstatement, std::uint32_t seed) -> std::vector<BenchJob>
{
    auto random = std::mt19937(seed);
    auto normal = std::normal_distribution<double>();
    const auto drawFactor = [&](double deviation) { return std::exp(deviation * normal(random)); };
    auto habits = std::vector<double>();
    for (auto n = 0; n < Teams; ++n)
        habits.push_back(drawFactor(misstatement.byTeam));
    auto jobs = std::vector<BenchJob>();
    auto at = 0.0;
    for (auto n = 0; n < JobCount; ++n) {
        const auto queue = static_cast<int>(random() % Queues);
        const auto team = random() % Teams;
        auto job = BenchJob();
        const auto level = 0.2 * std::pow(1.7, queue) * drawFactor(0.5);
        const auto hasChanged = n >= JobCount / 2;
        const auto stated = level * drawFactor(misstatement.random) * habits[team];
        job.shape = {QueueName(fmt::format("queue-{}", queue)),
                     TeamName(fmt::format("team-{}", team)), seconds(stated)};
        auto work = 0.0;
        for (auto task = random() % 8 + 1; task > 0; --task) {
            const auto time = level * drawFactor(0.1) * (hasChanged ? misstatement.change : 1.0);
            job.tasks.push_back(seconds(time));
            work += time;
        }
        job.shape.taskCount = static_cast<std::uint32_t>(job.tasks.size());
        job.submittedAt = seconds(at);
        // Half of the time arrivals are three times as dense as otherwise.
        const auto isPeak = std::fmod(at, 40.0) < 20.0;
        at += work / Slots / Load / (isPeak ? 1.5 : 0.5);
        jobs.push_back(std::move(job));
    }
    return jobs;
}

enum class Source { Stated, Learned, True };

struct Result
{
    double inTime = 0;
    double meanWaitSeconds = 0;
    double sizeError = 0; // mean relative error of the work of a window
};

class Simulation
{
public:
    Simulation(const std::vector<BenchJob> &jobs, Source source)
        : m_jobs(jobs)
        , m_source(source)
        , m_states(jobs.size())
    { }

    auto run() -> Result
    {
        auto next = std::size_t{0};
        while (next < m_jobs.size() || !m_ends.empty()) {
            const auto arrives = next < m_jobs.size()
                && (m_ends.empty() || m_jobs[next].submittedAt <= m_ends.top().at);
            if (arrives) {
                m_now = m_jobs[next].submittedAt;
                accept(next++);
            } else {
                finish();
            }
            place();
        }
        closeWindow();
        const auto count = static_cast<double>(m_jobs.size());
        return {m_inTime / count, m_waits / count, m_windowErrors / m_windows};
    }

private:
    struct State
    {
        std::size_t started = 0;
        std::size_t done = 0;
        StepWitness finished;
    };

    struct End
    {
        Duration at{};
        std::size_t job = 0;
        std::size_t task = 0;

        auto operator>(const End &other) const -> bool { return at > other.at; }
    };

    [[nodiscard]] auto forecast(std::size_t number) const -> Duration
    {
        const auto &job = m_jobs[number];
        if (m_source == Source::Stated)
            return job.shape.stated;
        if (m_source == Source::Learned)
            return m_times.forecast(job.shape, m_states[number].finished).expected;
        return std::ranges::max(job.tasks);
    }

    auto add(std::size_t number) -> void
    {
        const auto time = forecast(number);
        auto step = WaitingStep();
        step.id.job = number + 1;
        step.submittedAt = BootTime(m_jobs[number].submittedAt);
        step.remainingWork = time;
        step.deadline = step.submittedAt + seconds(Seconds(time).count() * 1.6) + 600ms;
        step.usefulUntil = step.submittedAt + (step.deadline - step.submittedAt) * 3;
        m_waiting.add(step, number);
    }

    auto accept(std::size_t number) -> void
    {
        while (m_now >= m_windowEnd)
            closeWindow();
        const auto &job = m_jobs[number];
        const auto count = static_cast<double>(job.tasks.size());
        auto work = 0.0;
        for (const auto &it : job.tasks)
            work += Seconds(it).count();
        m_actual += work;
        m_predicted += m_source == Source::True ? work : Seconds(forecast(number)).count() * count;
        add(number);
    }

    auto closeWindow() -> void
    {
        if (m_actual > 0) {
            m_windowErrors += std::abs(m_predicted - m_actual) / m_actual;
            ++m_windows;
        }
        m_predicted = 0;
        m_actual = 0;
        m_windowEnd += SizeWindow;
    }

    auto place() -> void
    {
        const auto placeTasks = [this](std::size_t number) {
            auto &state = m_states[number];
            const auto &tasks = m_jobs[number].tasks;
            while (state.started < tasks.size()) {
                if (m_used == Slots)
                    return StepVisit::Stop;
                ++m_used;
                m_ends.push({m_now + tasks[state.started], number, state.started});
                ++state.started;
            }
            m_placed.push_back(number);
            return StepVisit::Placed;
        };
        m_waiting.visit(
            BootTime(m_now), [](const TeamName &) { return 1.0; }, placeTasks);
        for (const auto number : std::exchange(m_placed, {}))
            m_waiting.remove({number + 1, 0, 0});
    }

    auto finish() -> void
    {
        const auto end = m_ends.top();
        m_ends.pop();
        m_now = end.at;
        --m_used;
        const auto &job = m_jobs[end.job];
        auto &state = m_states[end.job];
        const auto actual = job.tasks[end.task];
        m_times.observe(job.shape, state.finished, actual);
        state.finished.add(actual);
        if (++state.done < job.tasks.size()) {
            if (state.started < job.tasks.size())
                add(end.job);
            return;
        }
        const auto longest = Seconds(std::ranges::max(job.tasks)).count();
        const auto took = Seconds(m_now - job.submittedAt).count();
        m_waits += took - longest;
        m_inTime += took <= longest * 1.6 + 0.6 ? 1 : 0;
    }

    const std::vector<BenchJob> &m_jobs;
    Source m_source;
    std::vector<State> m_states;
    WaitingSteps<std::size_t> m_waiting;
    std::vector<std::size_t> m_placed;
    RunTimes m_times;
    std::priority_queue<End, std::vector<End>, std::greater<>> m_ends;
    Duration m_now{};
    int m_used = 0;
    double m_inTime = 0;
    double m_waits = 0;
    Duration m_windowEnd = SizeWindow;
    double m_predicted = 0;
    double m_actual = 0;
    double m_windowErrors = 0;
    double m_windows = 0;
};

/// Returns which part of the distance from stated to true the learned value closes.
auto closed(double stated, double learned, double exact) -> std::string
{
    const auto distance = exact - stated;
    return std::abs(distance) < 1e-9 ? "-" : fmt::format("{:.2f}", (learned - stated) / distance);
}

auto measure(const Misstatement &misstatement, std::uint32_t seed) -> void
{
    const auto jobs = recordLoad(misstatement, seed);
    const auto stated = Simulation(jobs, Source::Stated).run();
    const auto learned = Simulation(jobs, Source::Learned).run();
    const auto exact = Simulation(jobs, Source::True).run();
    const auto print = [&](std::string_view name, double Result::*value) {
        std::cout << fmt::format("| {} | {} | {} | {:.3f} | {:.3f} | {:.3f} | {} |\n",
                                 misstatement.name, seed, name, stated.*value, learned.*value,
                                 exact.*value, closed(stated.*value, learned.*value, exact.*value));
    };
    print("in time", &Result::inTime);
    print("mean wait, s", &Result::meanWaitSeconds);
    print("error of a pool's work", &Result::sizeError);
}

} // namespace

auto main() -> int
{
    std::cout << "| statements | seed | decision | stated | learned | true | closed |\n"
                 "| --- | --- | --- | --- | --- | --- | --- |\n";
    const auto misstatements =
        std::array{Misstatement{"exact"},           Misstatement{"random 0.5", 0.5},
                   Misstatement{"random 0.9", 0.9}, Misstatement{"by team 0.9", 0.1, 0.9},
                   Misstatement{"both", 0.5, 0.9},  Misstatement{"work triples", 0.1, 0, 3}};
    for (const auto &it : misstatements) {
        for (std::uint32_t seed = 1; seed <= Seeds; ++seed)
            measure(it, seed);
    }
    return 0;
}
