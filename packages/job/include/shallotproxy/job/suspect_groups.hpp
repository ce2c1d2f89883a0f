#pragma once

#include <cstddef>
#include <deque>

#include "shallotproxy/process.hpp"

namespace shallotproxy {

/// Decides how many suspects of a pool start together on a worker as one group under test.
///
/// Few suspects are tested one by one. Of many, groups are tested first, and each task of a group
/// whose worker crashed is then tested alone. With groups of the square root of their number, both
/// take as long. Groups shrink while they crash, as they save nothing where many tasks crash their
/// workers.
///
/// Load pattern: a worker crashes as hundreds of small tasks start there.
class SuspectGroups
{
public:
    static constexpr std::size_t MaxSize = 64;

    /// Returns the size of a group with this many waiting suspects and workers to test them.
    [[nodiscard]] auto size(std::size_t waiting, std::size_t workers, BootTime now) const
        -> std::size_t;
    /// Notes that a worker has crashed under a group.
    auto crashed(BootTime now) -> void;

private:
    std::deque<BootTime> m_crashes;
};

} // namespace shallotproxy
