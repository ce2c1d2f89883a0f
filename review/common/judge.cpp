#include "judge.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace review {

namespace {

constexpr auto AskInterval = Milliseconds(100);

auto isAtWork(Deployment &deployment) -> bool
{
    const auto runs = deployment.runs();
    return std::ranges::any_of(runs, [](const RunRecord &it) { return !it.endedAt; });
}

} // namespace

auto watchJob(Deployment &deployment, const std::string &job, Milliseconds time) -> JobWatch
{
    auto watch = JobWatch();
    auto idleSince = SteadyClock::now();
    watch.isCompleted = deployment.waitFor(time, [&] {
        if (isAtWork(deployment))
            idleSince = SteadyClock::now();
        const auto idle = std::chrono::duration_cast<Milliseconds>(SteadyClock::now() - idleSince);
        watch.longestIdle = std::max(watch.longestIdle, idle);
        Deployment::sleep(AskInterval);
        return deployment.stateOf(job) == "completed";
    });
    deployment.note("job " + job + " is told to be " + deployment.stateOf(job)
                    + "; nothing ran for " + std::to_string(watch.longestIdle.count())
                    + " ms on end");
    return watch;
}

auto hasOverlappingRuns(Deployment &deployment) -> bool
{
    const auto runs = deployment.runs();
    auto isFound = false;
    for (std::size_t a = 0; a < runs.size(); ++a) {
        for (auto b = a + 1; b < runs.size(); ++b) {
            const auto isSameTask = runs[a].task == runs[b].task;
            const auto isAtOnce = (!runs[a].endedAt || *runs[a].endedAt > runs[b].startedAt)
                && (!runs[b].endedAt || *runs[b].endedAt > runs[a].startedAt);
            if (!isSameTask || !isAtOnce)
                continue;
            isFound = true;
            deployment.note("task " + runs[a].task + " runs twice: run "
                            + std::to_string(runs[a].run) + " on " + runs[a].executor + " and run "
                            + std::to_string(runs[b].run) + " on " + runs[b].executor + " from "
                            + std::to_string(deployment.at(runs[b].startedAt)) + " ms");
        }
    }
    return isFound;
}

auto conclude(Deployment &deployment, const std::string &rule, bool isBroken) -> int
{
    deployment.note(rule + (isBroken ? " is broken" : " is kept"));
    return isBroken ? 1 : 0;
}

auto simpleJob(int tasks) -> Json
{
    const auto step =
        Json{{"count", tasks}, {"cpu", 3300}, {"mem_mb", 6000}, {"estimated_ms", 700}};
    return {{"spec", "(text)"}, {"steps", Json::array({step})}};
}

auto jobId(int number) -> std::string
{
    auto text = std::array<char, 32>();
    std::snprintf(text.data(), text.size(), "5c0e7a21d94b%04x", static_cast<unsigned>(number));
    return text.data();
}

} // namespace review
