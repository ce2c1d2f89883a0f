#pragma once

#include <memory>
#include <unordered_map>

#include <QObject>

#include "links.hpp"
#include "process_context.hpp"
#include "shallotproxy/connection/http/http_server.hpp"

namespace shallotproxy {

/// Serves operators: metrics and timeline itself, all other calls through the control duty.
class OperatorDuty : public QObject
{
public:
    OperatorDuty(ProcessContext &process, Links &links);

    auto listen() -> Expected<void, ListenError>;
    auto start() -> void;
    auto stop() -> void;

private:
    auto handleRequest(HttpRequest request, HttpResponder responder) -> void;
    [[nodiscard]] auto isOperator(const HttpRequest &request) const -> bool;
    auto timelineResponse(std::string_view path) const -> HttpResponse;
    auto drainReplies() -> void;

    ProcessContext &m_process;
    Links &m_links;
    std::unique_ptr<HttpServer> m_server;
    std::uint64_t m_lastNumber = 0;
    std::unordered_map<std::uint64_t, HttpResponder> m_calls;
};

} // namespace shallotproxy
