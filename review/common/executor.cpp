#include "executor.hpp"

#include <algorithm>

namespace review {

namespace {

constexpr auto HeartbeatInterval = Milliseconds(1'500);
// An entry is removed after three heartbeats of silence.
constexpr auto EntryLifetime = HeartbeatInterval * 3;
constexpr std::int64_t MaxLease = 10'000;
constexpr std::int64_t ClockAtStart = 1'000;
constexpr std::size_t MaxListedEnds = 500;
constexpr auto Capacity = Room{64'000, 131'072};

auto capacityJson() -> Json
{
    return {{"cpu", Capacity.cpu}, {"mem_mb", Capacity.memory}, {"gpu", 0}};
}

auto unixMilliseconds() -> std::int64_t
{
    using std::chrono::system_clock;
    return std::chrono::duration_cast<Milliseconds>(system_clock::now().time_since_epoch()).count();
}

} // namespace

Executor::Executor(std::string id, std::string machine, std::string service, std::string zone,
                   RunLog &log, Store &store)
    : m_id(std::move(id))
    , m_machine(std::move(machine))
    , m_service(std::move(service))
    , m_zone(std::move(zone))
    , m_log(log)
    , m_store(store)
    , m_server([this](const HttpRequest &request) { return handle(request); })
{
    beginLife();
}

auto Executor::beginLife() -> void
{
    m_born = unixMilliseconds();
    m_bornAt = SteadyClock::now();
    m_fence = 0;
    m_leaseEnd = 0;
    m_lastEnd = 0;
    m_sequence = 0;
    m_active.clear();
    m_ends.clear();
    m_highestEnded.clear();
    m_nextBeat = m_bornAt;
}

auto Executor::crash() -> void
{
    m_server.setMode(HttpServer::Mode::Refusing);
    const auto lock = std::lock_guard(m_log.mutex);
    m_isUp = false;
    for (const auto &[task, run] : m_active) {
        m_log.runs[run.record].endedAt = SteadyClock::now();
        m_log.runs[run.record].how = "crashed";
    }
    m_active.clear();
    m_log.ended.notify_all();
}

auto Executor::restart() -> void
{
    {
        const auto lock = std::lock_guard(m_log.mutex);
        beginLife();
        m_isUp = true;
    }
    m_server.setMode(HttpServer::Mode::Serving);
    tick();
}

auto Executor::setCutOff(bool isCutOff) -> void
{
    m_server.setMode(isCutOff ? HttpServer::Mode::Silent : HttpServer::Mode::Serving);
    const auto lock = std::lock_guard(m_log.mutex);
    m_isCutOff = isCutOff;
    m_nextBeat = SteadyClock::now();
}

auto Executor::isUp() -> bool
{
    const auto lock = std::lock_guard(m_log.mutex);
    return m_isUp;
}

auto Executor::activeRuns() -> std::size_t
{
    const auto lock = std::lock_guard(m_log.mutex);
    return m_active.size();
}

auto Executor::machineJson() -> Json
{
    const auto lock = std::lock_guard(m_log.mutex);
    return {{"machine", m_machine},
            {"pool", m_service},
            {"state", m_isUp ? "up" : "down"},
            {"zone", m_zone},
            {"labels", {"a"}},
            {"capacity", capacityJson()},
            {"id", m_isUp ? m_id : std::string()}};
}

auto Executor::clock() const -> std::int64_t
{
    const auto age = SteadyClock::now() - m_bornAt;
    return ClockAtStart + std::chrono::duration_cast<Milliseconds>(age).count();
}

auto Executor::used() const -> Room
{
    auto sum = Room();
    for (const auto &[task, run] : m_active) {
        sum.cpu += run.room.cpu;
        sum.memory += run.room.memory;
    }
    return sum;
}

auto Executor::tick() -> void
{
    const auto lock = std::lock_guard(m_log.mutex);
    const auto now = SteadyClock::now();
    if (m_isRegistered && now >= m_lastBeat + EntryLifetime) {
        m_store.remove("servers/" + m_id);
        m_isRegistered = false;
    }
    if (!m_isUp)
        return;
    auto done = std::vector<std::string>();
    for (const auto &[task, run] : m_active) {
        if (now >= run.endsAt)
            done.push_back(task);
    }
    for (const auto &task : done)
        endRun(task, "done");
    while (!m_active.empty() && clock() >= m_leaseEnd)
        endRun(m_active.begin()->first, "lapsed");
    if (!m_isCutOff && now >= m_nextBeat)
        beat();
}

auto Executor::beat() -> void
{
    const auto now = SteadyClock::now();
    m_store.put("servers/" + m_id,
                {{"service", m_service},
                 {"address", m_server.address()},
                 {"zone", m_zone},
                 {"version", "v1"},
                 {"slots", 8},
                 {"state", "ready"},
                 {"cold_ms", 0},
                 {"capacity", capacityJson()},
                 {"labels", {"a"}},
                 {"clock_ms", clock()},
                 {"born", m_born},
                 {"seq", ++m_sequence}});
    m_isRegistered = true;
    m_lastBeat = now;
    m_nextBeat = now + HeartbeatInterval;
}

auto Executor::endRun(const std::string &task, const std::string &how) -> void
{
    const auto it = m_active.find(task);
    auto &record = m_log.runs[it->second.record];
    record.endedAt = SteadyClock::now();
    record.how = how;
    m_ends.push_back({++m_lastEnd, task, it->second.number, how});
    m_highestEnded[task] = std::max(m_highestEnded[task], it->second.number);
    m_active.erase(it);
    m_log.ended.notify_all();
}

auto Executor::handle(const HttpRequest &request) -> HttpResponse
{
    const auto order = Json::parse(request.body, nullptr, false);
    auto lock = std::unique_lock(m_log.mutex);
    const auto expected = request.header("x-expected-instance");
    if (!expected.empty() && expected != m_id)
        return {421, "{}"};
    if (!order.is_object())
        return {400, "{}"};
    if (request.path == "/api/run-start" && m_isUnhealthy) {
        ++m_refusedStarts;
        return {503, "{}"};
    }
    if (!checkFence(order))
        return refusal("fence");
    if (request.path == "/api/run-start")
        return start(order);
    if (request.path == "/api/run-stop")
        return stop(order);
    if (request.path == "/api/hold")
        return hold(order, lock);
    return {200, Json{{"clock_ms", clock()}}.dump()};
}

auto Executor::refusal(std::string_view reason) -> HttpResponse
{
    return {409, Json{{"clock_ms", clock()}, {"reason", reason}}.dump()};
}

auto Executor::checkFence(const Json &order) -> bool
{
    const auto token = order.value("fencing_token", std::uint64_t{0});
    if (token < m_fence)
        return false;
    m_fence = token;
    return true;
}

auto Executor::extendLease(const Json &order) -> void
{
    const auto end = order.value("deadline_ms", std::int64_t{0});
    m_leaseEnd = std::max(m_leaseEnd, std::min(end, clock() + MaxLease));
}

auto Executor::start(const Json &order) -> HttpResponse
{
    const auto task = order.at("task").get<std::string>();
    const auto number = order.at("run").get<std::uint64_t>();
    if (order.at("deadline_ms").get<std::int64_t>() <= clock())
        return refusal("late");
    extendLease(order);
    const auto known = m_active.find(task);
    if (known != m_active.end() && known->second.number == number)
        return {200, Json{{"clock_ms", clock()}}.dump()};
    const auto highest = m_highestEnded.find(task);
    if (known != m_active.end() || (highest != m_highestEnded.end() && number <= highest->second))
        return refusal("old");
    const auto room = m_log.roomOf(task);
    const auto sum = used();
    if (sum.cpu + room.cpu > Capacity.cpu || sum.memory + room.memory > Capacity.memory)
        return refusal("room");
    const auto now = SteadyClock::now();
    m_active[task] = {m_log.runs.size(), number, now + m_log.workOf(task), room};
    m_log.runs.push_back({task, number, m_id, m_born, now, std::nullopt, {}});
    return {200, Json{{"clock_ms", clock()}}.dump()};
}

auto Executor::stop(const Json &order) -> HttpResponse
{
    const auto task = order.at("task").get<std::string>();
    const auto number = order.at("run").get<std::uint64_t>();
    const auto known = m_active.find(task);
    if (known != m_active.end() && known->second.number == number)
        endRun(task, "stopped");
    m_highestEnded[task] = std::max(m_highestEnded[task], number);
    return {200, Json{{"clock_ms", clock()}}.dump()};
}

auto Executor::hold(const Json &order, std::unique_lock<std::mutex> &lock) -> HttpResponse
{
    const auto acknowledged = order.value("ack_seq", std::uint64_t{0});
    const auto born = m_born;
    extendLease(order);
    std::erase_if(m_ends, [acknowledged](const End &it) { return it.sequence <= acknowledged; });
    const auto wait = Milliseconds(order.value("wait_ms", 0));
    m_log.ended.wait_until(lock, SteadyClock::now() + wait,
                           [this, born] { return !m_ends.empty() || !m_isUp || m_born != born; });
    auto active = Json::array();
    for (const auto &[task, run] : m_active)
        active.push_back(Json::array({task, run.number, "", 100, 0}));
    auto finished = Json::array();
    for (const auto &it : m_ends) {
        if (finished.size() < MaxListedEnds)
            finished.push_back(Json::array({it.sequence, it.task, it.run, it.how, ""}));
    }
    return {
        200,
        Json{{"clock_ms", clock()}, {"born", m_born}, {"active", active}, {"finished", finished}}
            .dump()};
}

} // namespace review
