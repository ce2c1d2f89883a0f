#include "deployment.hpp"

#include <csignal>
#include <iostream>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int MemberCount = 6;
constexpr auto Zones = std::array{"bergen-a", "bergen-b", "stavanger", "alesund"};
constexpr auto TickInterval = Milliseconds(5);
constexpr auto CallTimeout = Milliseconds(3'000);
// Traffic starts this long after the machines do.
constexpr auto LeadTime = Milliseconds(10'000);
constexpr auto StartTimeout = Milliseconds(25'000);
// The command of the deploy file.
constexpr auto Program = "target/bin/shallotproxyd";
constexpr auto ProgramArgument = "--on-platform";

auto boundsJson() -> Json
{
    return {{"seed_lag_s", 3},
            {"reuse_after_s", 2},
            {"contact_ms", 3000},
            {"ack_ms", 4000},
            {"catch_up_s", 4},
            {"drain_ms", 2000},
            {"grace_s", 6},
            {"loss_slack_ms", 200},
            {"config_apply_ms", 2000},
            {"rollback_slack_ms", 250},
            {"max_skew_ms", 5000},
            {"strict_revocation", true},
            {"revoke_ms", 5000},
            {"quota_window_s", 5},
            {"quota_overage", 0.1},
            {"evacuate_ms", 5000},
            {"recovery_s", 12},
            {"hold_max_ms", 10000},
            {"stop_timeout_ms", 900},
            {"gang_timeout_ms", 3000},
            {"cancel_ms", 3000},
            {"visible_ms", 3000},
            {"early_ms", 250},
            {"finish_s", 14},
            {"status_s", 120},
            {"checkpoint_s", 2},
            {"restore_ms", 250},
            {"notice_ms", 4500},
            {"move_s", 1.5},
            {"maintenance_s", 2},
            {"require_fencing", false},
            {"lease_ms", 3000},
            {"pace_ms", 100},
            {"harm_ms", 4000}};
}

auto configurationJson() -> Json
{
    const auto queue = Json{{"name", "r-iikdrbn"},
                            {"host", Deployment::Host},
                            {"prefix", Deployment::Prefix},
                            {"route_type", "non_idempotent"},
                            {"timeout_ms", 3000},
                            {"slo_ms", 600},
                            {"priority", 0},
                            {"service", Deployment::Service},
                            {"attempts", 2},
                            {"stretch", 1.6},
                            {"public", false}};
    const auto service = Json{{"name", Deployment::Service},
                              {"health_path", "/health"},
                              {"max_conns", 64},
                              {"protocol", "h1"},
                              {"tls", false},
                              {"admission_check", true},
                              {"standby", false}};
    const auto tenant = Json{{"name", "cugo130"},
                             {"api_keys", {Deployment::ApiKey}},
                             {"priority", 1},
                             {"weight", 66},
                             {"cap", {{"cpu", 2'580'936}, {"mem_mb", 4'710'001}, {"gpu", 0}}}};
    return {{"version", 3},
            {"routes", Json::array({queue})},
            {"services", Json::array({service})},
            {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 262144}}},
            {"tenants", Json::array({tenant})}};
}

auto nameOf(const char *prefix, int number) -> std::string
{
    return prefix + std::to_string(number + 1);
}

} // namespace

auto occurrenceOf(const std::string &task) -> int
{
    return std::stoi(task.substr(task.find('.') + 1));
}

Deployment::Deployment(std::string folder, const std::string &recordFile, int executorCount)
    : m_folder(std::move(folder))
    , m_record(recordFile)
    , m_cloud([this](const HttpRequest &request) { return handleCloud(request); })
{
    log.roomOf = [](const std::string &) { return Room{3'300, 6'000}; };
    log.workOf = [](const std::string &) { return Milliseconds(640); };
    for (auto n = 0; n < executorCount; ++n) {
        const auto *zone = Zones.at(static_cast<std::size_t>(n) % Zones.size());
        executors.push_back(std::make_unique<Executor>(nameOf("i-7f3a91c", n), nameOf("m-0a3f", n),
                                                       Service, zone, log, store));
    }
    m_ticker = std::thread([this] {
        while (!m_isStopping) {
            store.tick();
            for (const auto &it : executors)
                it->tick();
            sleep(TickInterval);
        }
    });
    for (auto n = 0; n < MemberCount; ++n)
        addMember(n);
}

Deployment::~Deployment()
{
    for (auto &it : m_members) {
        if (it.pid != 0)
            kill(it.pid, SIGKILL);
    }
    for (auto &it : m_members) {
        if (it.pid != 0)
            waitpid(it.pid, nullptr, 0);
    }
    m_isStopping = true;
    m_ticker.join();
}

auto Deployment::addMember(int number) -> void
{
    auto &member = m_members.emplace_back();
    const auto *zone = Zones.at(static_cast<std::size_t>(number) % Zones.size());
    member.name = nameOf("front-", number);
    const auto endpoint = [] { return "127.0.0.1:" + std::to_string(freePorts(1)); };
    member.callers = endpoint();
    member.readiness = endpoint();
    member.settingsFile = m_folder + '/' + member.name + ".json";
    member.logFile = m_folder + '/' + member.name + ".log";
    auto zones = Json::object();
    for (const auto *it : Zones)
        zones[it] = "vestland";
    // The peer address takes the first port of the range, and the metrics the second.
    const auto firstPort = freePorts(2);
    member.settings = {{"node", member.name},
                       {"role", "member"},
                       {"machine_class", "front"},
                       {"serves", {"front"}},
                       {"ip", "127.0.0.1"},
                       {"zone", zone},
                       {"region", "vestland"},
                       {"zones", zones},
                       {"listen", {{"front", member.callers}, {"ready", member.readiness}}},
                       {"port_range", {firstPort, firstPort + 1}},
                       {"seeds", Json::array()},
                       {"bootstrap", true},
                       {"loss_counts", false},
                       {"limits",
                        {{"cpu_share", 0.25},
                         {"cores", 1},
                         {"memory_mb", 260},
                         {"max_fds", 4100},
                         {"link_mbps", 1000.0},
                         {"disk_mb", 0}}},
                       {"data_dir", nullptr},
                       {"discovery", "platform"},
                       {"entry", "vip"},
                       {"heartbeat_ms", 1500},
                       {"fault_tolerance", {{"machines", 2}, {"zones", 1}, {"regions", 0}}},
                       {"bounds", boundsJson()},
                       {"orders", "call"},
                       {"platform",
                        {{"address", store.address()},
                         {"form", "kv"},
                         {"writes_per_s", 400},
                         {"reads_per_s", 2000},
                         {"history_s", 20},
                         {"value_bytes", 1048576},
                         {"ttl_min_ms", 1000}}},
                       {"cloud",
                        {{"address", m_cloud.address()},
                         {"rate_per_s", 64.0},
                         {"duties", Json::array()},
                         {"duty_per_s", 64.0}}}};
}

auto Deployment::launch(Member &member) -> void
{
    std::ofstream(member.settingsFile) << member.settings.dump();
    const auto variable = "SHALLOTPROXY_NODE_FILE=" + member.settingsFile;
    const auto path = std::string("PATH=") + std::getenv("PATH");
    const auto environment = std::array{variable.c_str(), path.c_str(), "QT_NO_GLIB=1",
                                        static_cast<const char *>(nullptr)};
    const auto arguments = std::array{Program, ProgramArgument, static_cast<const char *>(nullptr)};
    member.pid = fork();
    if (member.pid != 0)
        return;
    // Ends with this process, whatever becomes of it.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const auto output = open(member.logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execve(Program, const_cast<char *const *>(arguments.data()),
           const_cast<char *const *>(environment.data()));
    _exit(127);
}

auto Deployment::start() -> bool
{
    store.put("op/config", configurationJson());
    for (auto &it : m_members)
        launch(it);
    note("started " + std::to_string(m_members.size()) + " members and "
         + std::to_string(executors.size()) + " executors");
    const auto isReady = [this] {
        return std::ranges::all_of(m_members, [](const Member &it) {
            const auto request = HttpRequest{"GET", "/api/readiness", {}, {{"Host", "ready"}}, {}};
            const auto answer = httpCall(it.readiness, request, Milliseconds(500));
            return answer && answer->status == 200;
        });
    };
    const auto isStarted = waitFor(StartTimeout, [&] { return holder() && isReady(); });
    note(isStarted ? "all members are ready" : "the members aren't ready in time");
    std::this_thread::sleep_until(m_startedAt + LeadTime);
    return isStarted;
}

auto Deployment::at(SteadyClock::time_point time) const -> long
{
    return std::chrono::duration_cast<Milliseconds>(time - m_startedAt).count();
}

auto Deployment::note(const std::string &text) -> void
{
    const auto lock = std::lock_guard(m_noteMutex);
    const auto line = std::to_string(at(SteadyClock::now())) + " ms  " + text;
    m_record << line << std::endl;
    std::cout << line << std::endl;
}

auto Deployment::call(std::size_t member, const std::string &method, const std::string &path,
                      const std::string &body) -> std::optional<HttpResponse>
{
    auto request = HttpRequest{method, path, {}, {}, body};
    request.headers = {{"Host", Host},
                       {"X-Credential", ApiKey},
                       {"X-Deadline-Ms", std::to_string(CallTimeout.count())},
                       {"Content-Type", "application/json"}};
    return httpCall(m_members[member].callers, request, CallTimeout);
}

auto Deployment::submit(const std::string &id, const Json &job) -> bool
{
    constexpr auto MaxTries = 5;
    for (auto n = 0; n < MaxTries; ++n) {
        const auto member = m_nextMember++ % m_members.size();
        const auto answer = call(member, "POST", Prefix + id, job.dump());
        const auto status = answer ? answer->status : 0;
        note("job " + id + " handed in at " + m_members[member].name + ": answer "
             + std::to_string(status));
        if (status >= 200 && status < 300)
            return true;
        sleep(Milliseconds(300));
    }
    return false;
}

auto Deployment::stateOf(const std::string &id) -> std::string
{
    const auto answer = call(m_nextMember++ % m_members.size(), "GET", Prefix + id, {});
    if (!answer)
        return "no answer";
    if (answer->status != 200)
        return std::to_string(answer->status);
    return Json::parse(answer->body, nullptr, false).value("state", std::string("unreadable"));
}

auto Deployment::pending(std::size_t member) -> std::optional<int>
{
    const auto answer = call(member, "GET", Prefix, {});
    if (!answer || answer->status != 200)
        return std::nullopt;
    return Json::parse(answer->body, nullptr, false).value("pending", -1);
}

auto Deployment::holder() -> std::optional<std::size_t>
{
    const auto value = store.value("steward/holder");
    if (!value)
        return std::nullopt;
    for (std::size_t n = 0; n < m_members.size(); ++n) {
        if (value->find(' ' + m_members[n].name + ' ') != std::string::npos)
            return n;
    }
    return std::nullopt;
}

auto Deployment::sendSignal(std::size_t member, int signal) -> void
{
    note("signal " + std::to_string(signal) + " to " + m_members[member].name);
    kill(m_members[member].pid, signal);
}

auto Deployment::hasEnded(Member &member) -> bool
{
    if (member.pid != 0 && waitpid(member.pid, nullptr, WNOHANG) == member.pid)
        member.pid = 0;
    return member.pid == 0;
}

auto Deployment::restartMember(std::size_t member) -> void
{
    auto &it = m_members[member];
    waitFor(Milliseconds(8'000), [&] { return hasEnded(it); });
    note(it.name + " has ended and is started again");
    it.settings["bootstrap"] = false;
    launch(it);
}

auto Deployment::waitFor(Milliseconds time, const std::function<bool()> &condition) -> bool
{
    const auto deadline = SteadyClock::now() + time;
    while (!condition()) {
        if (SteadyClock::now() >= deadline)
            return false;
        sleep(TickInterval);
    }
    return true;
}

auto Deployment::runs() -> std::vector<RunRecord>
{
    const auto lock = std::lock_guard(log.mutex);
    return log.runs;
}

auto Deployment::noteRuns() -> void
{
    for (const auto &it : runs()) {
        note("run " + std::to_string(it.run) + " of " + it.task + " on " + it.executor + " from "
             + std::to_string(at(it.startedAt)) + " ms to "
             + (it.endedAt ? std::to_string(at(*it.endedAt)) + " ms: " + it.how
                           : std::string("now: at work")));
    }
}

auto Deployment::handleCloud(const HttpRequest &request) -> HttpResponse
{
    if (request.path != "/api/machines")
        return {409, R"({"reason":"busy"})"};
    auto machines = Json::array();
    for (const auto &it : executors)
        machines.push_back(it->machineJson());
    const auto answer = Json{{"machines", machines}, {"next_page_token", nullptr}}.dump();
    ++listCalls;
    sleep(Milliseconds(listDelayMilliseconds));
    return {200, answer};
}

} // namespace review
