#pragma once

#include <string>

#include "../../base/names.hpp"

namespace shallotproxy {

/// Requests the answer to a claimed request from the member that ran it.
struct ClaimQuery
{
    TeamName team;
    std::string key;
    std::uint64_t query = 0;
    MSGPACK_DEFINE(team, key, query)
};

/// The answer to a ClaimQuery. If `isPending`, the request is still running and another answer
/// follows.
struct ClaimAnswer
{
    std::uint64_t query = 0;
    bool isKnown = false;
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;
    bool isPending = false;
    MSGPACK_DEFINE(query, isKnown, status, contentType, body, isPending)
};

} // namespace shallotproxy
