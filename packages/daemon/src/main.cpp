#include <array>
#include <cmath>
#include <csignal>
#include <iostream>
#include <optional>

#include <sys/signalfd.h>
#include <unistd.h>

#include <QCoreApplication>
#include <QSocketNotifier>
#include <QTimer>

#include <boost/program_options.hpp>

#include "control_duty.hpp"
#include "duty_thread.hpp"
#include "front_duty.hpp"
#include "operator_duty.hpp"
#include "peer_duty.hpp"
#include "platform_duty.hpp"
#include "shallotproxy/platform.hpp"
#include "store_duty.hpp"

namespace {

using namespace shallotproxy;
using namespace std::chrono_literals;

namespace options = boost::program_options;

constexpr auto MainLog = Log("main");
constexpr auto LeaveGracePeriod = 200ms; // time to send the last messages before the exit

enum ExitCode { ExitOk = 0, ExitUsage = 2, ExitSettings = 3, ExitListen = 4 };

struct Arguments
{
    std::string settingsFile;
    std::string logLevel;
    bool isCheckOnly = false;
    bool isOnPlatform = false;
    std::string runTimes;
    double maxRunTimeRatio = RunTimeLearning().maxRatio;
};

constexpr auto Usage = R"(shallotproxyd - member of a fleet capacity and maintenance manager

Usage: shallotproxyd --settings FILE [--log-level LEVEL]
       shallotproxyd --check-settings FILE
       shallotproxyd --on-platform [--check-settings FILE]
                     [--run-times learned|stated] [--max-run-time-ratio FACTOR]

With --on-platform the settings come from the file that the platform names.

SIGTERM and SIGINT shut down gracefully: the health check fails, queued requests are refused as
"not run", running ones finish. SIGHUP is ignored: settings are read once, at the start.

Exit codes: 0 done, 2 usage, 3 bad settings, 4 an address can't be listened on.
)";

auto printErrors(const InputErrors &errors) -> void
{
    for (const auto &it : errors)
        std::cerr << it.message() << '\n';
}

auto setLevel(const std::string &name) -> bool
{
    static constexpr std::array<std::string_view, 4> Names = {"debug", "info", "warning", "error"};
    const auto *it = std::ranges::find(Names, name);
    if (it == Names.end())
        return false;
    setLogLevel(static_cast<LogLevel>(std::distance(Names.begin(), it)));
    return true;
}

/// Returns a descriptor from which the main thread reads signals. Must be called before any thread
/// starts, so that every thread inherits the blocked signals.
auto openSignals() -> int
{
    auto mask = sigset_t();
    sigemptyset(&mask);
    sigaddset(&mask, SIGTERM);
    sigaddset(&mask, SIGINT);
    sigaddset(&mask, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &mask, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signalfd(-1, &mask, SFD_CLOEXEC | SFD_NONBLOCK);
}

/// Owns the duties of the process; starts, drains and stops them.
class Daemon
{
public:
    explicit Daemon(ProcessContext &process)
        : m_process(process)
        , m_store(QStringLiteral("store"), process, m_links)
        , m_platform(QStringLiteral("platform"), process, m_links)
        , m_peers(QStringLiteral("peers"), process, m_links)
        , m_operators(QStringLiteral("operators"), process, m_links)
        , m_front(QStringLiteral("front"), process, m_links)
        , m_control(QStringLiteral("control"), process, m_links)
    { }

    auto listen() -> Expected<void, ListenError>
    {
        auto result = Expected<void, ListenError>();
        m_peers.call([this, &result] { result = m_peers.duty().listen(); });
        if (result)
            m_operators.call([this, &result] { result = m_operators.duty().listen(); });
        if (result)
            m_front.call([this, &result] { result = m_front.duty().listen(); });
        return result;
    }

    auto start() -> void
    {
        m_store.start();
        m_platform.start();
        m_peers.start();
        m_operators.start();
        m_front.start();
        m_control.start();
    }

    auto drain() -> void
    {
        m_front.call([this] { m_front.duty().drain(); });
        m_deadline =
            BootClock::now() + std::chrono::milliseconds(m_process.settings.shutdownMilliseconds);
    }

    auto isDrained() -> bool
    {
        auto isIdle = false;
        m_front.call([this, &isIdle] { isIdle = m_front.duty().isIdle(); });
        return isIdle || BootClock::now() >= m_deadline;
    }

    auto drainControl() -> void
    {
        m_control.call([this] { m_control.duty().drain(); });
    }

    auto stop() -> void
    {
        m_control.stop();
        m_front.stop();
        m_operators.stop();
        m_peers.stop();
        m_platform.stop();
        m_store.stop();
    }

private:
    ProcessContext &m_process;
    Links m_links;
    DutyThread<StoreDuty> m_store;
    DutyThread<PlatformDuty> m_platform;
    DutyThread<PeerDuty> m_peers;
    DutyThread<OperatorDuty> m_operators;
    DutyThread<FrontDuty> m_front;
    DutyThread<ControlDuty> m_control;
    BootTime m_deadline;
};

auto run(MemberSettings settings, int signals) -> int
{
    const auto self = Incarnation{settings.name, randomNumber()};
    const auto journal = settings.journalFile;
    auto process = ProcessContext{std::move(settings), self, {self, journal}, {}};
    auto daemon = Daemon(process);
    const auto listening = daemon.listen();
    if (!listening) {
        MainLog.error("{}", listening.error().message());
        daemon.stop();
        return ExitListen;
    }
    daemon.start();
    process.timeline.record("member.start", self.member.value(), 0);
    MainLog.info("member {} listens for callers on {}", self.member.value(),
                 process.settings.callersEndpoint);

    constexpr auto PollInterval = 20ms;
    auto poll = QTimer();
    QObject::connect(&poll, &QTimer::timeout, &poll, [&daemon, &poll] {
        if (!daemon.isDrained())
            return;
        poll.stop();
        daemon.drainControl();
        QTimer::singleShot(LeaveGracePeriod, qApp, [] { QCoreApplication::quit(); });
    });
    auto notifier = QSocketNotifier(signals, QSocketNotifier::Read);
    QObject::connect(&notifier, &QSocketNotifier::activated, &poll, [&] {
        auto info = signalfd_siginfo();
        const auto size = read(signals, &info, sizeof info);
        if (size != sizeof info || info.ssi_signo == SIGHUP || poll.isActive())
            return;
        MainLog.info("shutting down");
        process.timeline.record("member.drain", self.member.value(), 0);
        daemon.drain();
        poll.start(PollInterval);
    });
    QCoreApplication::exec();
    daemon.stop();
    process.timeline.record("member.stop", self.member.value(), 0);
    return ExitOk;
}

/// Returns no value if the arguments aren't valid.
auto runTimeLearning(const Arguments &arguments) -> std::optional<RunTimeLearning>
{
    const auto isLearned = arguments.runTimes == "learned";
    if ((!isLearned && arguments.runTimes != "stated") || !(arguments.maxRunTimeRatio >= 1)
        || !std::isfinite(arguments.maxRunTimeRatio))
        return std::nullopt;
    return RunTimeLearning{isLearned, arguments.maxRunTimeRatio};
}

/// Checks `checkedFile` if it is not empty; otherwise runs a member with the settings file that the
/// platform names.
auto runOnPlatform(const std::string &checkedFile, const RunTimeLearning &runTimes, int signals)
    -> int
{
    if (checkedFile.empty())
        return platform::runMember(platform::settingsFile(), runTimes, signals);
    const auto checked = platform::checkSettings(checkedFile);
    if (!checked) {
        std::cerr << checked.error().message() << '\n';
        return ExitSettings;
    }
    return ExitOk;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto signals = openSignals();
    const auto app = QCoreApplication(argc, argv);
    auto arguments = Arguments();
    auto description = options::options_description("Options");
    description.add_options()("help,h", "show this help")("version", "show the version")(
        "settings", options::value(&arguments.settingsFile), "settings file (YAML)")(
        "check-settings", options::value(&arguments.settingsFile),
        "check a settings file and exit")("on-platform",
                                          options::bool_switch(&arguments.isOnPlatform),
                                          "run on the users' platform, with its settings file")(
        "run-times", options::value(&arguments.runTimes)->default_value("learned"),
        "on the platform: how long runs take, learned from others or as stated")(
        "max-run-time-ratio", options::value(&arguments.maxRunTimeRatio),
        "by which factor, at least 1, a learned run time differs from the stated one at most")(
        "log-level", options::value(&arguments.logLevel)->default_value("info"),
        "debug, info, warning or error");
    auto values = options::variables_map();
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    } catch (const options::error &ec) {
        std::cerr << "shallotproxyd: " << ec.what() << '\n';
        return ExitUsage;
    }
    if (values.contains("help")) {
        std::cout << Usage << '\n' << description;
        return ExitOk;
    }
    if (values.contains("version")) {
        std::cout << "shallotproxyd " << SHALLOTPROXY_VERSION << '\n';
        return ExitOk;
    }
    const auto runTimes = runTimeLearning(arguments);
    if (runTimes && arguments.isOnPlatform)
        return runOnPlatform(arguments.settingsFile, *runTimes, signals);
    if (!runTimes || arguments.settingsFile.empty() || !setLevel(arguments.logLevel)) {
        std::cerr << Usage << '\n' << description;
        return ExitUsage;
    }
    auto settings = loadMemberSettings(arguments.settingsFile);
    if (!settings) {
        printErrors(settings.error());
        return ExitSettings;
    }
    if (values.contains("check-settings"))
        return ExitOk;
    return run(std::move(*settings), signals);
}
