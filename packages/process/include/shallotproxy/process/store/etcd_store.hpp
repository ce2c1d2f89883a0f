#pragma once

#include <chrono>
#include <memory>
#include <string>

#include <QNetworkAccessManager>

#include "store_types.hpp"

namespace shallotproxy {

/// Client of a key-value service with etcd's v3 JSON interface. Must be used on one Qt thread.
class EtcdStore
{
public:
    /// Creates a client of the service at `endpoint` (`ADDRESS:PORT`). A call fails if it is not
    /// answered within `timeout`.
    EtcdStore(std::string endpoint, std::chrono::milliseconds timeout);

    /// Sends a call. `callback` runs exactly once, on the same thread.
    auto call(StoreCall call, StoreCallback callback) -> void;

private:
    std::string m_endpoint;
    std::chrono::milliseconds m_timeout;
    QNetworkAccessManager m_manager;
};

static_assert(KeyValueStore<EtcdStore>);

} // namespace shallotproxy
