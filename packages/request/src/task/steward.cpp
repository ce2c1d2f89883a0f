#include "shallotproxy/request/task/steward.hpp"

namespace shallotproxy {

namespace {

/// Returns the FNV-1a hash of both texts with a finalizer. Unlike std::hash, it is the same on
/// every member.
auto weightOf(std::string_view subject, std::string_view member) -> std::uint64_t
{
    constexpr std::uint64_t Offset = 14'695'981'039'346'656'037U;
    constexpr std::uint64_t Prime = 1'099'511'628'211U;
    constexpr std::uint64_t Mix = 0xff51afd7ed558ccdU;
    auto hash = Offset;
    const auto add = [&hash](std::string_view text) {
        for (const auto it : text)
            hash = (hash ^ static_cast<unsigned char>(it)) * Prime;
        hash = (hash ^ 0xffU) * Prime; // Separates the two texts.
    };
    add(subject);
    add(member);
    hash ^= hash >> 33U;
    hash *= Mix;
    return hash ^ (hash >> 33U);
}

} // namespace

auto stewardOf(std::string_view subject, std::span<const MemberName> members) -> MemberName
{
    auto best = MemberName();
    std::uint64_t bestWeight = 0;
    for (const auto &it : members) {
        const auto weight = weightOf(subject, it.value());
        if (best.isEmpty() || weight > bestWeight || (weight == bestWeight && it < best)) {
            best = it;
            bestWeight = weight;
        }
    }
    return best;
}

} // namespace shallotproxy
