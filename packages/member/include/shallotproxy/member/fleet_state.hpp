#pragma once

#include <map>
#include <set>

#include "declarations.hpp"

namespace shallotproxy {

/// The operators' declarations as one member knows them, assembled from the store's records.
class FleetState
{
public:
    explicit FleetState(Duration freshnessPeriod)
        : declarationCache(freshnessPeriod)
    { }

    DeclarationCache declarationCache;
    // Both maps are indexed by the key of the record in the store.
    std::map<std::string, DataCentreName> closedByKey;
    std::map<std::string, UpkeepWave> wavesByKey;

    /// The number of members, as a steward last counted them.
    std::size_t memberCount = 1;

    [[nodiscard]] auto closedDataCentres() const -> std::set<DataCentreName>
    {
        auto result = std::set<DataCentreName>();
        for (const auto &[key, dataCentre] : closedByKey)
            result.insert(dataCentre);
        return result;
    }
};

} // namespace shallotproxy
