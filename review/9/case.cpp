#include "../stand/stand.hpp"

namespace {

using namespace stand;

constexpr std::int64_t TaskCores = 1'000;
constexpr std::int64_t Cap = 8'000;
// The limit of the rule: `cap` x (1 + `quota_overage`) and one task more.
constexpr std::int64_t AllowedCores = Cap + Cap / 10 + TaskCores;
constexpr Milliseconds CutTime{5'000};
constexpr auto Key = "key-of-tenant";

auto configuration() -> Json
{
    auto value = Json::parse(R"({"version": 1,
        "routes": [{"name": "r-queue", "host": "jobs.example", "prefix": "/queue/",
                    "route_type": "non_idempotent", "timeout_ms": 3000, "slo_ms": 600,
                    "priority": 0, "service": "pool", "attempts": 2, "stretch": 1.6,
                    "public": false}],
        "services": [{"name": "pool", "admission_check": true}],
        "tenants": [{"name": "tenant", "api_keys": ["key-of-tenant"], "weight": 1,
                     "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0}}],
        "limits": []})");
    value["tenants"][0]["cap"]["cpu"] = Cap;
    return value;
}

auto submit(Deployment &deployment, unsigned number, int tasks, std::size_t member = 0) -> bool
{
    const auto step =
        Json{{"count", tasks}, {"cpu", TaskCores}, {"mem_mb", 64}, {"estimated_ms", 20'000}};
    const auto job = Json{{"spec", "text"}, {"steps", Json::array({step})}};
    const auto path = "/queue/00000000000000" + std::to_string(10 + number);
    return deployment.clientOf(member, "POST", path, Key, job.dump()).status / 100 == 2;
}

/// Returns whether some start brought what the tenant has running above the limit.
auto isCapExceeded(Record &record, const std::vector<Run> &runs) -> bool
{
    auto isExceeded = false;
    for (const auto &start : runs) {
        auto running = std::int64_t{0};
        for (const auto &it : runs) {
            const auto isRunning =
                it.startedAt <= start.startedAt && (!it.endedAt || *it.endedAt > start.startedAt);
            running += isRunning ? it.cpu : 0;
        }
        if (running <= AllowedCores)
            continue;
        isExceeded = true;
        record.line("broken: the start of " + start.task + " run " + std::to_string(start.number)
                    + " brings the tenant to " + std::to_string(running) + ", allowed are "
                    + std::to_string(AllowedCores));
    }
    return isExceeded;
}

auto scenario(Record &record, Deployment &deployment) -> std::optional<bool>
{
    deployment.configure(configuration());
    const auto planner = [](const auto &) {
        return TaskPlan{TaskCores, Milliseconds(20'000), "done"};
    };
    if (!deployment.start())
        return std::nullopt;
    if (!waitFor(Milliseconds(5'000), [&] { return deployment.leader().has_value(); }))
        return std::nullopt;
    const auto leader = *deployment.leader();
    // The first worker is in the steward's zone, and gets the tenant's first tasks.
    auto executors = std::vector<Executor *>();
    for (std::size_t n = 0; n < 4; ++n) {
        const auto zone = Deployment::zoneOf((leader + n) % 3);
        executors.push_back(
            &deployment.addExecutor("i-00000000000" + std::to_string(n), "pool", 64'000, planner,
                                    n == 3 ? Deployment::zoneOf((leader + 1) % 3) : zone));
        sleepFor(Milliseconds(300));
    }
    const auto allRuns = [&executors] {
        auto runs = std::vector<Run>();
        for (auto *executor : executors) {
            const auto some = executor->runs();
            runs.insert(runs.end(), some.begin(), some.end());
        }
        return runs;
    };
    sleepFor(Milliseconds(3'000));
    if (!submit(deployment, 0, 8))
        return std::nullopt;
    const auto areTasksInZone = [&] { return executors.front()->runs().size() == 8; };
    if (!waitFor(Milliseconds(3'000), areTasksInZone) || deployment.leader() != leader)
        return std::nullopt;
    sleepFor(Milliseconds(1'000));
    const auto setZoneCutOff = [&](bool isCutOff) {
        if (isCalm())
            return;
        deployment.setCutOffFromStore(leader, isCutOff);
        executors.front()->setZoneCutOff(isCutOff);
    };
    setZoneCutOff(true);
    // The tenant goes on handing in small jobs, at the machines of the other zones.
    const auto cutAt = Clock::now();
    for (auto n = 1U; Clock::now() < cutAt + CutTime; ++n) {
        submit(deployment, n, 2, (leader + 1 + n % 2) % 3);
        sleepFor(Milliseconds(250));
    }
    setZoneCutOff(false);
    sleepFor(Milliseconds(3'000));
    return !isCapExceeded(record, allRuns());
}

} // namespace

auto main(int, char **arguments) -> int
{
    return runCase(arguments[1], scenario);
}
