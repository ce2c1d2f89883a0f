#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace shallotproxy {

class Distribution;

/// Counters, gauges and distributions of one process, served in the Prometheus text format.
/// Thread-safe.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    auto operator=(const Metrics &) -> Metrics & = delete;

    /// Adds `amount` to a counter; `labels` is empty or `name="value",...`.
    auto count(std::string_view name, std::string_view labels = {}, double amount = 1) -> void;
    /// Sets the value of a gauge.
    auto gauge(std::string_view name, std::string_view labels, double value) -> void;
    /// Adds one sample to a distribution (count, mean, p50, p99); durations are in seconds.
    auto sample(std::string_view name, std::string_view labels, double value) -> void;
    /// Returns all metrics in the Prometheus exposition format.
    [[nodiscard]] auto exposition() const -> std::string;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::map<std::string, double>, std::less<>> m_counters;
    std::map<std::string, std::map<std::string, double>, std::less<>> m_gauges;
    std::map<std::string, std::map<std::string, std::unique_ptr<Distribution>>, std::less<>>
        m_distributions;
};

} // namespace shallotproxy
