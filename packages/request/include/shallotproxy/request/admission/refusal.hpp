#pragma once

#include <string>
#include <string_view>

#include "shallotproxy/connection/http/http_message.hpp"
#include "shallotproxy/process/base/error.hpp"

namespace shallotproxy {

/// Why a request was not run. No byte of it has reached a target. With `AlreadyStarted` this
/// applies to the repeat only: the first request with its key may have run or may be running.
struct Refusal
{
    enum class Kind {
        UnknownQueue = 201,
        BadKey = 202,
        QueueFull = 203,
        DeadlinePassed = 204,
        NotFresh = 205,
        ShuttingDown = 206,
        NoTarget = 207,
        BadRequest = 208,
        Overloaded = 209,
        AlreadyStarted = 210,
        ClaimUnavailable = 211,
        CallerDisconnected = 212,
        KeyReused = 213,
    };

    Kind kind = Kind::BadRequest;

    [[nodiscard]] auto number() const -> int { return static_cast<int>(kind); }
    [[nodiscard]] auto name() const -> std::string_view;
    [[nodiscard]] auto message() const -> std::string;
    /// Returns the HTTP status of the reply to the caller.
    [[nodiscard]] auto status() const -> unsigned;
    /// Returns the outcome reported to the caller: `not-run` or `already-started`.
    [[nodiscard]] auto outcome() const -> std::string_view;
};

/// Returns the reply to the caller.
auto refusalResponse(const Refusal &refusal) -> HttpResponse;

} // namespace shallotproxy
