// A lasting task crashes each executor that starts it, one second after the start. Counts the
// starts after three executors have crashed under it.

#include <algorithm>

#include "../stand-3/deployment.hpp"

namespace {

constexpr std::int64_t LengthMilliseconds = 60'000;
constexpr std::int64_t SubmitMilliseconds = 4'000;
constexpr std::int64_t CrashDelayMilliseconds = 1'000;
constexpr std::int64_t DownMilliseconds = 3'000; // "the executor is back after some seconds"
constexpr std::size_t CrashedExecutors = 3;
constexpr int MoreStarts = 3;
constexpr auto Job = "5c0e7a21d94b36f8";

} // namespace

auto main(int argc, char **argv) -> int
{
    auto fleet = stand3::Deployment(stand3::settingsOf(argc, argv));
    auto crashed = std::set<std::string>();
    auto starts = 0;
    auto startsAfter = 0;
    for (const auto &executor : fleet.executors) {
        executor->milliCoresOf = [](const std::string &) { return std::int64_t{2'000}; };
        executor->started = [&](stand3::Executor &target, const stand3::Executor::Run &run) {
            ++starts;
            if (crashed.size() >= CrashedExecutors)
                ++startsAfter;
            if (!stand3::isTroubled())
                return;
            fleet.loop.after(CrashDelayMilliseconds, [&, run] {
                const auto isRunning =
                    std::ranges::any_of(target.runs(), [&run](const stand3::Executor::Run &it) {
                        return it.task == run.task && it.run == run.run;
                    });
                if (!isRunning)
                    return;
                crashed.insert(target.settings().id);
                target.crash(DownMilliseconds);
            });
        };
    }
    fleet.loop.after(SubmitMilliseconds, [&fleet] {
        fleet.submit(Job,
                     R"([{"count":1,"cpu":2000,"mem_mb":256,"estimated_ms":900,)"
                     R"("long_running":true}])");
        fleet.follow(Job);
    });
    fleet.loop.after(LengthMilliseconds, [&fleet] { fleet.loop.stop(); });
    fleet.loop.run();
    fleet.record.add("starts " + std::to_string(starts) + ", executors that crashed under the task "
                     + std::to_string(crashed.size()) + ", starts after three of them "
                     + std::to_string(startsAfter));
    if (!fleet.isAccepted(Job) || starts == 0) {
        fleet.record.add("the case could not run");
        return 2;
    }
    const auto isBroken = startsAfter >= MoreStarts;
    fleet.record.add(isBroken ? "BUDGET is broken" : "BUDGET held");
    return isBroken ? 1 : 0;
}
