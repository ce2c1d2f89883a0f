#include "fleet.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <utility>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace stand3 {

namespace {

constexpr std::int64_t TickMilliseconds = 10;
constexpr std::int64_t LateMilliseconds = 4'000; // of 2 to 12 s
constexpr std::size_t EndsPerReply = 500;
constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int Rejected = 409;
constexpr int ConditionFailed = 412;
constexpr int Misdirected = 421;
constexpr int Unavailable = 503;

auto seconds(std::int64_t milliseconds) -> std::string
{
    auto buf = std::array<char, 32>();
    std::snprintf(buf.data(), buf.size(), "%8.3f", static_cast<double>(milliseconds) / 1'000);
    return buf.data();
}

} // namespace

Record::Record(const std::string &path)
    : m_file(path)
{ }

auto Record::add(const std::string &line) -> void
{
    m_file << seconds(steadyMilliseconds()) << "  " << line << '\n' << std::flush;
}

Store::Store(Loop &loop, const std::string &address)
    : m_loop(loop)
    , m_server(loop, address,
               [this](const Request &request, const Respond &respond) { handle(request, respond); })
{
    tick();
}

auto Store::tick() -> void
{
    const auto now = steadyMilliseconds();
    auto expired = std::vector<std::uint64_t>();
    for (const auto &[lease, entry] : m_leases) {
        if (entry.endsAt <= now)
            expired.push_back(lease);
    }
    for (const auto lease : expired)
        endLease(lease);
    answerWatches();
    m_loop.after(TickMilliseconds, [this] { tick(); });
}

auto Store::put(const std::string &key, const std::string &value) -> std::uint64_t
{
    write(key, value, 0, ++m_revision);
    answerWatches();
    return m_revision;
}

auto Store::value(const std::string &key) const -> std::string
{
    const auto it = m_items.find(key);
    return it == m_items.end() ? std::string() : it->second.value;
}

auto Store::remove(const std::string &key) -> void
{
    if (m_items.contains(key))
        erase(key, ++m_revision);
    answerWatches();
}

auto Store::write(const std::string &key, std::string value, std::uint64_t lease,
                  std::uint64_t revision) -> void
{
    auto &item = m_items[key];
    if (item.created == 0)
        item.created = revision;
    item.value = std::move(value);
    item.revision = revision;
    item.lease = lease;
    m_history.push_back({key, revision, false, item});
}

auto Store::erase(const std::string &key, std::uint64_t revision) -> void
{
    if (m_items.erase(key) > 0)
        m_history.push_back({key, revision, true, {}});
}

auto Store::endLease(std::uint64_t lease) -> void
{
    m_leases.erase(lease);
    auto keys = std::vector<std::string>();
    for (const auto &[key, item] : m_items) {
        if (item.lease == lease)
            keys.push_back(key);
    }
    if (keys.empty())
        return;
    ++m_revision;
    for (const auto &it : keys)
        erase(it, m_revision);
}

auto Store::itemJson(const std::string &key, const Item &item) -> Json
{
    return {{"key", key},
            {"value", toBase64(item.value)},
            {"revision", item.revision},
            {"created", item.created},
            {"lease", item.lease}};
}

auto Store::answerWatches() -> void
{
    const auto now = steadyMilliseconds();
    auto waiting = std::vector<Watch>();
    for (auto &watch : std::exchange(m_watches, {})) {
        auto events = Json::array();
        const auto first = std::ranges::upper_bound(m_history, watch.after, {}, &Event::revision);
        for (auto it = first; it != m_history.end(); ++it) {
            if (!it->key.starts_with(watch.prefix))
                continue;
            if (it->isDeleted) {
                events.push_back({{"key", it->key}, {"revision", it->revision}, {"deleted", true}});
            } else {
                events.push_back(itemJson(it->key, it->item));
            }
        }
        if (events.empty() && now < watch.dueAt) {
            waiting.push_back(std::move(watch));
        } else {
            watch.respond(Ok, Json{{"events", events}, {"as_of", m_revision}}.dump());
        }
    }
    std::ranges::move(waiting, std::back_inserter(m_watches));
}

auto Store::commit(const Json &body, const Respond &respond) -> void
{
    auto items = Json::array();
    auto isMet = true;
    for (const auto &it : body.at("expect")) {
        const auto key = it.at("key").get<std::string>();
        const auto entry = m_items.find(key);
        const auto revision = entry == m_items.end() ? 0 : entry->second.revision;
        isMet = isMet && revision == it.at("revision").get<std::uint64_t>();
        if (entry != m_items.end()) {
            items.push_back(itemJson(key, entry->second));
        } else {
            items.push_back({{"key", key}, {"revision", 0}});
        }
    }
    if (!isMet) {
        respond(ConditionFailed, Json{{"items", items}}.dump());
        return;
    }
    for (const auto &it : body.at("writes")) {
        const auto lease = it.value("lease", std::uint64_t{0});
        if (lease != 0 && !m_leases.contains(lease)) {
            respond(NotFound, "{}");
            return;
        }
    }
    ++m_revision;
    for (const auto &it : body.at("writes")) {
        write(it.at("key").get<std::string>(), fromBase64(it.at("value").get<std::string>()),
              it.value("lease", std::uint64_t{0}), m_revision);
    }
    for (const auto &it : body.at("remove"))
        erase(it.get<std::string>(), m_revision);
    respond(Ok, Json{{"revision", m_revision}}.dump());
    answerWatches();
}

auto Store::handle(const Request &request, const Respond &respond) -> void
{
    if (refuses && refuses(request)) {
        respond(Unavailable, "{}");
        return;
    }
    const auto text = [&request](const std::string &name) {
        const auto it = request.query.find(name);
        return it == request.query.end() ? std::string() : it->second;
    };
    const auto &path = request.path;
    const auto body = request.body.empty() ? Json::object() : Json::parse(request.body);
    if (path == "/api/kv-key") {
        const auto it = m_items.find(text("key"));
        if (it == m_items.end()) {
            respond(NotFound, Json{{"as_of", m_revision}}.dump());
            return;
        }
        auto item = itemJson(it->first, it->second);
        item["as_of"] = m_revision;
        respond(Ok, item.dump());
    } else if (path == "/api/kv-range") {
        auto items = Json::array();
        const auto prefix = text("prefix");
        const auto after = text("after");
        auto it = after.empty() ? m_items.lower_bound(prefix) : m_items.upper_bound(after);
        constexpr std::size_t ItemsPerPage = 500;
        for (; it != m_items.end() && it->first.starts_with(prefix) && items.size() < ItemsPerPage;
             ++it)
            items.push_back(itemJson(it->first, it->second));
        const auto hasMore = it != m_items.end() && it->first.starts_with(prefix);
        respond(Ok, Json{{"items", items}, {"has_more", hasMore}, {"as_of", m_revision}}.dump());
    } else if (path == "/api/kv-watch") {
        m_watches.push_back({text("prefix"), std::stoull(text("after")),
                             steadyMilliseconds() + std::stoll(text("wait_ms")), respond});
        answerWatches();
    } else if (path == "/api/kv-txn") {
        commit(body, respond);
    } else if (path == "/api/kv-lease") {
        const auto ttl = body.at("ttl_ms").get<std::int64_t>();
        m_leases[++m_lastLease] = {ttl, steadyMilliseconds() + ttl};
        respond(Ok, Json{{"lease", m_lastLease}, {"ttl_ms", ttl}}.dump());
    } else if (path.starts_with("/api/kv-keep/")) {
        const auto it = m_leases.find(std::stoull(path.substr(13)));
        if (it == m_leases.end()) {
            respond(NotFound, "{}");
            return;
        }
        it->second.endsAt = steadyMilliseconds() + it->second.ttl;
        respond(Ok, Json{{"ttl_ms", it->second.ttl}}.dump());
    } else if (path.starts_with("/api/kv-lease-end/")) {
        endLease(std::stoull(path.substr(18)));
        respond(Ok, "{}");
        answerWatches();
    } else {
        respond(NotFound, "{}");
    }
}

Executor::Executor(Loop &loop, Store &store, Record &record, Settings settings)
    : m_loop(loop)
    , m_store(store)
    , m_record(record)
    , m_settings(std::move(settings))
    , m_server(loop, m_settings.address, [this](const Request &request, const Respond &respond) {
        receive(request, respond);
    })
{
    boot();
    tick();
}

auto Executor::boot() -> void
{
    m_isUp = true;
    ++m_life;
    m_bootedAt = steadyMilliseconds();
    m_born = wallMilliseconds();
    m_token = 0;
    m_deadline = 0;
    m_lastEnd = 0;
    m_sequence = 0;
    m_runs.clear();
    m_ends.clear();
    m_holds.clear();
    m_highestRuns.clear();
    m_server.open();
    beat();
}

auto Executor::beat() -> void
{
    const auto capacity = Json{{"cpu", m_settings.milliCores}, {"mem_mb", 32'768}, {"gpu", 0}};
    const auto entry = Json{{"service", m_settings.service},
                            {"address", m_settings.address},
                            {"zone", m_settings.zone},
                            {"version", "v1"},
                            {"slots", 8},
                            {"state", "ready"},
                            {"cold_ms", 0},
                            {"capacity", capacity},
                            {"labels", Json::array({"a", "r1-1"})},
                            {"clock_ms", clock()},
                            {"born", m_born},
                            {"seq", ++m_sequence}};
    // The entry is written when more than `seq` and the clock has changed.
    if (m_sequence == 1)
        m_store.put("servers/" + m_settings.id, entry.dump());
}

auto Executor::crash(std::int64_t downMilliseconds) -> void
{
    m_record.add("executor " + m_settings.id + " crashes, with " + std::to_string(m_runs.size())
                 + " runs");
    m_isUp = false;
    m_server.close();
    loseRuns();
    m_loop.after(downMilliseconds, [this] {
        boot();
        m_record.add("executor " + m_settings.id + " is back");
    });
}

auto Executor::loseRuns() -> void
{
    ++m_life;
    const auto lost = std::exchange(m_runs, {});
    if (!ended)
        return;
    for (const auto &it : lost)
        ended(*this, it, "lost");
}

auto Executor::crashSilently(std::int64_t downMilliseconds) -> void
{
    m_record.add("executor " + m_settings.id + " falls silent, with "
                 + std::to_string(m_runs.size()) + " runs");
    m_isUp = false;
    m_server.cut();
    loseRuns();
    m_loop.after(downMilliseconds, [this] {
        boot();
        m_server.heal();
        m_record.add("executor " + m_settings.id + " is back");
    });
}

auto Executor::restartBehindCut(std::int64_t milliseconds) -> void
{
    m_record.add("executor " + m_settings.id + " is cut off, and restarts with "
                 + std::to_string(m_runs.size()) + " runs");
    m_server.cut();
    loseRuns();
    m_loop.after(milliseconds, [this] {
        boot();
        m_server.heal();
        m_record.add("executor " + m_settings.id + " is reached again");
    });
}

auto Executor::clock() const -> std::int64_t
{
    return steadyMilliseconds() - m_bootedAt;
}

auto Executor::tick() -> void
{
    m_loop.after(TickMilliseconds, [this] { tick(); });
    if (!m_isUp)
        return;
    const auto now = steadyMilliseconds();
    const auto runs = m_runs;
    for (const auto &it : runs) {
        if (clock() >= m_deadline) {
            endRun(it.task, it.run, "lapsed");
        } else if (it.work.milliseconds && now >= it.startedAt + *it.work.milliseconds) {
            endRun(it.task, it.run, it.work.isFailing ? "failed" : "done");
        }
    }
    auto waiting = std::vector<Hold>();
    for (auto &it : std::exchange(m_holds, {})) {
        if (now < it.dueAt && m_ends.empty()) {
            waiting.push_back(std::move(it));
        } else {
            it.respond(Ok, lists());
        }
    }
    std::ranges::move(waiting, std::back_inserter(m_holds));
}

auto Executor::endRun(const std::string &task, std::uint64_t run, const std::string &how) -> void
{
    const auto it = std::ranges::find_if(
        m_runs, [&](const Run &entry) { return entry.task == task && entry.run == run; });
    if (it == m_runs.end())
        return;
    const auto ending = *it;
    m_runs.erase(it);
    m_ends.push_back({++m_lastEnd, task, run, how});
    if (ended)
        ended(*this, ending, how);
}

auto Executor::lists() const -> std::string
{
    auto active = Json::array();
    for (const auto &it : m_runs) {
        const auto age = steadyMilliseconds() - it.startedAt;
        const auto percent = age >= it.work.startupMilliseconds ? 100 : 0;
        active.push_back(Json::array({it.task, it.run, "", percent, it.milliCores}));
    }
    auto finished = Json::array();
    for (const auto &it : m_ends) {
        if (finished.size() == EndsPerReply)
            break;
        finished.push_back(Json::array({it.number, it.task, it.run, it.how, ""}));
    }
    return Json{{"clock_ms", clock()}, {"born", m_born}, {"active", active}, {"finished", finished}}
        .dump();
}

auto Executor::refuse(const Respond &respond, const std::string &reason) const -> void
{
    respond(Rejected, Json{{"clock_ms", clock()}, {"reason", reason}}.dump());
}

auto Executor::receive(const Request &request, const Respond &respond) -> void
{
    const auto fate = fateOf ? fateOf(request) : Fate::Answered;
    const auto ignore = [](int, const std::string &) {};
    switch (fate) {
    case Fate::Answered:
        handle(request, respond);
        return;
    case Fate::AnswerLost:
        handle(request, ignore);
        return;
    case Fate::Late:
        m_loop.after(LateMilliseconds, [this, request, ignore, life = m_life] {
            if (life == m_life)
                handle(request, ignore);
        });
    }
}

auto Executor::handle(const Request &request, const Respond &respond) -> void
{
    const auto expected = request.headers.find("x-expected-instance");
    if (expected != request.headers.end() && expected->second != m_settings.id) {
        respond(Misdirected, "{}");
        return;
    }
    if (request.method != "POST") {
        respond(request.path == "/health" ? Ok : NotFound, "{}");
        return;
    }
    const auto body = Json::parse(request.body);
    const auto token = body.value("fencing_token", std::uint64_t{0});
    if (token < m_token) {
        refuse(respond, "fence");
        return;
    }
    m_token = token;
    if (request.path == "/api/run-start") {
        start(body, respond);
    } else if (request.path == "/api/run-stop") {
        stop(body, respond);
    } else if (request.path == "/api/hold") {
        hold(body, respond);
    } else if (request.path == "/api/pace") {
        respond(Ok, Json{{"clock_ms", clock()}}.dump());
    } else {
        respond(BadRequest, "{}");
    }
}

auto Executor::extend(const Json &body) -> void
{
    const auto deadline = body.value("deadline_ms", std::int64_t{0});
    m_deadline = std::max(m_deadline, std::min(deadline, clock() + HoldMaxMilliseconds));
}

auto Executor::start(const Json &body, const Respond &respond) -> void
{
    const auto task = body.at("task").get<std::string>();
    const auto run = body.at("run").get<std::uint64_t>();
    if (body.at("deadline_ms").get<std::int64_t>() <= clock()) {
        refuse(respond, "late");
        return;
    }
    extend(body);
    const auto isThere = std::ranges::any_of(
        m_runs, [&](const Run &it) { return it.task == task && it.run == run; });
    if (isThere) {
        respond(Ok, Json{{"clock_ms", clock()}}.dump());
        return;
    }
    if (const auto it = m_highestRuns.find(task); it != m_highestRuns.end() && run <= it->second) {
        refuse(respond, "old");
        return;
    }
    const auto milliCores = milliCoresOf ? milliCoresOf(task) : std::int64_t{0};
    auto used = milliCores;
    for (const auto &it : m_runs)
        used += it.milliCores;
    if (used > m_settings.milliCores) {
        refuse(respond, "room");
        return;
    }
    m_highestRuns[task] = run;
    m_runs.push_back({task, run, steadyMilliseconds(), workOf ? workOf(task) : Work(), milliCores});
    const auto begun = m_runs.back();
    m_record.add("executor " + m_settings.id + " starts " + task + " run " + std::to_string(run)
                 + " token " + std::to_string(m_token));
    respond(Ok, Json{{"clock_ms", clock()}}.dump());
    if (started)
        started(*this, begun);
}

auto Executor::stop(const Json &body, const Respond &respond) -> void
{
    const auto task = body.at("task").get<std::string>();
    const auto run = body.at("run").get<std::uint64_t>();
    auto &highest = m_highestRuns[task];
    highest = std::max(highest, run);
    respond(Ok, Json{{"clock_ms", clock()}}.dump());
    m_loop.after(StopMilliseconds, [this, task, run, life = m_life] {
        if (life == m_life)
            endRun(task, run, "stopped");
    });
}

auto Executor::hold(const Json &body, const Respond &respond) -> void
{
    if (body.contains("deadline_ms"))
        extend(body);
    const auto acknowledged = body.value("ack_seq", std::uint64_t{0});
    std::erase_if(m_ends, [acknowledged](const End &it) { return it.number <= acknowledged; });
    const auto wait = body.value("wait_ms", std::int64_t{0});
    m_holds.push_back({steadyMilliseconds() + wait, respond});
}

Cloud::Cloud(Loop &loop, const std::string &address, std::vector<Executor *> executors)
    : m_executors(std::move(executors))
    , m_server(loop, address, [this](const Request &request, const Respond &respond) {
        if (request.path != "/api/machines") {
            respond(Rejected, R"({"reason":"busy"})");
            return;
        }
        auto machines = Json::array();
        for (const auto *it : m_executors) {
            const auto &settings = it->settings();
            auto entry =
                Json{{"machine", settings.machine},
                     {"pool", settings.service},
                     {"state", it->isUp() ? "up" : "down"},
                     {"zone", settings.zone},
                     {"labels", Json::array({"a", "r1-1"})},
                     {"capacity", {{"cpu", settings.milliCores}, {"mem_mb", 32'768}, {"gpu", 0}}}};
            if (it->isUp())
                entry["id"] = settings.id;
            machines.push_back(entry);
        }
        respond(Ok, Json{{"machines", machines}, {"next_page_token", nullptr}}.dump());
    })
{ }

Members::Members(Record &record, Settings settings)
    : m_record(record)
    , m_settings(std::move(settings))
    , m_processes(m_settings.ips.size(), 0)
{ }

Members::~Members()
{
    for (const auto process : m_processes) {
        if (process > 0) {
            kill(process, SIGKILL);
            waitpid(process, nullptr, 0);
        }
    }
}

auto Members::front(std::size_t member) const -> std::string
{
    return m_settings.ips[member] + ':' + std::to_string(m_settings.port);
}

auto Members::ip(std::size_t member) const -> std::string
{
    return m_settings.ips[member];
}

auto Members::start(std::size_t member) -> void
{
    const auto &ip = m_settings.ips[member];
    const auto at = [&ip, this](int offset) {
        return ip + ':' + std::to_string(m_settings.port + offset);
    };
    const auto settings = Json{
        {"node", "front-" + std::to_string(member + 1)},
        {"role", "member"},
        {"machine_class", "front"},
        {"serves", {"front"}},
        {"ip", ip},
        {"zone", "bergen-a"},
        {"region", "vestland"},
        {"zones", {{"bergen-a", "vestland"}}},
        {"listen", {{"front", at(0)}, {"ready", at(1)}}},
        {"port_range", {m_settings.port + 2, m_settings.port + 17}},
        {"seeds", Json::array()},
        {"bootstrap", m_started.insert(member).second},
        {"limits",
         {{"cpu_share", 0.25},
          {"cores", 1},
          {"memory_mb", 260},
          {"max_fds", 4'100},
          {"link_mbps", 1'000.0}}},
        {"discovery", "platform"},
        {"entry", "vip"},
        {"heartbeat_ms", HeartbeatMilliseconds},
        {"bounds",
         {{"contact_ms", 3'000},
          {"ack_ms", 4'000},
          {"drain_ms", 2'000},
          {"grace_s", 6},
          {"config_apply_ms", 2'000},
          {"strict_revocation", true},
          {"revoke_ms", 5'000},
          {"evacuate_ms", 5'000},
          {"hold_max_ms", HoldMaxMilliseconds},
          {"stop_timeout_ms", 900},
          {"cancel_ms", 3'000},
          {"visible_ms", 3'000},
          {"early_ms", 250},
          {"status_s", 120},
          {"maintenance_s", 2},
          {"move_s", 1.5},
          {"lease_ms", 3'000},
          {"require_fencing", false}}},
        {"orders", "call"},
        {"platform",
         {{"address", m_settings.store},
          {"form", "kv"},
          {"writes_per_s", 400},
          {"reads_per_s", 2'000},
          {"history_s", 20},
          {"value_bytes", 1'048'576},
          {"ttl_min_ms", 1'000}}},
        {"cloud", {{"address", m_settings.cloud}, {"rate_per_s", 64.0}, {"duty_per_s", 64.0}}}};
    const auto file = m_settings.folder + "/boot-" + std::to_string(member + 1) + ".json";
    std::ofstream(file) << settings.dump(2);
    const auto log = m_settings.folder + "/member-" + std::to_string(member + 1) + ".log";
    const auto variable = "SHALLOTPROXY_NODE_FILE=" + file;
    const auto process = fork();
    if (process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // also if this process is killed
        const auto fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        auto arguments =
            std::to_array<const char *>({"target/bin/shallotproxyd", "--on-platform", nullptr});
        auto environment = std::to_array<const char *>(
            {variable.c_str(), "QT_NO_GLIB=1", "PATH=/usr/bin", nullptr});
        execve(arguments[0], const_cast<char *const *>(arguments.data()),
               const_cast<char *const *>(environment.data()));
        _exit(127);
    }
    m_processes[member] = process;
    m_record.add("member " + std::to_string(member + 1) + " starts");
}

auto Members::signal(std::size_t member, int number) -> void
{
    auto &process = m_processes[member];
    if (process <= 0)
        return;
    m_record.add("member " + std::to_string(member + 1) + " gets signal " + std::to_string(number));
    kill(process, number);
    if (number == SIGKILL) {
        waitpid(process, nullptr, 0);
        process = 0;
    }
}

} // namespace stand3
