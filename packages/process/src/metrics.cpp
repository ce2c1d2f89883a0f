#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <fmt/format.h>

#include "shallotproxy/process/observe/metrics.hpp"

namespace shallotproxy {

namespace acc = boost::accumulators;

class Distribution
{
public:
    auto add(double value) -> void
    {
        m_summary(value);
        m_p50(value);
        m_p99(value);
    }
    [[nodiscard]] auto count() const -> std::size_t { return acc::count(m_summary); }
    [[nodiscard]] auto sum() const -> double
    {
        return acc::mean(m_summary) * static_cast<double>(count());
    }
    [[nodiscard]] auto p50() const -> double { return acc::p_square_quantile(m_p50); }
    [[nodiscard]] auto p99() const -> double { return acc::p_square_quantile(m_p99); }

private:
    using Summary = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::mean>>;
    using Quantile = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;

    Summary m_summary;
    Quantile m_p50 = Quantile(acc::quantile_probability = 0.5);
    Quantile m_p99 = Quantile(acc::quantile_probability = 0.99);
};

namespace {

auto braced(std::string_view labels) -> std::string
{
    return labels.empty() ? std::string() : fmt::format("{{{}}}", labels);
}

auto quantileLine(std::string_view name, std::string_view labels, std::string_view quantile,
                  double value) -> std::string
{
    const auto separator = labels.empty() ? "" : ",";
    return fmt::format("{}{{{}{}quantile=\"{}\"}} {}\n", name, labels, separator, quantile, value);
}

} // namespace

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

auto Metrics::count(std::string_view name, std::string_view labels, double amount) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_counters[std::string(name)][std::string(labels)] += amount;
}

auto Metrics::gauge(std::string_view name, std::string_view labels, double value) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_gauges[std::string(name)][std::string(labels)] = value;
}

auto Metrics::sample(std::string_view name, std::string_view labels, double value) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    auto &distribution = m_distributions[std::string(name)][std::string(labels)];
    if (!distribution)
        distribution = std::make_unique<Distribution>();
    distribution->add(value);
}

auto Metrics::exposition() const -> std::string
{
    const auto lock = std::lock_guard(m_mutex);
    auto text = std::string();
    for (const auto &[name, series] : m_counters) {
        text += fmt::format("# TYPE {} counter\n", name);
        for (const auto &[labels, value] : series)
            text += fmt::format("{}{} {}\n", name, braced(labels), value);
    }
    for (const auto &[name, series] : m_gauges) {
        text += fmt::format("# TYPE {} gauge\n", name);
        for (const auto &[labels, value] : series)
            text += fmt::format("{}{} {}\n", name, braced(labels), value);
    }
    for (const auto &[name, series] : m_distributions) {
        text += fmt::format("# TYPE {} summary\n", name);
        for (const auto &[labels, it] : series) {
            text += quantileLine(name, labels, "0.5", it->p50());
            text += quantileLine(name, labels, "0.99", it->p99());
            text += fmt::format("{}_sum{} {}\n", name, braced(labels), it->sum());
            text += fmt::format("{}_count{} {}\n", name, braced(labels), it->count());
        }
    }
    return text;
}

} // namespace shallotproxy
