#include <iostream>

#include "shallotproxy/version.hpp"

// Reads declarations. An error names the file, the line and the allowed values.
auto main() -> int
{
    using namespace shallotproxy;
    const auto good = std::vector<DeclarationFile>{
        {"fleet.yaml", "dataCentres: [{name: bergen}]\npools: [{name: billing}]\n"}};
    const auto configuration = readDeclarations(good);
    std::cout << configuration->pools.size() << " pool\n";

    const auto bad = std::vector<DeclarationFile>{
        {"fleet.yaml", "pools:\n  - name: billing\n    maxUnavailible: 2\n"}};
    const auto faults = readDeclarations(bad);
    for (const auto &it : faults.error())
        std::cout << it.message() << '\n';
    return 0;
}
