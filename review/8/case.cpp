#include "../stand/stand.hpp"

namespace {

using namespace stand;

constexpr auto StepCount = 8;
constexpr Milliseconds StepTime{1'000};
constexpr Milliseconds CancelTime{3'000}; // `cancel_ms`
constexpr Milliseconds ContactTime{3'000}; // `contact_ms`
constexpr auto JobPath = "/queue/00000000000000d1";
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

/// A job whose steps run one after the other.
auto job() -> Json
{
    auto steps = Json::array();
    for (auto n = 0; n < StepCount; ++n) {
        steps.push_back(
            {{"count", 1}, {"cpu", 1'000}, {"mem_mb", 64}, {"estimated_ms", StepTime.count()}});
        if (n > 0)
            steps.back()["after"] = Json::array({n - 1});
    }
    return {{"spec", "text"}, {"steps", steps}};
}

auto scenario(Record &record, Deployment &deployment) -> std::optional<bool>
{
    deployment.configure(configuration());
    auto &executor = deployment.addExecutor("i-000000000001", "pool", 64'000, [](const auto &) {
        return TaskPlan{1'000, StepTime, "done"};
    });
    if (!deployment.start())
        return std::nullopt;
    sleepFor(Milliseconds(4'000));
    const auto leader = deployment.leader();
    if (!leader)
        return std::nullopt;
    const auto taker = (*leader + 1) % 3;
    const auto other = (*leader + 2) % 3;
    if (!isCalm())
        deployment.setCutOffFromStore(taker, true);
    // The client leaves after a tenth of its deadline and cancels what it has sent.
    deployment.clientOf(taker, "POST", JobPath, Key, job().dump(), Milliseconds(300));
    const auto cancelled = deployment.clientOf(other, "DELETE", JobPath, Key);
    if (cancelled.status / 100 != 2 && cancelled.status != 410)
        return std::nullopt;
    const auto cancelledAt = Clock::now();
    sleepFor(Milliseconds(500));
    if (!isCalm())
        deployment.setCutOffFromStore(taker, false);
    const auto healedAt = Clock::now();
    sleepFor(Milliseconds(StepCount * StepTime + Milliseconds(4'000)));
    deployment.clientOf(other, "GET", JobPath, Key);
    auto count = 0;
    for (const auto &it : executor.runs()) {
        if (it.startedAt <= cancelledAt + CancelTime || it.startedAt <= healedAt + ContactTime)
            continue;
        ++count;
        const auto after =
            std::chrono::duration_cast<Milliseconds>(it.startedAt - cancelledAt).count();
        record.line("broken: " + it.task + " started " + std::to_string(after)
                    + " ms after the cancelling was acknowledged");
    }
    return count == 0;
}

} // namespace

auto main(int, char **arguments) -> int
{
    return runCase(arguments[1], scenario);
}
