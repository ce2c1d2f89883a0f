#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <QJsonObject>

#include "shallotproxy/version.hpp"

namespace standin {

/// What one team got of full pools.
struct TeamReport
{
    std::uint32_t share = 0;
    double usedSlotSeconds = 0; // over the whole run
    double fullSlotSeconds = 0; // while its pool was full
    double entitledSlotSeconds = 0; // of a pool that was full, by weighted max-min
    double worstGap = 0; // of its entitlement, over any ten seconds

    [[nodiscard]] auto gap() const -> double;
};

/// What a data centre's absence cost.
struct AbsenceReport
{
    std::string dataCentre;
    double doneSlotSeconds = 0;
    double possibleSlotSeconds = 0; // by the remaining slots and the requests that were open
    double fullUseSeconds = -1; // from the return; -1: not seen

    [[nodiscard]] auto doneShare() const -> double;
};

struct FleetReport
{
    std::map<std::string, TeamReport> teams;
    std::vector<AbsenceReport> absences;
    std::size_t fullIntervals = 0; // in which some pool was full
};

/// Divides `slots` by weight among demands so that none gets more than it asks for.
auto divideByWeight(double slots, const std::map<std::string, double> &demands,
                    const std::map<std::string, double> &weights) -> std::map<std::string, double>;

/// Replays the events of a run, as `shallotctl timeline` gives them, against its declarations.
auto reportOf(const std::vector<QJsonObject> &events,
              const shallotproxy::Configuration &configuration) -> FleetReport;

} // namespace standin
