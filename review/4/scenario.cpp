// Two executors after the other two are cut off for some seconds, so that their entries are removed
// from the store and come back as they were. Then a job is handed in.

#include <iostream>

#include "../common/judge.hpp"

namespace {

using namespace review;

constexpr auto Executors = 8;
constexpr auto CutAtOnce = 2;
constexpr auto CutTime = Milliseconds(5'500);
constexpr auto Pause = Milliseconds(3'000);
constexpr auto FinishTime = Milliseconds(40'000);

auto cutOff(Deployment &deployment, int first) -> void
{
    for (auto n = first; n < first + CutAtOnce; ++n)
        deployment.executors[static_cast<std::size_t>(n)]->setCutOff(true);
    deployment.note(std::to_string(CutAtOnce) + " executors are cut off");
    Deployment::sleep(CutTime);
    for (auto n = first; n < first + CutAtOnce; ++n)
        deployment.executors[static_cast<std::size_t>(n)]->setCutOff(false);
    deployment.note("the cut is over");
    Deployment::sleep(Pause);
}

auto play(Deployment &deployment, bool hasTrouble) -> int
{
    if (!deployment.start() || !deployment.submit(jobId(1), simpleJob(6)))
        return 2;
    if (!watchJob(deployment, jobId(1), Milliseconds(10'000)).isCompleted)
        return 2;
    if (hasTrouble) {
        for (auto n = 0; n < Executors; n += CutAtOnce)
            cutOff(deployment, n);
    }
    deployment.note("entries of executors in the store: "
                    + std::to_string(deployment.store.keys("servers/").size()));
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
