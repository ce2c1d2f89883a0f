// One busy executor after the other crashes and starts again under its id a moment later, while the
// answers to calls for the list of machines are slow.

#include <iostream>

#include "../common/judge.hpp"

namespace {

using namespace review;

constexpr auto Executors = 8;
constexpr auto Crashes = 7;
constexpr auto Work = Milliseconds(2'100);
constexpr auto JobInterval = Milliseconds(80);
constexpr auto Downtime = Milliseconds(340);
// 50 times the usual 4 ms.
constexpr auto SlowAnswer = 200;
// The member that assigns tasks asks for the list this long after it got the last one. At random
// times, one crash in ten meets a call for the list as those here do.
constexpr auto ListInterval = Milliseconds(1'500 + SlowAnswer);
constexpr auto CrashBeforeList = Milliseconds(240);

auto busiest(Deployment &deployment) -> Executor &
{
    auto *best = deployment.executors.front().get();
    for (const auto &it : deployment.executors) {
        if (it->activeRuns() > best->activeRuns())
            best = it.get();
    }
    return *best;
}

auto crashDuringList(Deployment &deployment) -> void
{
    const auto lists = deployment.listCalls.load();
    deployment.waitFor(ListInterval * 2, [&] { return deployment.listCalls.load() > lists; });
    Deployment::sleep(ListInterval - CrashBeforeList);
    auto &executor = busiest(deployment);
    deployment.note(executor.id() + " crashes with " + std::to_string(executor.activeRuns())
                    + " runs");
    executor.crash();
    Deployment::sleep(Downtime);
    executor.restart();
    deployment.note(executor.id() + " has started again");
}

auto play(Deployment &deployment, bool hasTrouble) -> int
{
    deployment.log.workOf = [](const std::string &) { return Work; };
    if (!deployment.start())
        return 2;
    auto isOver = std::atomic<bool>(false);
    auto callers = std::thread([&] {
        for (auto n = 1; !isOver; ++n) {
            deployment.submit(jobId(n), simpleJob(6));
            Deployment::sleep(JobInterval);
        }
    });
    Deployment::sleep(Milliseconds(3'000));
    if (hasTrouble) {
        deployment.listDelayMilliseconds = SlowAnswer;
        for (auto n = 0; n < Crashes; ++n)
            crashDuringList(deployment);
    } else {
        Deployment::sleep(ListInterval * Crashes);
    }
    isOver = true;
    callers.join();
    Deployment::sleep(Milliseconds(3'000));
    deployment.noteRuns();
    return conclude(deployment, "TWICE", hasOverlappingRuns(deployment));
}

} // namespace

auto main(int argc, char **argv) -> int
{
    if (argc != 4) {
        std::cerr << "usage: scenario FOLDER RECORD TROUBLE\n";
        return 2;
    }
    auto deployment = Deployment(argv[1], argv[2], Executors);
    return play(deployment, std::string(argv[3]) != "0");
}
