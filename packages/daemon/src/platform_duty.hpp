#pragma once

#include <memory>

#include <QNetworkAccessManager>
#include <QObject>

#include "links.hpp"
#include "process_context.hpp"

namespace shallotproxy {

/// Carries calls to workers and to the platform's host list, and their answers back.
class PlatformDuty : public QObject
{
public:
    PlatformDuty(ProcessContext &process, Links &links);

    auto start() -> void;
    auto stop() -> void;

private:
    auto drainOrders() -> void;
    auto send(const PlatformOrder &order) -> void;
    auto finish(std::uint64_t number, PlatformReply reply) -> void;

    ProcessContext &m_process;
    Links &m_links;
    std::unique_ptr<QNetworkAccessManager> m_manager;
};

} // namespace shallotproxy
