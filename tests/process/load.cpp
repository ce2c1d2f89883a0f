#include "load.hpp"

#include <chrono>

#include <fmt/format.h>

#include "fleet.hpp"

namespace shallotproxy::test {

namespace {

using namespace std::chrono_literals;

constexpr auto TickInterval = 10ms;
constexpr auto ResponseTimeoutMilliseconds = 15'000;

} // namespace

Load::Load(std::vector<LoadStream> streams, Endpoints endpoints)
    : m_streams(std::move(streams))
    , m_due(m_streams.size())
    , m_endpoints(std::move(endpoints))
    , m_lastTick(BootClock::now())
{
    connect(&m_timer, &QTimer::timeout, this, [this] { tick(); });
    m_timer.start(TickInterval);
}

auto Load::finish(int timeoutMilliseconds) -> bool
{
    stop();
    return waitUntil([this] { return m_tally.ended() == m_tally.sent; }, timeoutMilliseconds);
}

auto Load::tick() -> void
{
    const auto now = BootClock::now();
    const auto elapsedSeconds = std::chrono::duration<double>(now - m_lastTick).count();
    m_lastTick = now;
    for (std::size_t i = 0; i < m_streams.size(); ++i) {
        m_due[i] += m_streams[i].rate * elapsedSeconds;
        for (; m_due[i] >= 1; m_due[i] -= 1)
            send(m_streams[i]);
    }
}

auto Load::send(const LoadStream &stream) -> void
{
    const auto endpoints = m_endpoints();
    if (endpoints.empty())
        return;
    const auto number = m_nextNumber++;
    const auto body =
        fmt::format("{} {} {}", stream.isIdempotent ? "any" : "once", stream.queue, number);
    auto request = Fleet::queueRequest(stream.queue, stream.key, stream.workMilliseconds, body);
    request.headers.push_back({"Team", stream.team});
    ++m_tally.sent;
    auto *connection = new TargetConnection(endpoints[number % endpoints.size()], {}, this);
    connection->send(request, ResponseTimeoutMilliseconds,
                     [this, connection, body](const TargetReply &reply) {
                         countOutcome(body, reply);
                         connection->deleteLater();
                     });
}

auto Load::countOutcome(const std::string &body, const TargetReply &reply) -> void
{
    if (!reply) {
        ++(reply.error().isNotSent() ? m_tally.refused : m_tally.interrupted);
        return;
    }
    const auto outcome = reply->header("Shallotproxy-Outcome");
    if (outcome == "answered") {
        ++m_tally.answered;
        const auto isOwn = reply->body == body || reply->status >= 500;
        m_tally.mismatched += isOwn ? 0U : 1U;
    } else if (outcome == "unknown") {
        ++m_tally.unknown;
    } else {
        ++m_tally.refused;
    }
}

} // namespace shallotproxy::test
