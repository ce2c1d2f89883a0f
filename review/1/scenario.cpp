// A busy executor crashes and starts again under its id at once. A little later it is cut off.

#include <iostream>

#include "../common/judge.hpp"

namespace {

using namespace review;

constexpr auto Executors = 8;
// Together the tasks fill all executors.
constexpr auto Jobs = 25;
constexpr auto Work = Milliseconds(20'000);
constexpr auto TimeToCrash = Milliseconds(12'000);
constexpr auto Downtime = Milliseconds(250);
constexpr auto TimeToCut = Milliseconds(750);
constexpr auto CutTime = Milliseconds(8'000);

auto play(Deployment &deployment, bool hasTrouble) -> int
{
    deployment.log.workOf = [](const std::string &) { return Work; };
    if (!deployment.start())
        return 2;
    for (auto n = 1; n <= Jobs; ++n)
        deployment.submit(jobId(n), simpleJob(6));
    Deployment::sleep(TimeToCrash);
    auto &executor = *deployment.executors.front();
    if (executor.activeRuns() == 0)
        return 2;
    if (hasTrouble) {
        deployment.note(executor.id() + " crashes");
        executor.crash();
        Deployment::sleep(Downtime);
        executor.restart();
        deployment.note(executor.id() + " has started again under its id");
        Deployment::sleep(TimeToCut);
        deployment.note(executor.id() + " is cut off with " + std::to_string(executor.activeRuns())
                        + " runs");
        executor.setCutOff(true);
        Deployment::sleep(CutTime);
        executor.setCutOff(false);
        deployment.note("the cut is over");
    } else {
        Deployment::sleep(Downtime + TimeToCut + CutTime);
    }
    Deployment::sleep(Milliseconds(5'000));
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
