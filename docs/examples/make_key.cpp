#include <iostream>

#include "shallotproxy/version.hpp"

// Creates a key for a team. Its text is shown only once; the configuration stores only its digest.
auto main() -> int
{
    using namespace shallotproxy;
    const auto key = makeKey();
    auto configuration = Configuration();
    auto team = Team();
    team.name = TeamName("nordlys");
    team.keys.push_back(key.stored);
    configuration.teams.emplace(team.name, team);

    std::cout << findTeam(configuration, key.text).value_or(TeamName("nobody")).value() << '\n';
    std::cout << findTeam(configuration, "no.key").value_or(TeamName("nobody")).value() << '\n';
    return 0;
}
