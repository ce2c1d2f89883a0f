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
    bool isIdempotent = false; // targets need not count repeats
};

/// What became of a load's requests.
struct LoadTally
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0; // by a member, or nobody listened
    std::uint64_t unknown = 0;
    std::uint64_t cut = 0; // the connection ended without an answer
    std::uint64_t wrong = 0; // answered with another request's body

    [[nodiscard]] auto ended() const -> std::uint64_t { return answered + refused + unknown + cut; }
};

/// Callers that send steadily, each request on a connection of its own, while the event loop runs.
class Load : public QObject
{
public:
    using Endpoints = std::function<std::vector<std::string>()>;

    /// `endpoints` names the members' callers' faces that requests go to in turn.
    Load(std::vector<LoadStream> streams, Endpoints endpoints);

    auto stop() -> void { m_timer.stop(); }
    /// Stops and waits until every request has ended; whether all did.
    auto finish(int timeoutMilliseconds) -> bool;
    [[nodiscard]] auto tally() const -> const LoadTally & { return m_tally; }

private:
    auto tick() -> void;
    auto send(const LoadStream &stream) -> void;
    auto count(const std::string &body, const TargetReply &reply) -> void;

    std::vector<LoadStream> m_streams;
    std::vector<double> m_due; // requests, per stream
    Endpoints m_endpoints;
    QTimer m_timer;
    BootTime m_last;
    std::uint64_t m_number = 0;
    LoadTally m_tally;
};

} // namespace shallotproxy::test
