#include <array>
#include <cstdlib>
#include <iostream>

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fleet_model.hpp"

namespace shallotproxy {

namespace {

using test::FleetModel;
using test::FleetPlan;

/// Removes disturbances as long as the play has the same kind of violation.
auto minimised(FleetPlan plan, const std::string &violation) -> FleetPlan
{
    const auto kindOf = [](const std::string &it) { return it.substr(0, it.find(' ', 5)); };
    for (auto n = plan.disturbances.size(); n-- > 0;) {
        auto smaller = plan;
        smaller.disturbances.erase(smaller.disturbances.begin() + static_cast<std::ptrdiff_t>(n));
        const auto found = FleetModel(smaller).play();
        if (!found.empty() && kindOf(found.front()) == kindOf(violation))
            plan = smaller;
    }
    return plan;
}

/// Returns the minimised plan and the trace if the play has a violation.
auto findViolation(const FleetPlan &plan, std::size_t &jobsGivenUp) -> std::string
{
    auto model = FleetModel(plan);
    const auto found = model.play();
    jobsGivenUp += model.innocentJobsGivenUp();
    if (found.empty())
        return {};
    const auto smaller = minimised(plan, found.front());
    return fmt::format("{}\n{}\n{}\n", found.front(), describe(smaller),
                       fmt::join(FleetModel(smaller).play(), "\n"));
}

auto numberFrom(const char *name, std::uint64_t otherwise) -> std::uint64_t
{
    const auto *text = std::getenv(name);
    return text == nullptr ? otherwise : std::stoull(text);
}

RC_GTEST_PROP(WorkerLives, KeepTheGuaranteesOfTasks, ())
{
    const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint32_t>());
    auto jobsGivenUp = std::size_t{0};
    const auto violation = findViolation(test::widerFleetPlan(seed), jobsGivenUp);
    if (!violation.empty())
        RC_FAIL(violation);
}

// Each of these plays had a task that never ran, as the end of a worker wasn't recognised.
TEST(WorkerLives, LeaveNoTaskWaitingForAWorkerThatHasEnded)
{
    constexpr auto Seeds =
        std::array<std::uint64_t, 12>{300022, 300097, 300186, 300224, 300248, 300332,
                                      300405, 300418, 300643, 300697, 300731, 300889};
    auto jobsGivenUp = std::size_t{0};
    for (const auto seed : Seeds)
        EXPECT_EQ(findViolation(test::fleetPlan(seed), jobsGivenUp), std::string());
}

// Each of these plays had a long-running task without a run for too long, before suspects preempted
// others.
TEST(WorkerLives, LetNoLongRunningSuspectWaitInAFullPool)
{
    constexpr auto Seeds =
        std::array<std::uint64_t, 22>{12,  13,  24, 37, 50, 60,  67,  79,  83,  41,  138,
                                      362, 378, 89, 91, 93, 103, 105, 116, 133, 155, 182};
    auto jobsGivenUp = std::size_t{0};
    for (const auto seed : Seeds)
        EXPECT_EQ(findViolation(test::fullFleetPlan(seed), jobsGivenUp), std::string());
}

// A hunt by hand: FLEET_MODEL_FULL_CASES, from the seed FLEET_MODEL_SEED on.
TEST(WorkerLives, LetNoLongRunningSuspectWaitInALongHunt)
{
    const auto first = numberFrom("FLEET_MODEL_SEED", 1);
    const auto cases = numberFrom("FLEET_MODEL_FULL_CASES", 0);
    auto jobsGivenUp = std::size_t{0};
    for (auto seed = first; seed < first + cases; ++seed)
        EXPECT_EQ(findViolation(test::fullFleetPlan(seed), jobsGivenUp), std::string());
}

// A long hunt by hand: FLEET_MODEL_CASES, from the seed FLEET_MODEL_SEED on.
TEST(WorkerLives, KeepTheGuaranteesOfTasksInALongHunt)
{
    const auto first = numberFrom("FLEET_MODEL_SEED", 1);
    const auto cases = numberFrom("FLEET_MODEL_CASES", 20);
    auto failed = std::uint64_t{0};
    auto jobsGivenUp = std::size_t{0};
    for (auto seed = first; seed < first + cases; ++seed) {
        const auto violation = findViolation(test::widerFleetPlan(seed), jobsGivenUp);
        if (violation.empty())
            continue;
        ++failed;
        ADD_FAILURE() << violation;
    }
    std::cout << fmt::format("{} cases, {} violations, {} innocent jobs given up\n", cases, failed,
                             jobsGivenUp);
}

} // namespace

} // namespace shallotproxy
