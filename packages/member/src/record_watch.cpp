#include <QPointer>
#include <QTimer>

#include "shallotproxy/member/record_watch.hpp"

namespace shallotproxy {

namespace {

constexpr int MinRetryMilliseconds = 60; // a lost connection is usually restored at once
constexpr int MaxRetryMilliseconds = 480; // limits the calls while the store is unreachable

} // namespace

RecordWatch::RecordWatch(RecordStore &store, std::string prefix, std::chrono::milliseconds wait,
                         Handlers handlers, QObject *parent)
    : QObject(parent)
    , m_store(store)
    , m_prefix(std::move(prefix))
    , m_wait(wait)
    , m_handlers(std::move(handlers))
{ }

auto RecordWatch::start() -> void
{
    load();
}

auto RecordWatch::load() -> void
{
    const auto sentAt = BootClock::now();
    m_store.readAll(m_prefix, [self = QPointer(this), sentAt](auto reply) {
        if (!self || !self->acceptReply(reply))
            return;
        self->m_revision = reply->revision;
        self->m_isLoaded = true;
        self->m_handlers.reset(reply->records);
        if (!self)
            return;
        if (self->m_handlers.confirmed)
            self->m_handlers.confirmed(sentAt);
        self->watch();
    });
}

auto RecordWatch::watch() -> void
{
    const auto sentAt = BootClock::now();
    m_store.watch(m_prefix, m_revision, m_wait, [self = QPointer(this), sentAt](auto reply) {
        if (!self || !self->acceptReply(reply))
            return;
        for (const auto &record : reply->records) {
            self->m_handlers.changed(record);
            if (!self)
                return;
        }
        self->m_revision = std::max(self->m_revision, reply->revision);
        if (self->m_handlers.confirmed)
            self->m_handlers.confirmed(sentAt);
        if (self)
            self->watch();
    });
}

auto RecordWatch::acceptReply(const Expected<StoreRead, StoreFailure> &reply) -> bool
{
    if (reply) {
        setReachable(true);
    } else {
        retry(reply.error());
    }
    return reply.has_value();
}

auto RecordWatch::retry(const StoreFailure &ec) -> void
{
    if (ec.kind == StoreFailure::Kind::HistoryCompacted) {
        load();
        return;
    }
    setReachable(false);
    const auto wait =
        std::min(MinRetryMilliseconds << std::min(m_failures, 3), MaxRetryMilliseconds);
    ++m_failures;
    QTimer::singleShot(wait, this, [this] {
        if (m_isLoaded) {
            watch();
        } else {
            load();
        }
    });
}

auto RecordWatch::setReachable(bool isReachable) -> void
{
    if (isReachable)
        m_failures = 0;
    if (m_isReachable == isReachable)
        return;
    m_isReachable = isReachable;
    if (m_handlers.reachabilityChanged)
        m_handlers.reachabilityChanged(isReachable);
}

} // namespace shallotproxy
