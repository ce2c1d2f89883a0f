#pragma once

#include <span>

#include "shallotproxy/process/base/names.hpp"

namespace shallotproxy {

/// The member that looks after `subject`, by rendezvous hashing: every member computes the same
/// one, and when a member goes only its subjects move. Empty if there are no members. O(members).
auto stewardOf(std::string_view subject, std::span<const MemberName> members) -> MemberName;

} // namespace shallotproxy
