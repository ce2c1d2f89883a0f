// Measures the cost of the running processes: added latency, requests per second, calls to the
// platform's key-value service, and the processor time, memory and peer traffic of a member, each
// against the size of the deployment.

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

#include <unistd.h>

#include <QCoreApplication>
#include <QDir>
#include <QTemporaryFile>
#include <QTimer>

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include "fleet.hpp"
#include "load.hpp"
#include "shallotproxy/process.hpp"

namespace {

using namespace shallotproxy;
using namespace shallotproxy::test;
using namespace Qt::StringLiterals;
using namespace std::chrono_literals;

namespace options = boost::program_options;

constexpr auto WarmUpMilliseconds = 2'000;
constexpr auto ResponseTimeoutMilliseconds = 10'000;
constexpr double BytesPerMebibyte = 1024.0 * 1024.0;

/// Size of one deployment.
struct Size
{
    int members = 4;
    int hosts = 100;
    int teams = 6;
    int pools = 5;
    int changesPerMinute = 0;
    double requestsPerSecond = 0;
};

/// Cost of a member, aggregated over all members of a run.
struct Cost
{
    double meanCorePercent = 0;
    double maxCorePercent = 0;
    double maxResidentMebibytes = 0;
    double meanPeerBytesPerSecond = 0; // sent by a member
    double storeCalls = 0; // per second, by all members together
    double changes = 0; // per minute
    double answered = 0; // requests per second
};

/// Processes events for a time.
auto runFor(int milliseconds) -> void
{
    waitUntil([] { return false; }, milliseconds);
}

/// Returns the user and system time of a process in seconds.
auto processorSeconds(qint64 process) -> double
{
    auto file = std::ifstream(fmt::format("/proc/{}/stat", process));
    auto text = std::string(std::istreambuf_iterator<char>(file), {});
    auto input = std::istringstream(text.substr(std::min(text.rfind(')') + 1, text.size())));
    constexpr auto FieldsBeforeUser = 11; // state and ten numbers, see proc(5)
    auto skipped = std::string();
    for (auto i = 0; i < FieldsBeforeUser; ++i)
        input >> skipped;
    auto user = 0.0;
    auto system = 0.0;
    input >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

auto residentMebibytes(qint64 process) -> double
{
    auto file = std::ifstream(fmt::format("/proc/{}/statm", process));
    auto total = 0.0;
    auto resident = 0.0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / BytesPerMebibyte;
}

auto bodyOf(const std::string &endpoint, const std::string &path) -> std::string
{
    const auto reply = sendOnce(endpoint, {"GET", path, {}, ""}, ResponseTimeoutMilliseconds);
    return reply ? reply->body : std::string();
}

auto peerBytes(const Fleet &fleet, int member) -> double
{
    const auto text = bodyOf(fleet.operatorsEndpoint(member), "/metrics");
    constexpr std::string_view Name = "\nshallotproxy_peer_bytes_total ";
    const auto at = text.find(Name);
    return at == std::string::npos ? 0 : std::atof(text.c_str() + at + Name.size());
}

auto storeCalls(const Fleet &fleet) -> double
{
    return std::atof(bodyOf(fleet.storeEndpoint(), "/calls").c_str());
}

/// Returns declarations of the given size. The first hosts are the fleet's targets, in pool 0; all
/// others are workers, spread over all pools.
auto declarations(const Size &size, const Fleet &fleet, int targets) -> std::string
{
    auto text = std::string("dataCentres: [{name: north}, {name: south}]\npools:\n");
    for (auto i = 0; i < size.pools; ++i)
        text += fmt::format("  - {{name: pool-{}, maxUnavailable: 1}}\n", i);
    text += "hosts:\n";
    for (auto i = 0; i < size.hosts; ++i) {
        const auto dataCentre = i % 2 == 0 ? "north" : "south";
        if (i < targets) {
            text += fmt::format("  - {{name: target-{}, dataCentre: {}, rack: r{}, pool: pool-0, "
                                "role: target, address: '127.0.0.1:{}', slots: 8, "
                                "connections: 64}}\n",
                                i, dataCentre, i, fleet.targetPort(i));
        } else {
            text += fmt::format("  - {{name: worker-{}, dataCentre: {}, rack: r{}, pool: pool-{}, "
                                "role: worker, address: '127.0.0.1:9', cores: 64, "
                                "memory: 128 GiB, accelerators: 2}}\n",
                                i, dataCentre, i / 4, i % size.pools);
        }
    }
    text += "teams:\n";
    for (auto i = 0; i < size.teams; ++i)
        text += fmt::format("  - {{name: team-{}, share: 1, limit: 64}}\n", i);
    text += "queues:\n  - {name: orders, pool: pool-0, deadline: 8 s}\n"
            "  - {name: open, pool: pool-0, open: true, deadline: 8 s}\n";
    return text;
}

/// Keeps a number of requests open, each on its own connection, and records their latencies.
class ClosedLoop : public QObject
{
public:
    ClosedLoop(const std::string &endpoint, HttpRequest request, int connections)
        : m_request(std::move(request))
    {
        for (auto i = 0; i < connections; ++i) {
            auto *connection = new TargetConnection(endpoint, {}, this);
            m_connections.push_back(connection);
        }
    }

    /// Sends requests for a time. Returns their latencies in milliseconds.
    auto run(int milliseconds) -> std::vector<double>
    {
        m_samples.clear();
        m_isRunning = true;
        m_openRequests = 0;
        for (auto *it : m_connections)
            send(it);
        runFor(milliseconds);
        m_isRunning = false;
        waitUntil([this] { return m_openRequests == 0; }, ResponseTimeoutMilliseconds);
        return m_samples;
    }

    [[nodiscard]] auto failures() const -> int { return m_failures; }

private:
    auto send(TargetConnection *connection) -> void
    {
        ++m_openRequests;
        const auto started = BootClock::now();
        connection->send(
            m_request, ResponseTimeoutMilliseconds,
            [this, connection, started](const TargetReply &reply) {
                --m_openRequests;
                const auto isSuccess = reply && reply->status == 200;
                m_failures += isSuccess ? 0 : 1;
                m_samples.push_back(
                    std::chrono::duration<double, std::milli>(BootClock::now() - started).count());
                if (m_isRunning && connection->isReusable())
                    QTimer::singleShot(0, this, [this, connection] { send(connection); });
            });
    }

    HttpRequest m_request;
    std::vector<TargetConnection *> m_connections;
    std::vector<double> m_samples;
    bool m_isRunning = false;
    int m_openRequests = 0;
    int m_failures = 0;
};

/// Returns the exact quantile of the samples, and reorders them.
auto quantile(std::vector<double> &samples, double fraction) -> double
{
    if (samples.empty())
        return 0;
    const auto at = static_cast<std::ptrdiff_t>(fraction * static_cast<double>(samples.size() - 1));
    std::ranges::nth_element(samples, samples.begin() + at);
    return samples[static_cast<std::size_t>(at)];
}

/// Creates keys at a rate for a time. Each key changes the configuration. Returns the number of
/// changes.
auto createKeysFor(Fleet &fleet, int changesPerMinute, int milliseconds) -> int
{
    if (changesPerMinute == 0) {
        runFor(milliseconds);
        return 0;
    }
    const auto started = BootClock::now();
    const auto end = started + std::chrono::milliseconds(milliseconds);
    const auto interval = std::chrono::milliseconds(60'000 / changesPerMinute);
    auto changes = 0;
    auto next = started;
    while (BootClock::now() < end) {
        if (!fleet.createKey("team-0").empty())
            ++changes;
        next += interval;
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(std::min(next, end)
                                                                                - BootClock::now());
        if (wait.count() > 0)
            runFor(static_cast<int>(wait.count()));
    }
    return changes;
}

/// Measures the cost of one deployment. Returns no value if its declarations were not applied.
auto measure(const Size &size, int seconds) -> std::optional<Cost>
{
    constexpr auto Targets = 4;
    auto fleet = Fleet(
        {.members = size.members, .targets = Targets, .declarations = {}, .hasJournal = false});
    auto file = QTemporaryFile(QDir::tempPath() + u"/shallotproxy-XXXXXX.yaml"_s);
    if (!file.open())
        return std::nullopt;
    file.write(QByteArray::fromStdString(declarations(size, fleet, Targets)));
    file.close();
    const auto result =
        fleet.ctl({u"--yes"_s, u"--may-break-budget"_s, u"config"_s, u"apply"_s, file.fileName()});
    if (result.exitCode != 0 || !fleet.waitForVersion(2)) {
        fmt::print("# not applied: {} {}\n", result.exitCode, result.errors.substr(0, 300));
        return std::nullopt;
    }
    auto load = std::unique_ptr<Load>();
    if (size.requestsPerSecond > 0) {
        load = std::make_unique<Load>(
            std::vector<LoadStream>{{"open", "", "", size.requestsPerSecond, 5}}, [&fleet, &size] {
                auto endpoints = std::vector<std::string>();
                for (auto i = 0; i < size.members; ++i)
                    endpoints.push_back(fleet.callersEndpoint(i));
                return endpoints;
            });
    }
    runFor(WarmUpMilliseconds);

    auto processorSecondsBefore = std::vector<double>();
    auto peerBytesBefore = std::vector<double>();
    for (auto i = 0; i < size.members; ++i) {
        processorSecondsBefore.push_back(processorSeconds(fleet.processId(i)));
        peerBytesBefore.push_back(peerBytes(fleet, i));
    }
    const auto storeCallsBefore = storeCalls(fleet);
    const auto answered = load ? load->tally().answered : 0U;
    const auto started = BootClock::now();
    const auto changes = createKeysFor(fleet, size.changesPerMinute, seconds * 1'000);
    const auto elapsedSeconds = std::chrono::duration<double>(BootClock::now() - started).count();

    auto cost = Cost();
    for (auto i = 0; i < size.members; ++i) {
        const auto at = static_cast<std::size_t>(i);
        const auto corePercent = 100
            * (processorSeconds(fleet.processId(i)) - processorSecondsBefore[at]) / elapsedSeconds;
        cost.meanCorePercent += corePercent / size.members;
        cost.maxCorePercent = std::max(cost.maxCorePercent, corePercent);
        cost.maxResidentMebibytes =
            std::max(cost.maxResidentMebibytes, residentMebibytes(fleet.processId(i)));
        cost.meanPeerBytesPerSecond +=
            (peerBytes(fleet, i) - peerBytesBefore[at]) / elapsedSeconds / size.members;
    }
    cost.storeCalls = (storeCalls(fleet) - storeCallsBefore) / elapsedSeconds;
    cost.changes = changes * 60 / elapsedSeconds;
    if (load) {
        cost.answered = static_cast<double>(load->tally().answered - answered) / elapsedSeconds;
        load->finish(ResponseTimeoutMilliseconds);
    }
    return cost;
}

auto printHeader() -> void
{
    fmt::print("| members | hosts | teams | pools | changes/min | requests/s | core % mean | "
               "core % most | RSS MB | peer B/s | store calls/s |\n"
               "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
}

auto printRow(const Size &size, int seconds) -> void
{
    const auto cost = measure(size, seconds);
    if (!cost) {
        fmt::print("| {} | {} | {} | {} | {} | {} | failed | | | | |\n", size.members, size.hosts,
                   size.teams, size.pools, size.changesPerMinute, size.requestsPerSecond);
    } else {
        fmt::print("| {} | {} | {} | {} | {:.0f} | {:.0f} | {:.2f} | {:.2f} | {:.1f} | {:.0f} | "
                   "{:.1f} |\n",
                   size.members, size.hosts, size.teams, size.pools, cost->changes, cost->answered,
                   cost->meanCorePercent, cost->maxCorePercent, cost->maxResidentMebibytes,
                   cost->meanPeerBytesPerSecond, cost->storeCalls);
    }
    std::fflush(stdout);
}

auto measureLatency(int seconds) -> void
{
    constexpr auto Rounds = 4;
    auto fleet = Fleet({.members = 3, .targets = 4, .declarations = {}, .hasJournal = false});
    const auto request = Fleet::queueRequest("open", "", 0, "one pane");
    auto direct = ClosedLoop(fmt::format("127.0.0.1:{}", fleet.targetPort(0)), request, 1);
    auto through = ClosedLoop(fleet.callersEndpoint(0), request, 1);
    auto directSamples = std::vector<double>();
    auto throughSamples = std::vector<double>();
    // The rounds alternate so that other load on the machine affects both kinds of calls alike.
    for (auto i = 0; i < Rounds; ++i) {
        const auto directRound = direct.run(seconds * 1'000 / Rounds);
        const auto throughRound = through.run(seconds * 1'000 / Rounds);
        directSamples.insert(directSamples.end(), directRound.begin(), directRound.end());
        throughSamples.insert(throughSamples.end(), throughRound.begin(), throughRound.end());
    }
    const auto row = [](const char *name, std::vector<double> &samples) {
        fmt::print("| {} | {} | {:.3f} | {:.3f} |\n", name, samples.size(), quantile(samples, 0.5),
                   quantile(samples, 0.99));
    };
    fmt::print("| call | samples | p50 ms | p99 ms |\n| --- | --- | --- | --- |\n");
    row("direct", directSamples);
    row("through a member", throughSamples);
    fmt::print("| added | | {:.3f} | {:.3f} |\n",
               quantile(throughSamples, 0.5) - quantile(directSamples, 0.5),
               quantile(throughSamples, 0.99) - quantile(directSamples, 0.99));
    fmt::print("\nfailures: {} direct, {} through\n\n", direct.failures(), through.failures());
    std::fflush(stdout);
}

auto measureRate(int seconds) -> void
{
    fmt::print("| open requests | requests/s | core % | core ms a request | p50 ms | p99 ms | "
               "failures |\n| --- | --- | --- | --- | --- | --- | --- |\n");
    auto fleet = Fleet({.members = 1, .targets = 8, .declarations = {}, .hasJournal = false});
    for (const auto connections : {1, 4, 16, 48}) {
        auto loop = ClosedLoop(fleet.callersEndpoint(0),
                               Fleet::queueRequest("open", "", 0, "one pane"), connections);
        const auto processorSecondsBefore = processorSeconds(fleet.processId(0));
        const auto started = BootClock::now();
        auto samples = loop.run(seconds * 1'000);
        const auto elapsedSeconds =
            std::chrono::duration<double>(BootClock::now() - started).count();
        const auto coreSeconds = processorSeconds(fleet.processId(0)) - processorSecondsBefore;
        const auto n = static_cast<double>(std::max<std::size_t>(samples.size(), 1));
        fmt::print("| {} | {:.0f} | {:.0f} | {:.3f} | {:.3f} | {:.3f} | {} |\n", connections,
                   n / elapsedSeconds, 100 * coreSeconds / elapsedSeconds, 1'000 * coreSeconds / n,
                   quantile(samples, 0.5), quantile(samples, 0.99), loop.failures());
        std::fflush(stdout);
    }
    fmt::print("\n");
}

auto measureSlopes(int seconds) -> void
{
    printHeader();
    for (const auto n : {2, 4, 8, 16})
        printRow({.members = n}, seconds);
    for (const auto n : {1'000, 4'000, 18'000})
        printRow({.hosts = n}, seconds);
    for (const auto n : {40, 160, 320})
        printRow({.teams = n}, seconds);
    for (const auto n : {16, 32, 48})
        printRow({.pools = n}, seconds);
    printRow({.hosts = 400, .pools = 128}, seconds);
    for (const auto n : {6, 15, 60})
        printRow({.changesPerMinute = n}, seconds);
    for (const auto n : {1'000, 4'000, 18'000})
        printRow({.hosts = n, .changesPerMinute = 15}, seconds);
    for (const auto n : {50.0, 100.0, 200.0, 400.0})
        printRow({.requestsPerSecond = n}, seconds);
    fmt::print("\n");
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto app = QCoreApplication(argc, argv);
    auto seconds = 0;
    auto part = std::string();
    auto description = options::options_description("Cost of the running processes");
    description.add_options()("part", options::value(&part)->default_value("all"),
                              "latency, rate, slopes or all")(
        "seconds", options::value(&seconds)->default_value(6), "time of one run, in s");
    auto values = options::variables_map();
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    } catch (const options::error &ec) {
        std::cerr << ec.what() << '\n' << description;
        return 2;
    }
    if (part == "latency" || part == "all")
        measureLatency(seconds);
    if (part == "rate" || part == "all")
        measureRate(seconds);
    if (part == "slopes" || part == "all")
        measureSlopes(seconds);
    return 0;
}
