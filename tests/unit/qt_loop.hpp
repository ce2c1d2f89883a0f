#pragma once

#include <functional>

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>
#include <QTimer>

namespace shallotproxy::test {

/// Sockets and timers need an application object; the first call makes it.
inline auto ensureApplication() -> void
{
    static auto count = 1;
    static auto name = std::string("unit_tests");
    static char *arguments[] = {name.data(), nullptr};
    if (QCoreApplication::instance() == nullptr)
        new QCoreApplication(count, arguments);
}

/// Runs the event loop until `condition` holds; false if it doesn't within the time.
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

/// Runs the event loop for so long.
inline auto runFor(int milliseconds) -> void
{
    runUntil([] { return false; }, milliseconds);
}

} // namespace shallotproxy::test
