#include "shallotproxy/job/job_progress.hpp"
#include "shallotproxy/process/base/record_codec.hpp"

namespace shallotproxy {

auto encodeProgress(const JobProgress &progress) -> std::string
{
    return packRecord(progress);
}

auto decodeProgress(std::string_view bytes) -> Expected<JobProgress, JobError>
{
    auto progress = unpackRecord<JobProgress>(bytes);
    if (!progress)
        return tl::unexpected(JobError{JobError::Kind::BadRecord, "not an encoded job progress"});
    if (progress->outcome > static_cast<std::uint8_t>(JobOutcome::Cancelled))
        return tl::unexpected(JobError{JobError::Kind::BadRecord, "unknown job outcome"});
    return std::move(*progress);
}

} // namespace shallotproxy
