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

/// Serves callers: admits, queues and dispatches requests, and carries answers back.
class FrontDuty : public QObject
{
public:
    FrontDuty(ProcessContext &process, Links &links);

    auto listen() -> Expected<void, ListenError>;
    auto start() -> void;
    auto stop() -> void;
    /// Begins the graceful shutdown.
    auto drain() -> void;
    /// Whether no request is open any more.
    [[nodiscard]] auto isIdle() const -> bool;

private:
    enum class Phase : std::uint8_t { Claiming, Waiting, Running };
    enum class Ending : std::uint8_t { Serving, Settling, Draining };

    struct OpenRequest
    {
        Phase phase = Phase::Waiting;
        bool isIdempotent = false;
        bool isClaimed = false; // the claim's end is to be reported
        std::optional<TargetError> error; // of the last try that may have run
        RequestArrived arrival;
        HttpResponder responder;
        HttpRequest forwarded;
        QueueName queue;
        PoolName pool;
        TeamName team;
        HostName host; // of the current try
        BootTime triedAt;
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
    auto perform(const AbandonRequest &action) -> void;
    auto apply(const ClaimDecision &verdict) -> void;
    auto apply(const ControlReply &reply) -> void;
    auto apply(const UnitsUpdate &change) -> void;
    [[nodiscard]] auto mayWrite(const HostName &name) const -> bool;
    auto finish(RequestNumber number, const TargetReply &reply) -> void;
    auto takeFailure(RequestNumber number, const TargetError &ec) -> void;
    auto takeAnswer(RequestNumber number, HttpResponse response) -> void;
    auto refuse(RequestNumber number, const Refusal &refusal) -> void;
    auto endClaim(RequestNumber number, RequestOutcome end,
                  std::optional<HttpResponse> response = {}) -> void;
    auto answer(OpenRequest &open, HttpResponse response, std::string_view outcome) -> void;
    auto callerGone(RequestNumber number) -> void;
    auto close(RequestNumber number) -> void;
    auto probeSilentTargets(BootTime now) -> void;
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
    Ending m_ending = Ending::Serving;
    std::size_t m_openBytes = 0; // of bodies held for dispatch
    std::deque<std::pair<BootTime, RequestNumber>> m_tries; // running, in the order of their start
    std::uint64_t m_unitsMark = 0;
    TeamUsages m_usage;
    RequestNumber m_lastNumber = 0;
    std::unordered_map<RequestNumber, OpenRequest> m_open;
    std::unordered_map<std::uint64_t, HttpResponder> m_controlCalls;
};

} // namespace shallotproxy
