#include "../stand/stand.hpp"

namespace {

using namespace stand;

constexpr std::size_t Attempts = 3;
constexpr auto JobPath = "/queue/00000000000000c1";
constexpr auto Key = "key-of-tenant";
constexpr auto Task = "00000000000000c1.0.0.0";

auto configuration(int version, bool hasQueue) -> Json
{
    auto value = Json::parse(R"({
        "routes": [{"name": "r-other", "host": "jobs.example", "prefix": "/other/",
                    "route_type": "non_idempotent", "timeout_ms": 3000, "slo_ms": 600,
                    "priority": 0, "service": "pool", "attempts": 3, "stretch": 1.6,
                    "public": false}],
        "services": [{"name": "pool", "admission_check": true}],
        "tenants": [{"name": "tenant", "api_keys": ["key-of-tenant"], "weight": 1,
                     "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0}}],
        "limits": []})");
    value["version"] = version;
    if (hasQueue) {
        auto route = value["routes"][0];
        route["name"] = "r-queue";
        route["prefix"] = "/queue/";
        route["attempts"] = Attempts;
        value["routes"].push_back(route);
    }
    return value;
}

/// Returns the number of starts after `Attempts` runs had ended `failed`, if these ends were taken
/// note of.
auto countBeyondBudget(Record &record, const std::vector<Run> &runs) -> std::size_t
{
    auto failures = std::vector<Clock::time_point>();
    for (const auto &it : runs) {
        if (it.how == "failed" && it.endedAt && it.notedAt)
            failures.push_back(*it.endedAt);
    }
    std::ranges::sort(failures);
    if (failures.size() < Attempts)
        return 0;
    auto count = std::size_t{0};
    for (const auto &it : runs) {
        if (it.startedAt <= failures[Attempts - 1])
            continue;
        ++count;
        record.line("broken: run " + std::to_string(it.number) + " of " + it.task
                    + " started after " + std::to_string(Attempts) + " runs had failed");
    }
    return count;
}

auto scenario(Record &record, Deployment &deployment) -> std::optional<bool>
{
    deployment.configure(configuration(1, true));
    auto executors = std::vector<Executor *>();
    for (auto n = 1; n <= 2; ++n) {
        executors.push_back(&deployment.addExecutor(
            "i-00000000000" + std::to_string(n), "pool", 64'000, [](const auto &) {
                return TaskPlan{1'000, Milliseconds(700), "failed"};
            }));
    }
    const auto runs = [&executors] {
        auto all = std::vector<Run>();
        for (auto *executor : executors) {
            const auto some = executor->runs();
            all.insert(all.end(), some.begin(), some.end());
        }
        return all;
    };
    if (!deployment.start())
        return std::nullopt;
    sleepFor(Milliseconds(4'000));
    const auto step = Json{{"count", 1}, {"cpu", 1'000}, {"mem_mb", 64}, {"estimated_ms", 700}};
    const auto job = Json{{"spec", "text"}, {"steps", Json::array({step})}};
    if (deployment.client("POST", JobPath, Key, job.dump()).status / 100 != 2)
        return std::nullopt;
    if (!waitFor(Milliseconds(3'000), [&] { return !runs().empty(); }))
        return std::nullopt;
    if (!isCalm())
        deployment.configure(configuration(2, false));
    sleepFor(Milliseconds(20'000));
    deployment.client("GET", JobPath, Key);
    record.line("starts of " + std::string(Task) + ": " + std::to_string(runs().size()));
    return countBeyondBudget(record, runs()) == 0;
}

} // namespace

auto main(int, char **arguments) -> int
{
    return runCase(arguments[1], scenario);
}
