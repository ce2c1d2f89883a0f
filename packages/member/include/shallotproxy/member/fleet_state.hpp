#pragma once

#include <map>
#include <set>

#include "declarations.hpp"

namespace shallotproxy {

/// The operators' declarations as one member knows them, put together from single records.
class FleetState
{
public:
    explicit FleetState(Duration longestUnsure)
        : board(longestUnsure)
    { }

    DeclarationBoard board;
    std::map<std::string, DataCentreName> closedByKey; // by the key of the record
    std::map<std::string, UpkeepWave> wavesByKey;

    [[nodiscard]] auto closed() const -> std::set<DataCentreName>
    {
        auto result = std::set<DataCentreName>();
        for (const auto &[key, dataCentre] : closedByKey)
            result.insert(dataCentre);
        return result;
    }
};

} // namespace shallotproxy
