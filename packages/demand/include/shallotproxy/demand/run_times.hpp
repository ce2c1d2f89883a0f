#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <msgpack.hpp>

#include "run_time_forecast.hpp"
#include "shallotproxy/process/base/names.hpp"

namespace shallotproxy {

/// What is known of a run before it has begun.
struct RunShape
{
    QueueName queue;
    TeamName team;
    /// As stated by the submitter; 0 if nothing was stated.
    Duration stated{};
    /// Of its step.
    std::uint32_t taskCount = 1;
};

/// The finished runs of a step, whose other tasks are alike.
class StepWitness
{
public:
    auto add(Duration actual) -> void;
    [[nodiscard]] auto count() const -> std::uint32_t { return m_count; }
    [[nodiscard]] auto meanLog() const -> double { return m_count == 0 ? 0 : m_sum / m_count; }

private:
    std::uint32_t m_count = 0;
    double m_sum = 0;
};

/// Learns from finished runs how long others take.
///
/// Load pattern: queues whose stated run times are off by a factor of two or more, in either
/// direction, by team or at random, and work that changes while it goes on.
///
/// The logarithm of a run time is taken to depend on that of the stated one by a line, which is
/// fitted for each queue by least squares; old runs are forgotten. Each team has an offset from its
/// queue's line. The tasks of a step count together as one run, as they are alike, and the first
/// ones to end are the shortest. The finished tasks of a step outweigh all this for its other
/// tasks.
class RunTimes
{
public:
    /// Adds a run that ended done. `before` holds the runs of its step that had ended earlier.
    auto observe(const RunShape &shape, const StepWitness &before, Duration actual) -> void;
    /// Adds a run that was ended after this time, and would have taken longer.
    auto observeAtLeast(const RunShape &shape, const StepWitness &before, Duration elapsed) -> void;
    [[nodiscard]] auto forecast(const RunShape &shape, const StepWitness &finished = {}) const
        -> RunTimeForecast;
    /// Forgets the queues and teams for which the functions return false.
    template <typename IsQueue, typename IsTeam>
    auto retain(IsQueue isQueue, IsTeam isTeam) -> void
    {
        std::erase_if(m_queues, [&](const auto &it) { return !isQueue(it.first); });
        for (auto &[name, queue] : m_queues)
            std::erase_if(queue.teams, [&](const auto &it) { return !isTeam(it.first); });
    }
    /// Returns the number of steps that count for a queue, at most the memory of a queue.
    [[nodiscard]] auto sampleCount(const QueueName &queue) const -> double;

    /// Returns how many times the stated run time a run of the queue is expected to take.
    [[nodiscard]] auto misstatement(const QueueName &queue) const -> double;
    [[nodiscard]] auto queues() const -> std::vector<QueueName>;

    [[nodiscard]] auto encode() const -> std::string;
    /// Returns no value if the bytes hold no run times, or some that are out of range.
    static auto decode(std::string_view bytes) -> std::optional<RunTimes>;

private:
    /// Weighted moments of the logarithms of stated (x) and actual (y) run times.
    struct Line
    {
        double weight = 0;
        double meanX = 0;
        double meanY = 0;
        double varianceX = 0;
        double varianceY = 0;
        double covariance = 0;

        auto add(double x, double y, double count) -> void;
        [[nodiscard]] auto slope() const -> double;
        [[nodiscard]] auto at(std::optional<double> x) const -> double;
        [[nodiscard]] auto residualVariance() const -> double;
        MSGPACK_DEFINE(weight, meanX, meanY, varianceX, varianceY, covariance)
    };
    struct Offset
    {
        double weight = 0;
        double mean = 0;

        auto add(double residual, double count) -> void;
        [[nodiscard]] auto shrunk() const -> double;
        MSGPACK_DEFINE(weight, mean)
    };
    struct Queue
    {
        Line line;
        /// Of the tasks of a step around their mean.
        double stepVariance = 0;
        double stepWeight = 0;
        std::map<TeamName, Offset> teams;
        MSGPACK_DEFINE(line, stepVariance, stepWeight, teams)
    };
    /// A normal distribution of the logarithm of a run time.
    struct LogTime
    {
        double mean = 0;
        double variance = 0;
    };

    [[nodiscard]] static auto predict(const Queue &queue, const RunShape &shape,
                                      const StepWitness &finished) -> LogTime;

    std::map<QueueName, Queue> m_queues;
};

} // namespace shallotproxy
