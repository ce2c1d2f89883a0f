#pragma once

#include <vector>

#include "../../base/names.hpp"

namespace shallotproxy {

/// Asks which of these hosts the receiver still runs requests on.
struct DrainQuery
{
    std::vector<HostName> hosts;
    MSGPACK_DEFINE(hosts)
};

/// What the receiver runs, and the version by which it starts requests: those hosts of the query
/// that aren't in `busy` have no work of it.
struct DrainAnswer
{
    ConfigurationVersion version = 0;
    std::vector<HostName> hosts; // as asked
    std::vector<HostName> busy;
    MSGPACK_DEFINE(version, hosts, busy)
};

} // namespace shallotproxy
