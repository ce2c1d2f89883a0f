// The operator lowers a tenant's cap. A task that is then accepted needs less than the cap, and the
// tenant has less than half of it running. Waits for its start.

#include <algorithm>

#include "../stand-3/deployment.hpp"

namespace {

constexpr std::int64_t LengthMilliseconds = 50'000;
constexpr std::int64_t FirstMilliseconds = 4'000;
constexpr std::int64_t ChangeMilliseconds = 8'000;
constexpr std::int64_t SecondMilliseconds = 14'000; // well after the change is in force
constexpr std::int64_t HighCap = 20'000;
constexpr std::int64_t LowCap = 10'000;
constexpr std::int64_t LastingMilliCores = 4'500;
constexpr std::int64_t FiniteMilliCores = 6'000;
constexpr std::int64_t FiniteMilliseconds = 1'000;
constexpr auto LastingJob = "5c0e7a21d94b36f8";
constexpr auto FiniteJob = "5c0e7a21d94b36f9";

auto isOf(const std::string &task, const char *job) -> bool
{
    return task.starts_with(job);
}

} // namespace

auto main(int argc, char **argv) -> int
{
    auto fleet = stand3::Deployment(stand3::settingsOf(argc, argv));
    fleet.declare({8, HighCap});
    auto lastingStarts = 0;
    auto finiteStarts = 0;
    for (const auto &executor : fleet.executors) {
        executor->milliCoresOf = [](const std::string &task) {
            return isOf(task, LastingJob) ? LastingMilliCores : FiniteMilliCores;
        };
        executor->workOf = [](const std::string &task) {
            auto work = stand3::Work();
            if (isOf(task, FiniteJob))
                work.milliseconds = FiniteMilliseconds;
            return work;
        };
        executor->started = [&](stand3::Executor &, const stand3::Executor::Run &run) {
            ++(isOf(run.task, LastingJob) ? lastingStarts : finiteStarts);
        };
    }
    fleet.loop.after(FirstMilliseconds, [&fleet] {
        fleet.submit(LastingJob,
                     R"([{"count":1,"cpu":4500,"mem_mb":256,"estimated_ms":900,)"
                     R"("long_running":true}])");
        fleet.follow(LastingJob);
    });
    if (stand3::isTroubled())
        fleet.loop.after(ChangeMilliseconds, [&fleet] { fleet.declare({9, LowCap}); });
    fleet.loop.after(SecondMilliseconds, [&fleet] {
        fleet.submit(FiniteJob, R"([{"count":1,"cpu":6000,"mem_mb":256,"estimated_ms":1000}])");
        fleet.follow(FiniteJob);
    });
    fleet.loop.after(LengthMilliseconds, [&fleet] { fleet.loop.stop(); });
    fleet.loop.run();
    fleet.record.add("starts of the lasting task " + std::to_string(lastingStarts)
                     + ", of the finite task " + std::to_string(finiteStarts));
    if (!fleet.isAccepted(FiniteJob) || lastingStarts == 0) {
        fleet.record.add("the case could not run");
        return 2;
    }
    const auto isBroken = finiteStarts == 0;
    fleet.record.add(isBroken ? "LOST is broken" : "LOST held");
    return isBroken ? 1 : 0;
}
