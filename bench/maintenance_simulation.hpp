#pragma once

#include <map>
#include <random>
#include <set>

#include "shallotproxy/version.hpp"

namespace shallotproxy::bench {

/// Actual drain and reboot time of a host, drawn once per seed.
struct HostNeed
{
    double drainSeconds = 0; // until its last work has ended
    double rebootSeconds = 0;
};

using HostNeeds = std::map<HostName, HostNeed>;

/// How members determine that a host is drained.
enum class DrainRule : std::uint8_t {
    Deadline, // the longest deadline of the pool's queues has passed
    Reported, // every member has reported that it runs nothing there
};

/// Result of one simulated job.
struct Outcome
{
    double rollOutSeconds = 0;
    double lowerBoundSeconds = 0; // shortest time that the budgets allow
    double outSeconds = 0; // host-seconds out of service for maintenance
    double neededSeconds = 0; // host-seconds of the actual drains and reboots
    std::size_t moves = 0; // hosts taken out
    std::size_t minMoves = 0; // hosts of the job
    std::size_t brokenBudgets = 0; // published versions that break a budget
    std::size_t versions = 0;
};

/// Simulates one confirmed job in simulated time: the steps of the driver, the delay until a
/// version is in force, and hosts that fail by themselves. `failingFraction` is the fraction of
/// hosts that fail at some time.
class MaintenanceSimulation
{
public:
    MaintenanceSimulation(Configuration configuration, HostNeeds needs, DrainRule drainRule,
                          double failingFraction, std::uint32_t seed);

    auto run(const IntentId &job) -> Outcome;

private:
    struct Failure
    {
        HostName host;
        double begin = 0;
        double end = 0;
    };

    auto step(const MaintenanceEvent &event) -> void;
    auto perform(const WatchDrain &action) -> void;
    auto perform(const RebootHost &action) -> void;
    auto perform(const GrantWave &action) -> void;
    auto updateFailures() -> void;
    auto notifyDriver() -> void;
    auto applyGrant() -> void;
    [[nodiscard]] auto isEmpty(const HostName &host) const -> bool;
    [[nodiscard]] auto deadlineSeconds(const Host &host) const -> double;
    [[nodiscard]] auto lowerBound(const MaintenanceJob &job) const -> double;

    ConfigurationPointer m_configuration;
    HostNeeds m_needs;
    DrainRule m_drainRule;
    std::vector<Failure> m_failures;
    HostSet m_failed;
    MaintenanceDriver m_driver;
    double m_now = 0; // seconds
    std::optional<Configuration> m_granted;
    double m_grantInForceAt = 0;
    std::map<HostName, double> m_outSince;
    std::map<HostName, double> m_rebootEnd;
    std::set<HostName> m_takenOut;
    Outcome m_outcome;
};

/// Draws the drain and reboot time of each host. A target drains in the time of a request, up
/// to the longest deadline, and a worker in the time to a checkpoint, each multiplied by 0.5 to 4.
/// A reboot takes one to three minutes.
auto drawNeeds(const Configuration &configuration, std::uint32_t seed) -> HostNeeds;

} // namespace shallotproxy::bench
