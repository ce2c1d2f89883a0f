#pragma once

#include <string>
#include <string_view>

#include "shallotproxy/process/base/error.hpp"

namespace shallotproxy {

/// Why a call about a task was refused.
struct TaskError
{
    enum class Kind {
        UnknownTask = 801,
        Malformed = 802,
        NeverFits = 803,
        UnknownPool = 804,
        NotPersisted = 805,
        OutcomeUnknown = 806,
        AlreadyEnded = 807,
    };

    Kind kind = Kind::Malformed;
    std::string detail;

    [[nodiscard]] auto number() const -> int { return static_cast<int>(kind); }
    [[nodiscard]] auto name() const -> std::string_view;
    [[nodiscard]] auto message() const -> std::string;
    /// Returns the HTTP status of the reply to the submitter.
    [[nodiscard]] auto status() const -> unsigned;
};

/// Failure of a call to a worker or to the platform's host list.
struct PlatformError
{
    enum class Kind { Unreachable = 811, TimedOut = 812, Malformed = 813, Refused = 814 };

    Kind kind = Kind::Unreachable;
    std::string detail;

    [[nodiscard]] auto number() const -> int { return static_cast<int>(kind); }
    [[nodiscard]] auto name() const -> std::string_view;
    [[nodiscard]] auto message() const -> std::string;
};

} // namespace shallotproxy
