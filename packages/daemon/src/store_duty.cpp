#include "store_duty.hpp"

#include <algorithm>
#include <chrono>

#include "duty_thread.hpp"

namespace shallotproxy {

namespace {

constexpr auto StoreLog = Log("store");

auto isRead(const StoreCall &call) -> bool
{
    const auto *transaction = std::get_if<StoreTransaction>(&call);
    return transaction != nullptr
        && std::ranges::all_of(transaction->onSuccess, [](const StoreOperation &it) {
               return std::holds_alternative<StoreRange>(it);
           });
}

} // namespace

StoreDuty::StoreDuty(ProcessContext &process, Links &links)
    : m_process(process)
    , m_links(links)
{
    attachConsumer(links.controlToStore, this, [this] { drainCalls(); });
}

auto StoreDuty::start() -> void
{
    const auto timeout = std::chrono::milliseconds(m_process.settings.storeTimeoutMilliseconds);
    m_store = std::make_unique<EtcdStore>(m_process.settings.storeEndpoint, timeout);
}

auto StoreDuty::stop() -> void
{
    m_store.reset();
}

auto StoreDuty::drainCalls() -> void
{
    m_links.controlToStore.drain([this](NumberedStoreCall numberedCall) {
        if (!m_store)
            return;
        m_process.metrics.count("shallotproxy_store_calls_total",
                                isRead(numberedCall.call) ? R"(kind="read")" : R"(kind="write")");
        const auto started = BootClock::now();
        m_store->call(
            std::move(numberedCall.call),
            [this, started, number = numberedCall.number](StoreReply reply) {
                const auto took = std::chrono::duration<double>(BootClock::now() - started);
                m_process.metrics.sample("shallotproxy_store_seconds", {}, took.count());
                if (!reply) {
                    m_process.metrics.count("shallotproxy_store_failures_total");
                    StoreLog.debug("call {} failed: {}", number, reply.error().message());
                }
                if (!m_links.storeToControl.push({number, std::move(reply)})) {
                    StoreLog.error(
                        "ring from store to control is full, dropped the reply to call {}", number);
                }
            });
    });
}

} // namespace shallotproxy
