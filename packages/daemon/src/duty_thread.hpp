#pragma once

#include <memory>
#include <utility>

#include <QObject>
#include <QThread>

#include "shallotproxy/process/ring/ring.hpp"

namespace shallotproxy {

/// Runs one duty, a part of the process with its own event loop, on its own thread. `Duty` is a
/// QObject with `start()` and `stop()`, both of which run on that thread. Every duty must be
/// stopped before the first one is destroyed.
template <typename Duty>
class DutyThread
{
public:
    template <typename... Args>
    explicit DutyThread(const QString &name, Args &&...args)
        : m_duty(std::make_unique<Duty>(std::forward<Args>(args)...))
    {
        m_thread.setObjectName(name);
        m_context.moveToThread(&m_thread);
        m_duty->moveToThread(&m_thread);
        m_thread.start();
    }

    ~DutyThread()
    {
        call([this] { m_duty.reset(); });
        m_thread.quit();
        m_thread.wait();
    }

    DutyThread(const DutyThread &) = delete;
    auto operator=(const DutyThread &) -> DutyThread & = delete;

    /// Runs `function` on the duty's thread and waits until it has returned.
    template <typename Function>
    auto call(Function &&function) -> void
    {
        QMetaObject::invokeMethod(&m_context, std::forward<Function>(function),
                                  Qt::BlockingQueuedConnection);
    }

    auto start() -> void
    {
        call([this] { m_duty->start(); });
    }

    auto stop() -> void
    {
        call([this] { m_duty->stop(); });
    }

    [[nodiscard]] auto duty() -> Duty & { return *m_duty; }

private:
    QThread m_thread;
    QObject m_context;
    std::unique_ptr<Duty> m_duty;
};

/// Runs `drain` on the thread of `consumer` whenever elements have been pushed to the ring.
template <typename T, typename Drain>
auto attachConsumer(Ring<T> &ring, QObject *consumer, Drain drain) -> void
{
    ring.setWakeup(
        [consumer, drain] { QMetaObject::invokeMethod(consumer, drain, Qt::QueuedConnection); });
}

} // namespace shallotproxy
