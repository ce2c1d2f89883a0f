#include <iostream>

#include "shallotproxy/process.hpp"

// Counts requests and prints them in the Prometheus exposition format.
auto main() -> int
{
    auto metrics = shallotproxy::Metrics();
    metrics.count("requests_total", R"(team="nordlys")");
    metrics.count("requests_total", R"(team="nordlys")");
    std::cout << metrics.exposition();
    return 0;
}
