#pragma once

#include <memory>

#include <QNetworkAccessManager>
#include <QObject>

#include "links.hpp"
#include "process_context.hpp"

namespace shallotproxy {

/// Sends the control duty's calls to workers and to the platform's host list, and returns the
/// replies.
class PlatformDuty : public QObject
{
public:
    PlatformDuty(ProcessContext &process, Links &links);

    auto start() -> void;
    auto stop() -> void;

private:
    auto drainCalls() -> void;
    auto send(const NumberedPlatformCall &numberedCall) -> void;
    auto finish(std::uint64_t number, PlatformReply reply) -> void;

    ProcessContext &m_process;
    Links &m_links;
    std::unique_ptr<QNetworkAccessManager> m_manager;
};

} // namespace shallotproxy
