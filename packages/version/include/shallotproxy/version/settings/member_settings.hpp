#pragma once

#include <cstdint>
#include <string>

#include "../input/input_error.hpp"
#include "shallotproxy/process/base/names.hpp"

namespace shallotproxy {

/// The settings of a shallotproxyd process; docs/SETTINGS.md describes each key.
struct MemberSettings
{
    MemberName name;
    DataCentreName dataCentre;
    std::string callersEndpoint;
    std::string operatorsEndpoint;
    std::string peersEndpoint;
    std::string storeEndpoint;
    std::string storePrefix;
    std::uint64_t storeTimeoutMilliseconds = 0;
    std::string peerSecret;
    std::string operatorKeyDigest;
    std::string platformEndpoint;
    std::string journalFile;
    std::uint64_t maxBodyBytes = 0;
    std::uint64_t maxConnections = 0;
    std::uint64_t shutdownMilliseconds = 0; // maximum time to drain before the process exits
    std::uint64_t settleMilliseconds = 0; // from failing the health check until draining starts
};

/// Reads and validates the text of a settings file.
auto readMemberSettings(const std::string &text, const std::string &file)
    -> tl::expected<MemberSettings, InputErrors>;

/// Reads and validates a settings file.
auto loadMemberSettings(const std::string &file) -> tl::expected<MemberSettings, InputErrors>;

} // namespace shallotproxy
