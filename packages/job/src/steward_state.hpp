#pragma once

#include "shallotproxy/job/steward.hpp"

namespace shallotproxy {

enum class TaskPhase : std::uint8_t { Waiting, Starting, Running, Stopping, Done };

struct Steward::Task
{
    Job *job = nullptr;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    TaskPhase phase = TaskPhase::Waiting;
    std::uint64_t run = 0; // newest number used
    Worker *worker = nullptr; // while Starting, Running or Stopping
    std::vector<std::uint64_t> failedRuns; // workers may tell them in any order
    std::string checkpoint;
    WorkerName failedOn; // avoided by the next run
    BootTime since; // of this phase
    BootTime orderedAt; // when the newest order was sent
    BootTime answeredAt; // when the worker last confirmed the run or its stop
    bool wasSentAgain = false; // the start order, as the first had no answer
    bool isOrderOpen = false; // an order waits for its answer
    bool isStopConfirmed = false;
    bool mayRunUnseen = false; // an earlier steward may have started it somewhere
    int progressPercent = 0;
    int ownSpeedPercent = 100; // as last ordered
    std::int64_t latencyOrUsage = 0;

    [[nodiscard]] auto id() const -> JobTaskId;
    [[nodiscard]] auto spec() const -> const StepSpec &;
};

struct Steward::Occurrence
{
    std::vector<std::vector<Task>> steps;
    std::vector<std::uint32_t> tasksLeft; // of each step
    std::uint32_t stepsLeft = 0;
};

struct Steward::Job
{
    JobSpec spec;
    JobOutcome outcome = JobOutcome::Open;
    std::int64_t endedMilliseconds = 0;
    std::map<std::uint32_t, Occurrence> occurrences; // those that have begun
    std::uint32_t occurrencesDone = 0;
    std::uint32_t nextOccurrence = 0; // the first that hasn't begun
    bool hasStarted = false;
    bool mayRunAlready = false;
    std::uint64_t change = 0;
    std::uint64_t keptChange = 0;
    JobOutcome keptOutcome = JobOutcome::Open;
    Duration workLeft{};
    BootTime submittedAt;
    BootTime onTimeUntil;
    std::size_t waitingTasks = 0;
};

struct Steward::Worker
{
    struct UnkeptEnd
    {
        std::uint64_t sequence = 0;
        std::string job;
        std::uint64_t change = 0;
    };

    WorkerReport report;
    bool isListed = true;
    bool isHeld = false; // has answered to this steward's token
    Resources used;
    std::vector<Task *> runs;
    BootTime leaseEnds; // by now everything here has ended unless the lease is renewed
    std::int64_t clockMilliseconds = 0;
    BootTime clockAt;
    bool hasClock = false;
    std::int64_t startedMilliseconds = 0;
    bool isLooking = false;
    BootTime nextLook;
    BootTime lastAnswer;
    BootTime busySince; // when it got its first run after being idle
    BootTime restsUntil;
    int failedLooks = 0;
    std::uint64_t seenEnd = 0; // highest end that was taken in
    std::uint64_t keptEnd = 0; // highest end that may be acknowledged
    std::uint64_t acknowledged = 0; // as last told
    std::deque<UnkeptEnd> unkept;
    bool isDraining = false;
    BootTime vacatedAt;
    BootTime onlyLastingUntil; // room is being made for a lasting task

    [[nodiscard]] auto freeRoom() const -> Resources { return report.capacity - used; }
};

} // namespace shallotproxy
