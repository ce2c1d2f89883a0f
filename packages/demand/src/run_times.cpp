#include <algorithm>
#include <cmath>

#include "shallotproxy/demand/run_times.hpp"
#include "shallotproxy/process/base/record_codec.hpp"

namespace shallotproxy {

namespace {

// Newer runs outweigh older ones: a queue's runs count as at most this many.
constexpr double MaxWeight = 100;
constexpr double MaxTeamWeight = 30;
// The stated time counts as this many runs that took exactly as long, with this variance of the
// logarithms. Few runs prove little about the others.
constexpr double PriorWeight = 4;
constexpr double PriorVariance = 0.25;
// Tasks of a step are alike: the prior for their variance, and the least that is assumed.
constexpr double PriorStepVariance = 0.04;
constexpr double MinVariance = 0.0025;
// An offset of a team is believed by half after this many steps of it.
constexpr double TeamPriorWeight = 4;
// A prediction differs from the stated time by no more than this factor.
constexpr double MaxRatio = 16;
// One run in ten of a normal distribution lies above its mean by this many standard deviations.
constexpr double UpperDeviations = 1.2816;
// Bounds the memory, and the record, also when jobs name queues and teams that aren't declared.
constexpr std::size_t MaxQueues = 1'000;
constexpr std::size_t MaxTeamsOfQueue = 1'000;
// No run is taken to last longer, so that sums over the steps of a job and multiples of them stay
// far from the range of Duration.
constexpr double MaxSeconds = 1e6;
constexpr double MinSeconds = 1e-3;
// Beyond the logarithms of both.
constexpr double MinLog = -7;
constexpr double MaxLog = 14;

using Seconds = std::chrono::duration<double>;

auto logOf(Duration time) -> double
{
    return std::log(std::clamp(Seconds(time).count(), MinSeconds, MaxSeconds));
}

auto durationOf(double logSeconds) -> Duration
{
    return std::chrono::duration_cast<Duration>(
        Seconds(std::min(std::exp(logSeconds), MaxSeconds)));
}

auto statedLog(const RunShape &shape) -> std::optional<double>
{
    return shape.stated > Duration() ? std::optional(logOf(shape.stated)) : std::nullopt;
}

/// Returns a prediction that differs from the stated time by no more than MaxRatio.
auto boundedBy(std::optional<double> stated, double predicted) -> double
{
    return stated
        ? std::clamp(predicted, *stated - std::log(MaxRatio), *stated + std::log(MaxRatio))
        : predicted;
}

/// Whether the value lies between these, and is a number.
auto isWithin(double value, double least, double most) -> bool
{
    return value >= least && value <= most;
}

/// Whether the value can be the mean of logarithms of run times.
auto isLog(double value) -> bool
{
    return isWithin(value, MinLog, MaxLog);
}

/// The same for a difference of such logarithms, or the product of two such differences.
auto isDifference(double value, int power) -> bool
{
    const auto most = std::pow(MaxLog - MinLog + std::log(MaxRatio), power);
    return isWithin(value, -most, most);
}

auto isVariance(double value) -> bool
{
    return value >= 0 && isDifference(value, 2);
}

} // namespace

auto StepWitness::add(Duration actual) -> void
{
    ++m_count;
    m_sum += logOf(actual);
}

auto RunTimes::Line::add(double x, double y, double count) -> void
{
    weight = std::min(weight + count, MaxWeight);
    const auto part = count / weight;
    const auto dx = x - meanX;
    const auto dy = y - meanY;
    meanX += part * dx;
    meanY += part * dy;
    varianceX = (1 - part) * (varianceX + part * dx * dx);
    varianceY = (1 - part) * (varianceY + part * dy * dy);
    covariance = (1 - part) * (covariance + part * dx * dy);
}

auto RunTimes::Line::slope() const -> double
{
    const auto prior = PriorWeight * PriorVariance;
    return std::clamp((weight * covariance + prior) / (weight * varianceX + prior), 0.0, 1.0);
}

auto RunTimes::Line::at(std::optional<double> x) const -> double
{
    if (weight == 0)
        return x.value_or(logOf({}));
    const auto trust = weight / (weight + PriorWeight);
    const auto atMean = meanX + trust * (meanY - meanX);
    if (!x)
        return atMean;
    return boundedBy(x, atMean + slope() * (*x - meanX));
}

auto RunTimes::Line::residualVariance() const -> double
{
    const auto gradient = slope();
    const auto left = varianceY - 2 * gradient * covariance + gradient * gradient * varianceX;
    const auto sum = weight * std::max(left, 0.0) + PriorWeight * PriorVariance;
    return std::max(sum / (weight + PriorWeight), MinVariance);
}

auto RunTimes::Offset::add(double residual, double count) -> void
{
    weight = std::min(weight + count, MaxTeamWeight);
    mean += count * (residual - mean) / weight;
}

auto RunTimes::Offset::shrunk() const -> double
{
    return mean * weight / (weight + TeamPriorWeight);
}

auto RunTimes::predict(const Queue &queue, const RunShape &shape, const StepWitness &finished)
    -> LogTime
{
    const auto team = queue.teams.find(shape.team);
    const auto offset = team == queue.teams.end() ? 0 : team->second.shrunk();
    const auto stated = statedLog(shape);
    const auto mean = boundedBy(stated, queue.line.at(stated) + offset);
    const auto within =
        std::max((queue.stepWeight * queue.stepVariance + PriorWeight * PriorStepVariance)
                     / (queue.stepWeight + PriorWeight),
                 MinVariance);
    const auto variance = std::max(queue.line.residualVariance() - within, MinVariance);
    if (finished.count() == 0)
        return {mean, variance + within};
    const auto precision = finished.count() / within;
    const auto total = 1 / variance + precision;
    return {(mean / variance + finished.meanLog() * precision) / total, 1 / total + within};
}

auto RunTimes::observe(const RunShape &shape, const StepWitness &before, Duration actual) -> void
{
    if (!m_queues.contains(shape.queue) && m_queues.size() >= MaxQueues)
        return;
    auto &queue = m_queues[shape.queue];
    const auto y = logOf(actual);
    if (before.count() > 0) {
        const auto distance = y - before.meanLog();
        const auto count = static_cast<double>(before.count());
        const auto squared = distance * distance * count / (count + 1);
        queue.stepWeight = std::min(queue.stepWeight + 1, MaxWeight);
        queue.stepVariance += (squared - queue.stepVariance) / queue.stepWeight;
    }
    const auto part = 1.0 / std::max(shape.taskCount, 1U);
    const auto x = statedLog(shape).value_or(queue.line.weight > 0 ? queue.line.meanX : y);
    const auto hasRoom = queue.teams.contains(shape.team) || queue.teams.size() < MaxTeamsOfQueue;
    if (queue.line.weight > 0 && hasRoom)
        queue.teams[shape.team].add(y - queue.line.at(x), part);
    queue.line.add(x, y, part);
}

auto RunTimes::observeAtLeast(const RunShape &shape, const StepWitness &before, Duration elapsed)
    -> void
{
    if (elapsed > forecast(shape, before).expected)
        observe(shape, before, elapsed);
}

auto RunTimes::forecast(const RunShape &shape, const StepWitness &finished) const -> RunTimeForecast
{
    const auto it = m_queues.find(shape.queue);
    const auto isUnknown = it == m_queues.end() || it->second.line.weight == 0;
    if (isUnknown && finished.count() == 0)
        return {shape.stated, shape.stated};
    const auto time = predict(isUnknown ? Queue() : it->second, shape, finished);
    // The mean of a wide distribution lies above its upper part.
    const auto expected = durationOf(time.mean + time.variance / 2);
    const auto upper = durationOf(time.mean + UpperDeviations * std::sqrt(time.variance));
    return {expected, std::max(expected, upper)};
}

auto RunTimes::sampleCount(const QueueName &queue) const -> double
{
    const auto it = m_queues.find(queue);
    return it == m_queues.end() ? 0 : it->second.line.weight;
}

auto RunTimes::misstatement(const QueueName &queue) const -> double
{
    const auto it = m_queues.find(queue);
    if (it == m_queues.end())
        return 1;
    const auto &line = it->second.line;
    return std::exp(line.at(line.meanX) - line.meanX);
}

auto RunTimes::queues() const -> std::vector<QueueName>
{
    auto names = std::vector<QueueName>();
    for (const auto &[name, queue] : m_queues)
        names.push_back(name);
    return names;
}

auto RunTimes::encode() const -> std::string
{
    return packRecord(m_queues);
}

auto RunTimes::decode(std::string_view bytes) -> std::optional<RunTimes>
{
    auto queues = unpackRecord<std::map<QueueName, Queue>>(bytes);
    if (!queues || queues->size() > MaxQueues)
        return std::nullopt;
    for (const auto &[name, queue] : *queues) {
        const auto &[line, stepVariance, stepWeight, teams] = queue;
        const auto isValid = isWithin(line.weight, 0, MaxWeight) && isLog(line.meanX)
            && isLog(line.meanY) && isVariance(line.varianceX) && isVariance(line.varianceY)
            && isDifference(line.covariance, 2) && isVariance(stepVariance)
            && isWithin(stepWeight, 0, MaxWeight) && teams.size() <= MaxTeamsOfQueue
            && std::ranges::all_of(teams, [](const auto &it) {
                                 return isWithin(it.second.weight, 0, MaxTeamWeight)
                                     && isDifference(it.second.mean, 1);
                             });
        if (!isValid)
            return std::nullopt;
    }
    auto result = RunTimes();
    result.m_queues = std::move(*queues);
    return result;
}

} // namespace shallotproxy
