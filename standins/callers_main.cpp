#include <chrono>
#include <iostream>
#include <map>
#include <random>
#include <sstream>

#include <QCoreApplication>
#include <QTimer>

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include "shallotproxy/connection.hpp"
#include "shallotproxy/process.hpp"

namespace {

using namespace shallotproxy;
using namespace std::chrono_literals;

namespace options = boost::program_options;

constexpr auto ResponseTimeoutMilliseconds = 40'000;
constexpr auto HealthCheckInterval = 200ms;
constexpr auto TickInterval = 5ms;
constexpr auto OpenRequestsTimeout = 12s; // for requests that are still open when sending stops
constexpr double BurstFactor = 5; // rate of the bursting queue, relative to its average
constexpr double IdleFactor = 0.05; // rate of all other queues, relative to their average

/// Describes the requests of one team to one queue, declared as `QUEUE:TEAM:KEY:RATE:WORK_MS`. The
/// key `-` sends requests without a key.
struct Stream
{
    std::string queue;
    std::string team;
    std::string key;
    double rate = 0; // average, in requests per second
    int workMilliseconds = 0;
    double unsentRequests = 0; // requests that are due at the rate, with a fraction
};

/// Counts the requests of one team by their outcome.
struct Tally
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t disconnected = 0; // the connection closed before a response
    // Responses whose body is not that of the request: they belong to another request.
    std::uint64_t mismatched = 0;
};

auto parseStream(const std::string &text) -> Stream
{
    auto stream = Stream();
    auto input = std::istringstream(text);
    auto rate = std::string();
    auto work = std::string();
    std::getline(input, stream.queue, ':');
    std::getline(input, stream.team, ':');
    std::getline(input, stream.key, ':');
    std::getline(input, rate, ':');
    std::getline(input, work, ':');
    stream.rate = std::stod(rate);
    stream.workMilliseconds = std::stoi(work);
    return stream;
}

/// Simulates the platform's load balancer: sends requests in turn to the members whose health check
/// passes.
class Balancer : public QObject
{
public:
    explicit Balancer(const std::vector<std::string> &endpoints)
    {
        for (const auto &it : endpoints)
            m_members.push_back({it, false, {}});
        connect(&m_timer, &QTimer::timeout, this, [this] { checkAll(); });
        m_timer.start(HealthCheckInterval);
        checkAll();
    }

    auto send(const HttpRequest &request, TargetConnection::Callback callback) -> void
    {
        auto *member = nextHealthy();
        if (member == nullptr) {
            callback(tl::unexpected(TargetError{TargetError::Kind::NotConnected}));
            return;
        }
        auto *connection = acquireConnection(*member);
        connection->send(request, ResponseTimeoutMilliseconds,
                         [member, connection, callback = std::move(callback)](TargetReply reply) {
                             if (connection->isReusable()) {
                                 member->idle.push_back(connection);
                             } else {
                                 connection->deleteLater();
                             }
                             callback(std::move(reply));
                         });
    }

    [[nodiscard]] auto healthyCount() const -> std::size_t
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(m_members, [](const auto &it) { return it.isHealthy; }));
    }

private:
    struct Member
    {
        std::string endpoint;
        bool isHealthy = false;
        std::vector<TargetConnection *> idle;
    };

    auto nextHealthy() -> Member *
    {
        for (std::size_t i = 0; i < m_members.size(); ++i) {
            m_next = (m_next + 1) % m_members.size();
            if (m_members[m_next].isHealthy)
                return &m_members[m_next];
        }
        return nullptr;
    }

    auto acquireConnection(Member &member) -> TargetConnection *
    {
        while (!member.idle.empty()) {
            auto *connection = member.idle.back();
            member.idle.pop_back();
            if (connection->isReusable())
                return connection;
            connection->deleteLater();
        }
        return new TargetConnection(member.endpoint, {}, this);
    }

    auto checkAll() -> void
    {
        constexpr auto CheckTimeoutMilliseconds = 500;
        constexpr unsigned Ok = 200;
        for (auto &it : m_members) {
            auto *connection = new TargetConnection(it.endpoint, {}, this);
            connection->send({"GET", "/health", {{"Connection", "close"}}, ""},
                             CheckTimeoutMilliseconds, [&it, connection](const TargetReply &reply) {
                                 it.isHealthy = reply && reply->status == Ok;
                                 connection->deleteLater();
                             });
        }
    }

    std::vector<Member> m_members;
    std::size_t m_next = 0;
    QTimer m_timer;
};

/// Sends the requests of the streams. The queues take turns: one receives a burst while the others
/// receive few requests.
class Traffic : public QObject
{
public:
    Traffic(Balancer &balancer, std::vector<Stream> streams, double seconds, double burstSeconds)
        : m_balancer(balancer)
        , m_streams(std::move(streams))
        , m_seconds(seconds)
        , m_burstSeconds(burstSeconds)
    {
        for (const auto &it : m_streams) {
            if (std::ranges::find(m_queues, it.queue) == m_queues.end())
                m_queues.push_back(it.queue);
        }
        connect(&m_timer, &QTimer::timeout, this, [this] { tick(); });
        m_started = BootClock::now();
        m_last = m_started;
        m_timer.start(TickInterval);
    }

    [[nodiscard]] auto tallies() const -> const std::map<std::string, Tally> & { return m_tallies; }

private:
    auto tick() -> void
    {
        const auto now = BootClock::now();
        const auto elapsed = std::chrono::duration<double>(now - m_started).count();
        const auto step = std::chrono::duration<double>(now - m_last).count();
        m_last = now;
        if (elapsed > m_seconds) {
            if (m_openRequests == 0
                || now > m_started + std::chrono::duration<double>(m_seconds) + OpenRequestsTimeout)
                QCoreApplication::quit();
            return;
        }
        const auto burstingQueue =
            static_cast<std::size_t>(elapsed / m_burstSeconds) % m_queues.size();
        for (auto &it : m_streams) {
            const auto factor = it.queue == m_queues[burstingQueue] ? BurstFactor : IdleFactor;
            it.unsentRequests += it.rate * factor * step;
            for (; it.unsentRequests >= 1; it.unsentRequests -= 1)
                send(it);
        }
    }

    auto send(const Stream &stream) -> void
    {
        auto request = HttpRequest{"POST", "/queues/" + stream.queue + "/work", {}, ""};
        if (stream.key != "-")
            request.headers.push_back({"Authorization", "Bearer " + stream.key});
        request.headers.push_back({"Work-Ms", std::to_string(stream.workMilliseconds)});
        request.body = fmt::format("{}-{}", stream.team, ++m_lastNumber);
        ++m_tallies[stream.team].sent;
        ++m_openRequests;
        m_balancer.send(request,
                        [this, team = stream.team, body = request.body](const TargetReply &reply) {
                            recordReply(team, body, reply);
                        });
    }

    auto recordReply(const std::string &team, const std::string &body, const TargetReply &reply)
        -> void
    {
        --m_openRequests;
        auto &it = m_tallies[team];
        if (!reply) {
            ++(reply.error().isNotSent() ? it.refused : it.disconnected);
            return;
        }
        const auto outcome = reply->header("Shallotproxy-Outcome");
        if (outcome == "answered") {
            ++it.answered;
            it.mismatched += reply->body == body ? 0U : 1U;
        } else if (outcome == "unknown") {
            ++it.unknown;
        } else {
            ++it.refused;
        }
    }

    Balancer &m_balancer;
    std::vector<Stream> m_streams;
    std::vector<std::string> m_queues;
    double m_seconds;
    double m_burstSeconds;
    QTimer m_timer;
    BootTime m_started;
    BootTime m_last;
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_openRequests = 0;
    std::map<std::string, Tally> m_tallies;
};

/// Prints the counts and returns whether each request has one outcome and no response is
/// mismatched.
auto printTable(const std::map<std::string, Tally> &tallies) -> bool
{
    fmt::print("{:18} {:>8} {:>9} {:>8} {:>8} {:>6} {:>6}\n", "team", "sent", "answered", "refused",
               "unknown", "cut", "wrong");
    auto isComplete = true;
    for (const auto &[team, it] : tallies) {
        fmt::print("{:18} {:8} {:9} {:8} {:8} {:6} {:6}\n", team, it.sent, it.answered, it.refused,
                   it.unknown, it.disconnected, it.mismatched);
        isComplete = isComplete && it.mismatched == 0
            && it.sent == it.answered + it.refused + it.unknown + it.disconnected;
    }
    return isComplete;
}

auto split(const std::string &list) -> std::vector<std::string>
{
    auto parts = std::vector<std::string>();
    auto input = std::istringstream(list);
    for (auto part = std::string(); std::getline(input, part, ',');)
        parts.push_back(part);
    return parts;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto app = QCoreApplication(argc, argv);
    auto members = std::string();
    auto streamTexts = std::vector<std::string>();
    auto seconds = 0.0;
    auto burstSeconds = 0.0;
    auto description = options::options_description("Callers and balancer stand-in");
    description.add_options()("members", options::value(&members)->required(),
                              "callers' addresses, ADDRESS:PORT,...")(
        "stream", options::value(&streamTexts)->required(), "QUEUE:TEAM:KEY:RATE:WORK_MS")(
        "seconds", options::value(&seconds)->default_value(30), "how long to send")(
        "burst-seconds", options::value(&burstSeconds)->default_value(3), "length of one burst");
    auto values = options::variables_map();
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    } catch (const options::error &ec) {
        std::cerr << ec.what() << '\n' << description;
        return 2;
    }
    auto balancer = Balancer(split(members));
    auto streams = std::vector<Stream>();
    for (const auto &it : streamTexts)
        streams.push_back(parseStream(it));
    auto traffic = std::unique_ptr<Traffic>();
    constexpr auto FirstHealthCheckTime = 1s;
    QTimer::singleShot(FirstHealthCheckTime, qApp, [&] {
        traffic = std::make_unique<Traffic>(balancer, std::move(streams), seconds, burstSeconds);
    });
    QCoreApplication::exec();
    return printTable(traffic->tallies()) ? 0 : 1;
}
