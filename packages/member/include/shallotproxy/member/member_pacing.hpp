#pragma once

#include <chrono>
#include <cstddef>

namespace shallotproxy {

/// Spreads what members do at the same moment, by their number.
///
/// Load pattern: hundreds of members share 400 writes a second of the store and one steward with a
/// fraction of a core. All of them notice at once that the steward's key is free, and each of them
/// tells the steward that it could call workers, of which some do.
class MemberPacing
{
public:
    using Milliseconds = std::chrono::milliseconds;

    /// Returns in which time the campaigns of the members begin. The first one of many begins soon
    /// all the same, and the others mostly see in time that it has won.
    static auto campaignSpread(std::size_t members) -> Milliseconds;
    /// Returns how long a member that isn't needed to call workers waits before its next report.
    static auto reportPause(std::size_t members) -> Milliseconds;
};

} // namespace shallotproxy
