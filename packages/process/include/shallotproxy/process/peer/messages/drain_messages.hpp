#pragma once

#include <vector>

#include "../../base/names.hpp"

namespace shallotproxy {

/// Asks on which of these hosts the receiver still has running requests.
struct DrainQuery
{
    std::vector<HostName> hosts;
    MSGPACK_DEFINE(hosts)
};

/// The answer to a DrainQuery, with the configuration version by which the answering member starts
/// requests. It has no running requests on the hosts of the query that are not in `busy`.
struct DrainAnswer
{
    ConfigurationVersion version = 0;
    std::vector<HostName> hosts; // The hosts of the query.
    std::vector<HostName> busy;
    MSGPACK_DEFINE(version, hosts, busy)
};

} // namespace shallotproxy
