#include <csignal>

#include "../stand/stand.hpp"

namespace {

using namespace stand;

constexpr auto TaskCount = 900;
constexpr std::int64_t TaskCores = 60; // 900 of them fit on one executor of 64 cores
constexpr Milliseconds TaskTime{1'200};
constexpr auto JobPath = "/queue/00000000000000a1";
constexpr auto Key = "key-of-tenant";

auto configuration() -> Json
{
    return Json::parse(R"({"version": 1,
        "routes": [{"name": "r-queue", "host": "jobs.example", "prefix": "/queue/",
                    "route_type": "non_idempotent", "timeout_ms": 3000, "slo_ms": 600,
                    "priority": 0, "service": "pool", "attempts": 2, "stretch": 1.6,
                    "public": false}],
        "services": [{"name": "pool", "admission_check": true}],
        "tenants": [{"name": "tenant", "api_keys": ["key-of-tenant"], "weight": 1,
                     "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0}}],
        "limits": []})");
}

/// Returns the number of starts after a run of the same task had ended `done`, if that end was
/// taken note of.
auto countRepeats(Record &record, const std::vector<Run> &runs) -> std::size_t
{
    auto doneAt = std::map<std::string, Clock::time_point>();
    for (const auto &it : runs) {
        if (it.how == "done" && it.endedAt && it.notedAt) {
            const auto [entry, isNew] = doneAt.try_emplace(it.task, *it.endedAt);
            entry->second = std::min(entry->second, *it.endedAt);
        }
    }
    auto count = std::size_t{0};
    for (const auto &it : runs) {
        const auto done = doneAt.find(it.task);
        if (done == doneAt.end() || it.startedAt <= done->second)
            continue;
        ++count;
        record.line("broken: " + it.task + " run " + std::to_string(it.number)
                    + " started although an earlier run had ended done, which was taken note of");
    }
    return count;
}

auto scenario(Record &record, Deployment &deployment) -> std::optional<bool>
{
    deployment.configure(configuration());
    auto &executor = deployment.addExecutor("i-000000000001", "pool", 64'000, [](const auto &) {
        return TaskPlan{TaskCores, TaskTime, "done"};
    });
    if (!deployment.start())
        return std::nullopt;
    sleepFor(Milliseconds(4'000));
    const auto step = Json{{"count", TaskCount},
                           {"cpu", TaskCores},
                           {"mem_mb", 16},
                           {"estimated_ms", TaskTime.count()}};
    const auto job = Json{{"spec", "text"}, {"steps", Json::array({step})}};
    if (deployment.client("POST", JobPath, Key, job.dump()).status / 100 != 2)
        return std::nullopt;
    const auto areAllStarted = [&] { return executor.runs().size() == TaskCount; };
    if (!waitFor(Milliseconds(3'500), areAllStarted))
        return std::nullopt;
    if (!isCalm() && !deployment.signalLeader(SIGKILL))
        return std::nullopt;
    const auto isCompleted = waitFor(Milliseconds(30'000), [&] {
        sleepFor(Milliseconds(500));
        return deployment.client("GET", JobPath, Key).body.find("completed") != std::string::npos;
    });
    sleepFor(Milliseconds(1'000));
    const auto runs = executor.runs();
    record.line("starts: " + std::to_string(runs.size()) + " for " + std::to_string(TaskCount)
                + " tasks, job completed: " + (isCompleted ? "yes" : "no"));
    return countRepeats(record, runs) == 0;
}

} // namespace

auto main(int, char **arguments) -> int
{
    return runCase(arguments[1], scenario);
}
