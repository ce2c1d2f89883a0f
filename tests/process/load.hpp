#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <QObject>
#include <QTimer>

#include "shallotproxy/connection.hpp"
#include "shallotproxy/process/base/boot_clock.hpp"

namespace shallotproxy::test {

/// Requests that one team sends to one queue.
struct LoadStream
{
    std::string queue;
    std::string team;
    std::string key;
    double rate = 0; // requests a second
    int workMilliseconds = 0;
    bool isIdempotent = false; // if set, targets do not count repeats
};

/// Counts the outcomes of a load's requests.
struct LoadTally
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0; // refused by a member, or not sent
    std::uint64_t unknown = 0;
    std::uint64_t interrupted = 0; // the connection ended or timed out without a response
    std::uint64_t mismatched = 0; // answered with the body of another request

    [[nodiscard]] auto ended() const -> std::uint64_t
    {
        return answered + refused + unknown + interrupted;
    }
};

/// Sends requests at constant rates, each on a connection of its own, while the event loop runs.
class Load : public QObject
{
public:
    using Endpoints = std::function<std::vector<std::string>()>;

    /// `endpoints` returns the callers' endpoints of the members that requests go to in turn.
    Load(std::vector<LoadStream> streams, Endpoints endpoints);

    auto stop() -> void { m_timer.stop(); }
    /// Stops sending and waits until every request has ended. Returns whether all did in time.
    auto finish(int timeoutMilliseconds) -> bool;
    [[nodiscard]] auto tally() const -> const LoadTally & { return m_tally; }

private:
    auto tick() -> void;
    auto send(const LoadStream &stream) -> void;
    auto countOutcome(const std::string &body, const TargetReply &reply) -> void;

    std::vector<LoadStream> m_streams;
    std::vector<double> m_due; // number of requests that are due, per stream
    Endpoints m_endpoints;
    QTimer m_timer;
    BootTime m_lastTick;
    std::uint64_t m_nextNumber = 0;
    LoadTally m_tally;
};

} // namespace shallotproxy::test
