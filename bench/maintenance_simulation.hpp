#pragma once

#include <map>
#include <random>
#include <set>

#include "shallotproxy/version.hpp"

namespace shallotproxy::bench {

/// How long each host truly needs, drawn once per seed.
struct HostNeed
{
    double drainSeconds = 0; // until its last work has ended
    double rebootSeconds = 0;
};

using HostNeeds = std::map<HostName, HostNeed>;

/// What members can know about a host being empty.
enum class DrainRule : std::uint8_t {
    Deadline, // the longest deadline of the pool's queues has passed
    Reported, // every member has reported that it runs nothing there
};

struct Outcome
{
    double rollOutSeconds = 0;
    double lowerBoundSeconds = 0; // that the budgets allow
    double outSeconds = 0; // host-seconds out of service for maintenance
    double neededSeconds = 0; // host-seconds that drains and reboots truly take
    std::size_t moves = 0; // hosts taken out
    std::size_t fewestMoves = 0;
    std::size_t brokenBudgets = 0; // versions of ours that break one
    std::size_t versions = 0;
};

/// Plays one confirmed job in its own time: the driver's steps, versions that take a while to be in
/// force, hosts that fail by themselves. `self` is the part of hosts that fail at some time.
class MaintenanceSimulation
{
public:
    MaintenanceSimulation(Configuration configuration, HostNeeds needs, DrainRule rule,
                          double selfFailing, std::uint32_t seed);

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
    auto tellDriver() -> void;
    auto applyGrant() -> void;
    [[nodiscard]] auto isEmpty(const HostName &host) const -> bool;
    [[nodiscard]] auto deadlineSeconds(const Host &host) const -> double;
    [[nodiscard]] auto lowerBound(const MaintenanceJob &job) const -> double;

    ConfigurationPointer m_configuration;
    HostNeeds m_needs;
    DrainRule m_rule;
    std::vector<Failure> m_failures;
    HostSet m_failed;
    MaintenanceDriver m_driver;
    double m_now = 0; // seconds
    std::optional<Configuration> m_granted;
    double m_grantAt = 0;
    std::map<HostName, double> m_outSince;
    std::map<HostName, double> m_rebootEnd;
    std::set<HostName> m_taken;
    Outcome m_outcome;
};

/// Draws what each host needs: drains of targets up to the longest deadline, of workers the time to
/// a checkpoint, off by half to four times; reboots of one to three minutes.
auto drawNeeds(const Configuration &configuration, std::uint32_t seed) -> HostNeeds;

} // namespace shallotproxy::bench
