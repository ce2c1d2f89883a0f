#include "shallotproxy/job/job_progress.hpp"

namespace shallotproxy {

auto encodeProgress(const JobProgress &progress) -> std::string
{
    auto buf = msgpack::sbuffer();
    msgpack::pack(buf, progress);
    return {buf.data(), buf.size()};
}

auto decodeProgress(std::string_view bytes) -> Expected<JobProgress, JobError>
{
    try {
        auto progress = unpackBounded(bytes).get().as<JobProgress>();
        if (progress.outcome > static_cast<std::uint8_t>(JobOutcome::Cancelled))
            return tl::unexpected(JobError{JobError::Kind::BadRecord, "unknown outcome"});
        return progress;
    } catch (const std::exception &ec) {
        return tl::unexpected(JobError{JobError::Kind::BadRecord, ec.what()});
    }
}

} // namespace shallotproxy
