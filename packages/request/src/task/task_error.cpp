#include "shallotproxy/request/task/task_error.hpp"

namespace shallotproxy {

auto TaskError::name() const -> std::string_view
{
    switch (kind) {
    case Kind::UnknownTask:
        return "unknown-task";
    case Kind::Malformed:
        return "malformed-task";
    case Kind::NeverFits:
        return "never-fits";
    case Kind::UnknownPool:
        return "unknown-pool";
    case Kind::NotPersisted:
        return "task-not-kept";
    case Kind::OutcomeUnknown:
        return "task-outcome-unknown";
    case Kind::AlreadyEnded:
        break;
    }
    return "task-already-ended";
}

auto TaskError::message() const -> std::string
{
    return std::string(name()) + ": " + detail;
}

auto TaskError::status() const -> unsigned
{
    constexpr unsigned BadRequest = 400;
    constexpr unsigned NotFound = 404;
    constexpr unsigned Conflict = 409;
    constexpr unsigned Unprocessable = 422;
    constexpr unsigned Unavailable = 503;
    switch (kind) {
    case Kind::UnknownTask:
    case Kind::UnknownPool:
        return NotFound;
    case Kind::Malformed:
        return BadRequest;
    case Kind::NeverFits:
        return Unprocessable;
    case Kind::AlreadyEnded:
        return Conflict;
    case Kind::NotPersisted:
    case Kind::OutcomeUnknown:
        break;
    }
    return Unavailable;
}

auto PlatformError::name() const -> std::string_view
{
    switch (kind) {
    case Kind::Unreachable:
        return "platform-unreachable";
    case Kind::TimedOut:
        return "platform-timed-out";
    case Kind::Malformed:
        return "platform-malformed-answer";
    case Kind::Refused:
        break;
    }
    return "platform-refused";
}

auto PlatformError::message() const -> std::string
{
    return std::string(name()) + ": " + detail;
}

} // namespace shallotproxy
