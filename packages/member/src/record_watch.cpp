#include <QPointer>
#include <QTimer>

#include "shallotproxy/member/record_watch.hpp"

namespace shallotproxy {

namespace {

constexpr int FirstRetryMilliseconds = 60; // a cut connection is mended at once
constexpr int LongestRetryMilliseconds = 480; // keeps calls few while the store is away

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
        if (!self || !self->isAnswered(reply))
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
        if (!self || !self->isAnswered(reply))
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

auto RecordWatch::isAnswered(const Expected<StoreRead, StoreFailure> &reply) -> bool
{
    if (reply) {
        setReached(true);
    } else {
        retry(reply.error());
    }
    return reply.has_value();
}

auto RecordWatch::retry(const StoreFailure &ec) -> void
{
    if (ec.kind == StoreFailure::Kind::HistoryGone) {
        load();
        return;
    }
    setReached(false);
    const auto wait =
        std::min(FirstRetryMilliseconds << std::min(m_failures, 3), LongestRetryMilliseconds);
    ++m_failures;
    QTimer::singleShot(wait, this, [this] {
        if (m_isLoaded) {
            watch();
        } else {
            load();
        }
    });
}

auto RecordWatch::setReached(bool isReached) -> void
{
    if (isReached)
        m_failures = 0;
    if (m_isReached == isReached)
        return;
    m_isReached = isReached;
    if (m_handlers.reached)
        m_handlers.reached(isReached);
}

} // namespace shallotproxy
