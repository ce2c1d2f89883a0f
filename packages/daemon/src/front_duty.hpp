#pragma once

#include <deque>
#include <optional>
#include <unordered_map>

#include <QObject>
#include <QTimer>

#include "links.hpp"
#include "process_context.hpp"
#include "shallotproxy/connection.hpp"
#include "shallotproxy/request.hpp"
#include "target_pool.hpp"

namespace shallotproxy {

/// Serves callers: admits, queues and dispatches requests, and returns the targets' answers.
class FrontDuty : public QObject
{
public:
    FrontDuty(ProcessContext &process, Links &links);

    auto listen() -> Expected<void, ListenError>;
    auto start() -> void;
    auto stop() -> void;
    /// Starts the graceful shutdown: the health check fails at once; after the settle time, queued
    /// requests are refused.
    auto drain() -> void;
    /// Returns whether the duty is draining and no request is open.
    [[nodiscard]] auto isIdle() const -> bool;

private:
    enum class Phase : std::uint8_t { Claiming, Waiting, Running };
    enum class ShutdownPhase : std::uint8_t { Serving, Settling, Draining };

    struct OpenRequest
    {
        Phase phase = Phase::Waiting;
        bool isIdempotent = false;
        bool isClaimed = false; // the end of the request must be reported for its claim
        std::optional<TargetError> error; // error of the last attempt that may have run
        RequestArrived arrival;
        HttpResponder responder;
        HttpRequest forwarded;
        QueueName queue;
        PoolName pool;
        TeamName team;
        HostName host; // target of the current attempt
        BootTime attemptStartedAt;
        std::string id;
        BootTime arrived;
        BootTime deadline;
    };

    auto handleRequest(HttpRequest request, HttpResponder responder) -> void;
    auto handleQueueRequest(HttpRequest request, HttpResponder responder) -> void;
    auto open(AdmittedRequest admitted, HttpResponder responder) -> void;
    auto claim(RequestNumber number, std::string key, std::string fingerprint) -> void;
    auto checkHead(const HttpRequest &head) const -> std::optional<HttpResponse>;
    auto handleHealth(HttpResponder responder) -> void;
    auto handleControlCall(HttpRequest request, HttpResponder responder) -> void;
    auto drainUpdates() -> void;
    auto apply(FrontUpdate update) -> void;
    auto tick() -> void;
    auto dispatch(const DispatchEvent &event) -> void;
    auto perform(const StartRequest &action) -> void;
    auto perform(const RefuseRequest &action) -> void;
    /// Answers a request whose outcome stays unknown.
    auto perform(const AbandonRequest &action) -> void;
    auto apply(const ClaimDecision &decision) -> void;
    auto apply(const ControlReply &reply) -> void;
    auto apply(const UnitsUpdate &change) -> void;
    [[nodiscard]] auto mayWrite(const HostName &name) const -> bool;
    auto finish(RequestNumber number, const TargetReply &reply) -> void;
    auto handleFailure(RequestNumber number, const TargetError &ec) -> void;
    auto handleAnswer(RequestNumber number, HttpResponse response) -> void;
    auto refuse(RequestNumber number, const Refusal &refusal) -> void;
    auto endClaim(RequestNumber number, RequestOutcome end,
                  std::optional<HttpResponse> response = {}) -> void;
    auto answer(OpenRequest &open, HttpResponse response, std::string_view outcome) -> void;
    auto handleCallerDisconnected(RequestNumber number) -> void;
    auto close(RequestNumber number) -> void;
    auto probeUnresponsiveTargets(BootTime now) -> void;
    auto probe(const HostName &name) -> void;
    [[nodiscard]] auto version() const -> ConfigurationVersion;

    ProcessContext &m_process;
    Links &m_links;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<QTimer> m_timer;
    TargetPool m_targets;
    Dispatcher m_dispatcher;
    ConfigurationPointer m_configuration;
    BootTime m_freshUntil;
    KeyIndex m_keys;
    ShutdownPhase m_shutdownPhase = ShutdownPhase::Serving;
    std::size_t m_openBodyBytes = 0; // total size of the bodies of open requests
    // Running attempts with the time of their start or last probe, oldest first.
    std::deque<std::pair<BootTime, RequestNumber>> m_attempts;
    std::uint64_t m_unitsGeneration = 0;
    TeamUsages m_usage;
    RequestNumber m_lastNumber = 0;
    std::unordered_map<RequestNumber, OpenRequest> m_open;
    std::unordered_map<std::uint64_t, HttpResponder> m_controlCalls;
};

} // namespace shallotproxy
