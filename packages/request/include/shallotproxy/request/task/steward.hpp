#pragma once

#include <span>

#include "shallotproxy/process/base/names.hpp"

namespace shallotproxy {

/// Returns the member that is the steward of `subject`, by rendezvous hashing: every member
/// computes the same one, and if a member leaves, only its subjects move. Empty if there are no
/// members. O(members).
auto stewardOf(std::string_view subject, std::span<const MemberName> members) -> MemberName;

} // namespace shallotproxy
