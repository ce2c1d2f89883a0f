#pragma once

#include <string>
#include <string_view>

namespace shallotproxy::store_keys {

// The key of the current steward, attached to a lease of the holder. The value starts with the
// holder's peer address; the revision at which the key was created is the fencing token.
inline constexpr std::string_view Steward = "steward/holder";
inline constexpr std::string_view StewardPrefix = "steward/";
// What members have to know to refuse work that can't be done in time, on the same lease.
inline constexpr std::string_view Outlook = "steward/outlook";
// What stewards have learned of run times. No member watches it.
inline constexpr std::string_view RunTimes = "run-times";
// jobs/ID: the job as submitted, until it ends.
inline constexpr std::string_view JobPrefix = "jobs/";
// jobs/ID/cancel: present once the job has been cancelled.
inline constexpr std::string_view CancelSuffix = "/cancel";
// progress/ID: the progress and the outcome of the job.
inline constexpr std::string_view ProgressPrefix = "progress/";
// upkeep/WAVE: the hosts of the wave whose upkeep has been started.
inline constexpr std::string_view UpkeepPrefix = "upkeep/";

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
