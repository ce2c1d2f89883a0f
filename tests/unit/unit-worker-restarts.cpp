#include <span>

#include <gtest/gtest.h>

#include "fake_fleet.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using test::Delivery;
using test::FakeFleet;

// Callers miss a long-running task after this time without a run if the service is calm.
constexpr auto MaxWaitWhenCalm = 7s;

/// A restart, and how the orders and polls around it are delivered.
struct Restart
{
    /// From the submission of the job until the restart.
    Duration after{};
    /// Time until the new incarnation is up, and until stewards read its registration.
    Duration downtime{};
    Duration registrationDelay{};
    /// From the restart until all calls are delivered normally.
    Duration timeUntilCalm{};
    std::vector<Delivery> orders;
    std::vector<Delivery> polls;
    /// Whether another worker is free.
    int workers = 1;
};

/// The deliveries that tell one case from another.
auto firstOf(const std::vector<Delivery> &deliveries) -> std::span<const Delivery>
{
    return std::span(deliveries).first(std::min<std::size_t>(deliveries.size(), 3));
}

auto describe(const Restart &restart) -> std::string
{
    const auto toText = [](Duration time) {
        return std::to_string(std::chrono::duration_cast<milliseconds>(time).count()) + "ms";
    };
    auto text = toText(restart.after) + ", down " + toText(restart.downtime) + ", registered after "
        + toText(restart.registrationDelay) + ", calm after " + toText(restart.timeUntilCalm)
        + ", workers " + std::to_string(restart.workers) + ", orders";
    for (const auto it : firstOf(restart.orders))
        text += ' ' + std::to_string(static_cast<int>(it));
    text += ", polls";
    for (const auto it : firstOf(restart.polls))
        text += ' ' + std::to_string(static_cast<int>(it));
    return text;
}

/// Restarts the worker that a long-running task is placed on. Returns how long the task is missing
/// once the service is calm again.
auto missingTime(const Restart &restart) -> Duration
{
    auto fleet = FakeFleet(restart.workers);
    fleet.doOrdersOutliveIncarnations = false; // a worker that restarts knows nothing of before
    fleet.runTime = 1h;
    fleet.addSteward();
    fleet.addJob(test::oneStepJob("other", test::shortStep(1)));
    fleet.run(2s);
    fleet.deliveries.assign(restart.orders.begin(), restart.orders.end());
    fleet.pollDeliveries.assign(restart.polls.begin(), restart.polls.end());
    fleet.addJob(test::oneStepJob("long", test::longRunningStep(1)));
    fleet.run(restart.after);
    if (restart.downtime > 0ms) {
        fleet.crash(0);
        fleet.run(restart.downtime);
    }
    fleet.restartWorker(0, restart.registrationDelay);
    fleet.run(restart.timeUntilCalm);
    fleet.deliveries.clear();
    fleet.pollDeliveries.clear();
    const auto calmAt = fleet.now();
    while (fleet.activeRuns("long") == 0 && fleet.now() < calmAt + 60s)
        fleet.run(50ms);
    const auto time = fleet.now() - calmAt;
    fleet.run(20s);
    EXPECT_EQ(fleet.activeRuns("long"), 1U) << describe(restart);
    EXPECT_EQ(fleet.violations, std::vector<std::string>()) << describe(restart);
    return time;
}

/// All combinations but for the moment of the restart.
auto allRestarts() -> std::vector<Restart>
{
    using enum Delivery;
    constexpr auto Always = std::size_t{1'000};
    const auto orders = std::vector<std::vector<Delivery>>{{},
                                                           {ReplyLost},
                                                           {Delayed},
                                                           {Delivered, ReplyLost},
                                                           {Delivered, Delayed},
                                                           std::vector(Always, NotSent),
                                                           std::vector(Always, ReplyLost),
                                                           std::vector(Always, Delayed)};
    const auto polls = std::vector<std::vector<Delivery>>{
        {}, {ReplyLost}, {Delayed}, std::vector(Always, ReplyLost), std::vector(Always, Delayed)};
    auto restarts = std::vector<Restart>();
    for (const auto workers : {1, 2}) {
        for (const auto downtime : {0ms, 2000ms}) {
            for (const auto registrationDelay : {100ms, 2000ms}) {
                for (const auto timeUntilCalm : {500ms, 4000ms, 12000ms}) {
                    for (const auto &order : orders) {
                        for (const auto &poll : polls) {
                            restarts.push_back({{},
                                                downtime,
                                                registrationDelay,
                                                timeUntilCalm,
                                                order,
                                                poll,
                                                workers});
                        }
                    }
                }
            }
        }
    }
    return restarts;
}

/// The parameter is the time from the start order to the restart, in milliseconds.
class WorkerRestarts : public testing::TestWithParam<int>
{ };

// The runs that the worker hadn't confirmed are held until they can't begin on its new incarnation
// any more.
TEST_P(WorkerRestarts, DelayALongRunningTaskNoLongerThanCallersWait)
{
    for (auto restart : allRestarts()) {
        restart.after = milliseconds(GetParam());
        EXPECT_LT(missingTime(restart), MaxWaitWhenCalm) << describe(restart);
    }
}

INSTANTIATE_TEST_SUITE_P(At, WorkerRestarts, testing::Range(0, 3'000, 250));

} // namespace

} // namespace shallotproxy
