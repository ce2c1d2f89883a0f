#include "shallotproxy/request/admission/refusal.hpp"

namespace shallotproxy {

auto Refusal::name() const -> std::string_view
{
    switch (kind) {
    case Kind::UnknownQueue:
        return "unknown-queue";
    case Kind::BadKey:
        return "bad-key";
    case Kind::QueueFull:
        return "queue-full";
    case Kind::DeadlinePassed:
        return "deadline-passed";
    case Kind::NotFresh:
        return "configuration-not-fresh";
    case Kind::ShuttingDown:
        return "shutting-down";
    case Kind::NoTarget:
        return "no-target";
    case Kind::BadRequest:
        return "bad-request";
    case Kind::Overloaded:
        return "overloaded";
    case Kind::AlreadyStarted:
        return "already-started";
    case Kind::ClaimUnavailable:
        return "claim-unavailable";
    case Kind::CallerDisconnected:
        return "caller-gone";
    case Kind::KeyReused:
        break;
    }
    return "idempotency-key-reused";
}

auto Refusal::message() const -> std::string
{
    return std::string(name());
}

auto Refusal::outcome() const -> std::string_view
{
    return kind == Kind::AlreadyStarted ? "already-started" : "not-run";
}

auto Refusal::status() const -> unsigned
{
    constexpr unsigned Unauthorized = 401;
    constexpr unsigned NotFound = 404;
    constexpr unsigned BadRequestStatus = 400;
    constexpr unsigned Conflict = 409;
    constexpr unsigned UnprocessableContent = 422;
    constexpr unsigned Unavailable = 503;
    switch (kind) {
    case Kind::UnknownQueue:
        return NotFound;
    case Kind::BadKey:
        return Unauthorized;
    case Kind::BadRequest:
        return BadRequestStatus;
    case Kind::AlreadyStarted:
        return Conflict;
    case Kind::KeyReused:
        return UnprocessableContent;
    default:
        return Unavailable;
    }
}

auto refusalResponse(const Refusal &refusal) -> HttpResponse
{
    return jsonResponse(refusal.status(),
                        errorBody(refusal.number(), refusal.name(), refusal.outcome()));
}

} // namespace shallotproxy
