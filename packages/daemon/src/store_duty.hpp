#pragma once

#include <memory>

#include <QObject>

#include "links.hpp"
#include "process_context.hpp"

namespace shallotproxy {

/// Sends the control duty's calls to the store, the platform's etcd service, and returns the
/// replies.
class StoreDuty : public QObject
{
public:
    StoreDuty(ProcessContext &process, Links &links);

    auto start() -> void;
    auto stop() -> void;

private:
    auto drainCalls() -> void;

    ProcessContext &m_process;
    Links &m_links;
    std::unique_ptr<EtcdStore> m_store;
};

} // namespace shallotproxy
