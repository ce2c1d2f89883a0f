#pragma once

#include "fake_fleet.hpp"

namespace shallotproxy::test {

/// Returns the first action of this type, or null.
template <typename T>
auto firstOf(const Steward::Actions &actions) -> const T *
{
    for (const auto &it : actions) {
        if (const auto *found = std::get_if<T>(&it))
            return found;
    }
    return nullptr;
}

/// One steward with one worker, driven event by event.
class SingleWorker
{
public:
    explicit SingleWorker(StepSpec step, std::uint32_t attempts = 2,
                          const StewardSettings &settings = {})
        : steward(7, settings, now)
    {
        steward.step(steward_event::Ticked{1'000'000}, now);
        steward.step(steward_event::RulesChanged{testRules(attempts)}, now);
        steward.step(steward_event::JobAccepted{oneStepJob("job", std::move(step)), {}, true}, now);
        steward.step(steward_event::WorkerReported{workerReport(0)}, now);
    }

    auto poll(std::vector<ActiveRun> active, std::vector<EndedRun> ended) -> Steward::Actions
    {
        auto event = steward_event::WorkerPolled();
        event.worker = workerName(0);
        event.sentAt = now;
        event.clockMilliseconds = clockMilliseconds;
        event.startedMilliseconds = startedMilliseconds;
        event.active = std::move(active);
        event.ended = std::move(ended);
        now += 2ms;
        return step(event);
    }

    /// Polls the worker for the first time. Returns the number of the run that is started; 0 if
    /// none.
    auto startRun() -> std::uint64_t
    {
        steward.expectWorkers({workerName(0)});
        const auto actions = poll({}, {});
        const auto *start = firstOf<steward_action::StartRun>(actions);
        return start == nullptr ? 0 : start->run;
    }

    /// Applies the event and then places the waiting tasks.
    auto step(const StewardEvent &event) -> Steward::Actions
    {
        auto actions = steward.step(event, now);
        for (const auto &it : steward.step(steward_event::PlacementDue(), now))
            actions.push_back(it);
        return actions;
    }

    auto tick(Duration time) -> Steward::Actions
    {
        now += time;
        return step(steward_event::Ticked{1'000'000});
    }

    BootTime now{1h};
    /// The incarnation and the clock that the worker reports in its next answer to a poll.
    std::int64_t startedMilliseconds = 1;
    std::int64_t clockMilliseconds = 5'000;
    Steward steward;
    const JobTaskId task{"job", 0, 0, 0};
};

} // namespace shallotproxy::test
