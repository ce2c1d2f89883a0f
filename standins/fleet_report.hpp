#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <QJsonObject>

#include "shallotproxy/version.hpp"

namespace standin {

/// Slot-seconds that one team used and was entitled to. A pool is full while its open requests need
/// more slots than it has.
struct TeamReport
{
    std::uint32_t share = 0;
    double usedSlotSeconds = 0; // in all pools, over the whole run
    double fullSlotSeconds = 0; // used while the pool was full
    double entitledSlotSeconds = 0; // weighted max-min share of full pools
    double worstGap = 0; // largest unused fraction of the entitlement in any ten seconds

    /// Returns the unused fraction of the entitlement over the whole run.
    [[nodiscard]] auto gap() const -> double;
};

/// Capacity that was used while a data centre was out of service and shortly after its return.
struct AbsenceReport
{
    std::string dataCentre;
    double doneSlotSeconds = 0;
    double possibleSlotSeconds = 0; // that the open requests could use of the remaining slots
    double fullUseSeconds = -1; // from the return to full use; -1 if full use was not observed

    /// Returns the done fraction of the possible slot-seconds.
    [[nodiscard]] auto doneShare() const -> double;
};

struct FleetReport
{
    std::map<std::string, TeamReport> teams;
    std::vector<AbsenceReport> absences;
    std::size_t fullIntervals = 0; // intervals between two events, counted per full pool
};

/// Divides `slots` by weight (weighted max-min fairness). No allocation exceeds its demand.
auto divideByWeight(double slots, const std::map<std::string, double> &demands,
                    const std::map<std::string, double> &weights) -> std::map<std::string, double>;

/// Replays the events of a run, as `shallotctl timeline` prints them, on its configuration.
auto reportOf(const std::vector<QJsonObject> &events,
              const shallotproxy::Configuration &configuration) -> FleetReport;

} // namespace standin
