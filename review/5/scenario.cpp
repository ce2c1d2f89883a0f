// The executors of a service, which are idle, crash and start again under their ids, one rack after
// the other. Then a job is handed in.

#include <iostream>

#include "../common/judge.hpp"

namespace {

using namespace review;

constexpr auto Executors = 8;
constexpr auto ExecutorsPerRack = 4;
constexpr auto Downtime = Milliseconds(300);
constexpr auto Pause = Milliseconds(6'000);
constexpr auto FinishTime = Milliseconds(40'000);

auto restartRack(Deployment &deployment, int rack) -> void
{
    const auto first = rack * ExecutorsPerRack;
    for (auto n = first; n < first + ExecutorsPerRack; ++n)
        deployment.executors[static_cast<std::size_t>(n)]->crash();
    deployment.note("the executors of rack " + std::to_string(rack) + " have crashed");
    Deployment::sleep(Downtime);
    for (auto n = first; n < first + ExecutorsPerRack; ++n)
        deployment.executors[static_cast<std::size_t>(n)]->restart();
    deployment.note("the executors of rack " + std::to_string(rack)
                    + " have started again under their ids");
}

auto play(Deployment &deployment, bool hasTrouble) -> int
{
    if (!deployment.start() || !deployment.submit(jobId(1), simpleJob(6)))
        return 2;
    if (!watchJob(deployment, jobId(1), Milliseconds(10'000)).isCompleted)
        return 2;
    Deployment::sleep(Pause);
    if (hasTrouble) {
        for (auto rack = 0; rack < Executors / ExecutorsPerRack; ++rack) {
            // The restart falls between two readings of the list of machines, which are 1.5 s
            // apart.
            const auto lists = deployment.listCalls.load();
            deployment.waitFor(Milliseconds(4'000),
                               [&] { return deployment.listCalls.load() > lists; });
            Deployment::sleep(Milliseconds(100));
            restartRack(deployment, rack);
            Deployment::sleep(Pause);
        }
    }
    if (!deployment.submit(jobId(2), simpleJob(6)))
        return 2;
    const auto watch = watchJob(deployment, jobId(2), FinishTime);
    deployment.noteRuns();
    return conclude(deployment, "LOST", !watch.isCompleted && watch.longestIdle > LostTime);
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
