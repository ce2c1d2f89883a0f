#pragma once

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
    struct OpenRequest
    {
        HttpResponder responder;
        HttpRequest forwarded;
        QueueName queue;
        PoolName pool;
        TeamName team;
        HostName host;
        std::string id;
        BootTime arrived;
        BootTime started;
        BootTime deadline;
    };

    auto handleRequest(HttpRequest request, HttpResponder responder) -> void;
    auto handleQueueRequest(HttpRequest request, HttpResponder responder) -> void;
    auto handleHealth(HttpResponder responder) -> void;
    auto handleControlCall(HttpRequest request, HttpResponder responder) -> void;
    auto drainUpdates() -> void;
    auto apply(FrontUpdate update) -> void;
    auto tick() -> void;
    auto dispatch(const DispatchEvent &event) -> void;
    auto perform(const StartRequest &action) -> void;
    auto perform(const RefuseRequest &action) -> void;
    auto finish(RequestNumber number, const TargetReply &reply) -> void;
    auto answer(OpenRequest &open, HttpResponse response, std::string_view outcome) -> void;
    auto dropVanishedCallers() -> void;

    ProcessContext &m_process;
    Links &m_links;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<QTimer> m_timer;
    TargetPool m_targets;
    Dispatcher m_dispatcher;
    ConfigurationPointer m_configuration;
    BootTime m_freshUntil;
    bool m_isDraining = false;
    std::uint64_t m_unitsMark = 0;
    TeamUsages m_usage;
    RequestNumber m_lastNumber = 0;
    std::unordered_map<RequestNumber, OpenRequest> m_open;
    std::unordered_map<std::uint64_t, HttpResponder> m_controlCalls;
};

} // namespace shallotproxy
