#pragma once

#include <string>
#include <string_view>

namespace shallotproxy::store_keys {

// Under a lease of its holder; the value is the holder's address towards other members, the
// revision of its creation the fencing token.
inline constexpr std::string_view Steward = "steward/holder";
inline constexpr std::string_view StewardPrefix = "steward/";
inline constexpr std::string_view JobPrefix =
    "jobs/"; // jobs/ID: the job as handed in, until it ends
inline constexpr std::string_view CancelSuffix = "/cancel"; // jobs/ID/cancel: its cancellation
inline constexpr std::string_view ProgressPrefix = "progress/"; // progress/ID
inline constexpr std::string_view UpkeepPrefix = "upkeep/"; // upkeep/WAVE: hosts that were begun

inline auto job(std::string_view id) -> std::string
{
    return std::string(JobPrefix).append(id);
}

inline auto cancel(std::string_view id) -> std::string
{
    return job(id).append(CancelSuffix);
}

inline auto progress(std::string_view id) -> std::string
{
    return std::string(ProgressPrefix).append(id);
}

inline auto upkeep(std::uint64_t wave) -> std::string
{
    return std::string(UpkeepPrefix).append(std::to_string(wave));
}

} // namespace shallotproxy::store_keys
