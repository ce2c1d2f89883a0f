#pragma once

#include <functional>

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>
#include <QTimer>

namespace shallotproxy::test {

/// Creates the application object, which sockets and timers need, unless it exists.
inline auto ensureApplication() -> void
{
    static auto count = 1;
    static auto name = std::string("unit_tests");
    static char *arguments[] = {name.data(), nullptr};
    if (QCoreApplication::instance() == nullptr)
        new QCoreApplication(count, arguments);
}

/// Runs the event loop until `condition` holds. Returns false if it doesn't within the timeout.
inline auto runUntil(const std::function<bool()> &condition, int timeoutMilliseconds = 3'000)
    -> bool
{
    ensureApplication();
    auto timer = QElapsedTimer();
    timer.start();
    while (!condition()) {
        if (timer.elapsed() > timeoutMilliseconds)
            return false;
        QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
        QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
    }
    return true;
}

/// Runs the event loop for the given time.
inline auto runFor(int milliseconds) -> void
{
    runUntil([] { return false; }, milliseconds);
}

} // namespace shallotproxy::test
