#include "fleet.hpp"

#include <csignal>
#include <functional>

#include <sys/prctl.h>

#include <QDir>
#include <QElapsedTimer>
#include <QEventLoop>
#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QRandomGenerator>
#include <QTcpServer>
#include <QTimer>

#include <fmt/format.h>

#include "shallotproxy/process.hpp"
#include "shallotproxy/version.hpp"

namespace shallotproxy::test {

namespace {

using namespace Qt::StringLiterals;

constexpr auto OperatorKey = "test-operator-key";
constexpr auto StartTimeoutMilliseconds = 10'000;
constexpr auto ExitTimeoutMilliseconds = 30'000;

auto programPath(const char *name) -> QString
{
    return QStringLiteral(SHALLOTPROXY_BIN "/") + QString::fromLatin1(name);
}

/// Reserves a block of consecutive ports for one fleet and returns the first. `reservation` listens
/// on the last port of the block for as long as the fleet exists, so that tests that run in
/// parallel never use the same block, even between the check for free ports and their use.
auto reservePorts(QTcpServer &reservation, int count) -> quint16
{
    constexpr auto FirstPort = 10'000;
    constexpr auto BlockCount = 200;
    constexpr auto BlockSize = 100;
    for (auto attempt = 0; attempt < BlockCount; ++attempt) {
        const auto first = FirstPort + BlockSize * QRandomGenerator::system()->bounded(BlockCount);
        auto isFree = reservation.listen(QHostAddress::LocalHost,
                                         static_cast<quint16>(first + BlockSize - 1));
        for (auto i = 0; i < count && isFree; ++i)
            isFree = QTcpServer().listen(QHostAddress::LocalHost, static_cast<quint16>(first + i));
        if (isFree)
            return static_cast<quint16>(first);
        reservation.close();
    }
    return 0;
}

auto loopbackEndpoint(quint16 port) -> std::string
{
    return fmt::format("127.0.0.1:{}", port);
}

auto signalProcess(const QProcess &process, int signal) -> void
{
    if (process.processId() > 0)
        kill(static_cast<pid_t>(process.processId()), signal);
}

} // namespace

Fleet::Fleet(FleetOptions options)
    : m_options(std::move(options))
{
    constexpr auto PortsPerMember = 3;
    const auto first = reservePorts(m_portReservation,
                                    3 + m_options.targets + m_options.workers
                                        + PortsPerMember * m_options.members);
    m_storePort = first;
    m_controlPort = static_cast<quint16>(first + 1);
    m_firstTargetPort = static_cast<quint16>(first + 2);
    m_store = start(programPath("standin_store"),
                    {u"--listen"_s, toQString(loopbackEndpoint(m_storePort))});
    m_relay = std::make_unique<Relay>(m_storePort);
    m_targets = start(programPath("standin_targets"),
                      {u"--first-port"_s, QString::number(m_firstTargetPort), u"--count"_s,
                       QString::number(m_options.targets), u"--control"_s,
                       toQString(loopbackEndpoint(m_controlPort))});
    m_platformPort = static_cast<quint16>(m_firstTargetPort + m_options.targets);
    m_firstWorkerPort = static_cast<quint16>(m_platformPort + 1);
    m_workers = start(programPath("standin_workers"),
                      {u"--first-port"_s, QString::number(m_firstWorkerPort), u"--count"_s,
                       QString::number(m_options.workers), u"--platform"_s,
                       toQString(loopbackEndpoint(m_platformPort))});
    auto port = m_firstWorkerPort + m_options.workers;
    for (auto i = 0; i < m_options.members; ++i, port += PortsPerMember) {
        auto member = Member();
        member.callers = static_cast<quint16>(port);
        member.operators = static_cast<quint16>(port + 1);
        member.peers = static_cast<quint16>(port + 2);
        m_members.push_back(std::move(member));
        writeSettings(i);
        startMember(i);
    }
    const auto text =
        m_options.declarations.empty() ? defaultDeclarations() : m_options.declarations;
    const auto file = writeFile("declarations.yaml", text);
    waitUntil(
        [this] {
            const auto result = ctl({u"--output"_s, u"json"_s, u"status"_s});
            const auto json = QJsonDocument::fromJson(QByteArray::fromStdString(result.output));
            return json.object().value("members"_L1).toArray().size() == m_options.members;
        },
        StartTimeoutMilliseconds);
    // Applying is retried, as a member that has just registered may not have a fresh configuration.
    auto result = CommandResult();
    const auto isApplied = waitUntil(
        [this, &result, &file] {
            result = ctl({u"--yes"_s, u"config"_s, u"apply"_s, toQString(file)});
            return result.exitCode == 0;
        },
        StartTimeoutMilliseconds);
    if (!isApplied)
        fmt::print(stderr, "declarations not applied: {}{}\n", result.output, result.errors);
    waitForVersion(1);
}

Fleet::~Fleet()
{
    for (auto &it : m_members) {
        if (it.process)
            it.process->kill();
    }
    for (auto &it : m_members) {
        if (it.process)
            it.process->waitForFinished();
    }
    m_targets->kill();
    m_targets->waitForFinished();
    m_workers->kill();
    m_workers->waitForFinished();
    m_store->kill();
    m_store->waitForFinished();
}

auto Fleet::start(const QString &program, const QStringList &arguments) -> std::unique_ptr<QProcess>
{
    auto process = std::make_unique<QProcess>();
    // The process ends with the test, even if the test crashes: ctest waits for the output of a
    // process that is left over.
    process->setChildProcessModifier([] { prctl(PR_SET_PDEATHSIG, SIGKILL); });
    process->setProcessChannelMode(QProcess::ForwardedErrorChannel);
    process->start(program, arguments);
    process->waitForStarted();
    return process;
}

auto Fleet::writeFile(const std::string &name, const std::string &text) -> std::string
{
    const auto path = m_folder.filePath(toQString(name));
    auto file = QFile(path);
    if (file.open(QIODevice::WriteOnly))
        file.write(QByteArray::fromStdString(text));
    return path.toStdString();
}

auto Fleet::writeSettings(int index) -> void
{
    auto &member = m_members[static_cast<std::size_t>(index)];
    const auto storePort = index == m_options.relayedMember ? m_relay->port() : m_storePort;
    const auto journalFile =
        m_folder.filePath(QStringLiteral("journal-%1").arg(index)).toStdString();
    const auto journal =
        m_options.hasJournal ? fmt::format("journal: {}\n", journalFile) : std::string();
    const auto text =
        fmt::format("name: entry-{}\ndataCentre: {}\nlisten:\n  callers: {}\n  operators: {}\n"
                    "  peers: {}\nstore:\n  endpoint: {}\n  timeout: 800 ms\nsecurity:\n"
                    "  peerSecret: test-peer-secret-of-the-fleet\n  operatorKeyDigest: {}\n"
                    "platform: {}\nbounds:\n  shutdown: 20 s\n{}",
                    index, index % 2 == 0 ? "north" : "south", loopbackEndpoint(member.callers),
                    loopbackEndpoint(member.operators), loopbackEndpoint(member.peers),
                    loopbackEndpoint(storePort), digestKey(OperatorKey),
                    loopbackEndpoint(m_platformPort), journal);
    member.settingsFile = writeFile(fmt::format("entry-{}.yaml", index), text);
}

auto Fleet::defaultDeclarations() const -> std::string
{
    auto text = std::string("dataCentres: [{name: north}, {name: south}]\n"
                            "pools: [{name: main, maxUnavailable: 1}]\nhosts:\n");
    for (auto i = 0; i < m_options.targets; ++i) {
        text += fmt::format("  - {{name: target-{}, dataCentre: {}, rack: r{}, pool: main, "
                            "address: '{}', slots: 8, connections: 64}}\n",
                            i, i % 2 == 0 ? "north" : "south", i,
                            loopbackEndpoint(static_cast<quint16>(m_firstTargetPort + i)));
    }
    for (auto i = 0; i < m_options.workers; ++i) {
        text += fmt::format("  - {{name: worker-{}, dataCentre: {}, rack: r{}, pool: main, "
                            "role: worker, address: '{}', cores: 16, memory: 32 GiB, "
                            "accelerators: {}}}\n",
                            i, i % 2 == 0 ? "north" : "south", i, workerAddress(i), i % 2);
    }
    text += "teams:\n  - {name: red, share: 2, limit: 16}\n  - {name: blue, share: 1, limit: 8}\n"
            "queues:\n  - {name: orders, pool: main, deadline: 8 s}\n"
            "  - {name: quotes, pool: main, urgent: true, idempotent: true, deadline: 8 s}\n"
            "  - {name: open, pool: main, open: true, deadline: 8 s}\n";
    return text;
}

auto Fleet::startMember(int index) -> void
{
    auto &member = m_members[static_cast<std::size_t>(index)];
    member.process =
        start(programPath("shallotproxyd"),
              {u"--settings"_s, toQString(member.settingsFile), u"--log-level"_s, u"warning"_s});
}

auto Fleet::killMember(int index) -> void
{
    auto &member = m_members[static_cast<std::size_t>(index)];
    member.process->kill();
    member.process->waitForFinished();
    member.process.reset();
}

auto Fleet::terminateMember(int index) -> int
{
    auto &member = m_members[static_cast<std::size_t>(index)];
    member.process->terminate();
    waitUntil([&member] { return member.process->state() == QProcess::NotRunning; },
              ExitTimeoutMilliseconds);
    const auto hasExited = member.process->exitStatus() == QProcess::NormalExit
        && member.process->state() == QProcess::NotRunning;
    const auto code = hasExited ? member.process->exitCode() : -1;
    member.process.reset();
    return code;
}

auto Fleet::terminateAll() -> bool
{
    const auto hasEnded = [](const Member &it) {
        return !it.process || it.process->state() == QProcess::NotRunning;
    };
    for (auto &it : m_members) {
        if (it.process)
            it.process->terminate();
    }
    waitUntil([&] { return std::ranges::all_of(m_members, hasEnded); }, ExitTimeoutMilliseconds);
    auto isClean = true;
    for (auto &it : m_members) {
        if (!it.process)
            continue;
        isClean = isClean && hasEnded(it) && it.process->exitStatus() == QProcess::NormalExit
            && it.process->exitCode() == 0;
        if (hasEnded(it))
            it.process.reset();
    }
    return isClean;
}

auto Fleet::pauseMember(int index) -> void
{
    signalProcess(*m_members[static_cast<std::size_t>(index)].process, SIGSTOP);
}

auto Fleet::resumeMember(int index) -> void
{
    signalProcess(*m_members[static_cast<std::size_t>(index)].process, SIGCONT);
}

auto Fleet::waitForVersion(std::uint64_t version, int timeoutMilliseconds) -> bool
{
    const auto authorization = HttpHeader{"Authorization", std::string("Bearer ") + OperatorKey};
    const auto isServing = [&](const Member &member) {
        if (!member.process)
            return true;
        const auto reply = sendOnce(loopbackEndpoint(member.operators),
                                    {"GET", "/status", {authorization}, ""}, 1'000);
        if (!reply)
            return false;
        const auto json = QJsonDocument::fromJson(QByteArray::fromStdString(reply->body)).object();
        return json.value("fresh"_L1).toBool()
            && json.value("version"_L1).toInteger() >= static_cast<qint64>(version);
    };
    return waitUntil([&] { return std::ranges::all_of(m_members, isServing); },
                     timeoutMilliseconds);
}

auto Fleet::partitionFromStore(bool isPartitioned) -> void
{
    m_relay->setDropping(isPartitioned);
}

auto Fleet::startCtl(const QStringList &arguments, int member) -> std::unique_ptr<QProcess>
{
    auto process = std::make_unique<QProcess>();
    process->start(programPath("shallotctl"),
                   QStringList{u"--members"_s, toQString(operatorsEndpoint(member)), u"--key"_s,
                               QString::fromLatin1(OperatorKey)}
                       + arguments);
    process->waitForStarted();
    return process;
}

// Waits in the event loop, as the relay needs it.
auto Fleet::finishCtl(QProcess &process) -> CommandResult
{
    waitUntil([&process] { return process.state() == QProcess::NotRunning; },
              ExitTimeoutMilliseconds);
    return {process.exitCode(), process.readAllStandardOutput().toStdString(),
            process.readAllStandardError().toStdString()};
}

auto Fleet::ctl(const QStringList &arguments) -> CommandResult
{
    auto endpoints = QStringList();
    for (const auto &it : m_members) {
        if (it.process)
            endpoints.append(toQString(loopbackEndpoint(it.operators)));
    }
    auto process = QProcess();
    process.start(programPath("shallotctl"),
                  QStringList{u"--members"_s, endpoints.join(u","_s), u"--key"_s,
                              QString::fromLatin1(OperatorKey)}
                      + arguments);
    // Waits in the event loop, so that a test's callers send while the command runs.
    waitUntil([&process] { return process.state() == QProcess::NotRunning; },
              ExitTimeoutMilliseconds);
    return finishCtl(process);
}

auto Fleet::createKey(const std::string &team) -> std::string
{
    const auto result = ctl({u"--yes"_s, u"key"_s, u"create"_s, toQString(team)});
    constexpr std::string_view Prefix = "key (shown once): ";
    const auto position = result.output.find(Prefix);
    if (position == std::string::npos)
        return "";
    const auto first = position + Prefix.size();
    return result.output.substr(first, result.output.find('\n', first) - first);
}

auto Fleet::injectStoreFault(const std::string &json) -> void
{
    sendOnce(storeEndpoint(), {"POST", "/fault", {}, json}, 2'000);
}

auto Fleet::injectTargetFault(const std::string &json) -> void
{
    sendOnce(loopbackEndpoint(m_controlPort), {"POST", "/fault", {}, json}, 2'000);
}

auto Fleet::targetReport() -> QJsonObject
{
    const auto reply = sendOnce(loopbackEndpoint(m_controlPort), {"GET", "/counts", {}, ""}, 2'000);
    if (!reply)
        return {};
    return QJsonDocument::fromJson(QByteArray::fromStdString(reply->body)).object();
}

auto Fleet::targetCount(const std::string &name) -> std::int64_t
{
    return targetReport().value(toQString(name)).toInteger(-1);
}

auto Fleet::targetMaxRunning(const std::string &team) -> std::int64_t
{
    return targetReport()
        .value("mostRunningOfTeam"_L1)
        .toObject()
        .value(toQString(team))
        .toInteger();
}

auto Fleet::isRunning(int member) const -> bool
{
    return m_members[static_cast<std::size_t>(member)].process != nullptr;
}

auto Fleet::processId(int member) const -> qint64
{
    const auto &process = m_members[static_cast<std::size_t>(member)].process;
    return process ? process->processId() : 0;
}

auto Fleet::injectWorkerFault(const std::string &json) -> void
{
    sendOnce(loopbackEndpoint(m_platformPort), {"POST", "/fault", {}, json}, 2'000);
}

auto Fleet::workerCount(const std::string &name) -> std::int64_t
{
    const auto reply =
        sendOnce(loopbackEndpoint(m_platformPort), {"GET", "/counts", {}, ""}, 2'000);
    if (!reply)
        return -1;
    const auto json = QJsonDocument::fromJson(QByteArray::fromStdString(reply->body)).object();
    return json.value(toQString(name)).toInteger();
}

auto Fleet::workerAddress(int worker) const -> std::string
{
    return loopbackEndpoint(static_cast<quint16>(m_firstWorkerPort + worker));
}

auto Fleet::request(int member, const HttpRequest &request, int timeoutMilliseconds) -> TargetReply
{
    return sendOnce(callersEndpoint(member), request, timeoutMilliseconds);
}

auto Fleet::queueRequest(const std::string &queue, const std::string &key, int workMilliseconds,
                         const std::string &body) -> HttpRequest
{
    auto request = HttpRequest{"POST", "/queues/" + queue + "/work", {}, body};
    if (!key.empty())
        request.headers.push_back({"Authorization", "Bearer " + key});
    request.headers.push_back({"Work-Ms", std::to_string(workMilliseconds)});
    return request;
}

auto Fleet::callersEndpoint(int member) const -> std::string
{
    return loopbackEndpoint(m_members[static_cast<std::size_t>(member)].callers);
}

auto Fleet::operatorsEndpoint(int member) const -> std::string
{
    return loopbackEndpoint(m_members[static_cast<std::size_t>(member)].operators);
}

auto Fleet::peersEndpoint(int member) const -> std::string
{
    return loopbackEndpoint(m_members[static_cast<std::size_t>(member)].peers);
}

auto Fleet::runningProcessId(int member) const -> qint64
{
    return m_members[static_cast<std::size_t>(member)].process->processId();
}

auto Fleet::storeEndpoint() const -> std::string
{
    return loopbackEndpoint(m_storePort);
}

auto Fleet::journal() const -> std::vector<std::string>
{
    auto lines = std::vector<std::string>();
    const auto names = QDir(m_folder.path()).entryList({u"journal-*"_s}, QDir::Files);
    for (const auto &name : names) {
        auto file = QFile(m_folder.filePath(name));
        if (!file.open(QIODevice::ReadOnly))
            continue;
        for (const auto &line : file.readAll().split('\n')) {
            if (!line.isEmpty())
                lines.push_back(line.toStdString());
        }
    }
    return lines;
}

auto sendOnce(const std::string &endpoint, const HttpRequest &request, int timeoutMilliseconds)
    -> TargetReply
{
    auto connection = TargetConnection(endpoint, {});
    auto result = TargetReply(tl::unexpected(TargetError()));
    auto loop = QEventLoop();
    connection.send(request, timeoutMilliseconds, [&result, &loop](TargetReply reply) {
        result = std::move(reply);
        // The call is queued, as the response may arrive before the loop runs.
        QTimer::singleShot(0, &loop, &QEventLoop::quit);
    });
    loop.exec();
    return result;
}

auto waitUntil(const std::function<bool()> &condition, int timeoutMilliseconds) -> bool
{
    constexpr auto PollMilliseconds = 20;
    auto timer = QElapsedTimer();
    timer.start();
    while (!condition()) {
        if (timer.elapsed() > timeoutMilliseconds)
            return false;
        auto loop = QEventLoop();
        QTimer::singleShot(PollMilliseconds, &loop, &QEventLoop::quit);
        loop.exec();
    }
    return true;
}

} // namespace shallotproxy::test
