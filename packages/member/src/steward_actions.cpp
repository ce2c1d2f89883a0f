#include "shallotproxy/member/steward_duty.hpp"

namespace shallotproxy {

namespace {

using std::chrono::milliseconds;

auto nameOf(RunLoss loss) -> std::string_view
{
    switch (loss) {
    case RunLoss::Planned:
        return "planned";
    case RunLoss::Ended:
        return "worker-ended";
    case RunLoss::Restarted:
        return "worker-restarted";
    case RunLoss::LeaseExpired:
        break;
    }
    return "lease-expired";
}

auto nameOf(OrderOutcome outcome) -> std::string_view
{
    switch (outcome) {
    case OrderOutcome::Accepted:
        return "accepted";
    case OrderOutcome::Superseded:
        return "superseded";
    case OrderOutcome::StaleRun:
        return "stale-run";
    case OrderOutcome::LeaseExpired:
        return "lease-expired";
    case OrderOutcome::InsufficientResources:
        return "insufficient-resources";
    case OrderOutcome::Invalid:
        return "invalid";
    case OrderOutcome::Unhealthy:
        return "unhealthy";
    case OrderOutcome::StaleIncarnation:
        return "stale-incarnation";
    case OrderOutcome::NotSent:
        return "not-sent";
    case OrderOutcome::Unanswered:
        break;
    }
    return "unanswered";
}

auto nameOf(ContactLoss loss) -> std::string_view
{
    switch (loss) {
    case ContactLoss::Silent:
        return "silent";
    case ContactLoss::Closed:
        return "closed";
    case ContactLoss::Unknown:
        break;
    }
    return "unknown";
}

auto nameOf(CrashEvidence evidence) -> std::string_view
{
    switch (evidence) {
    case CrashEvidence::Beside:
        return "beside";
    case CrashEvidence::Likely:
        return "likely";
    case CrashEvidence::Isolated:
        return "isolated";
    case CrashEvidence::Sole:
        return "sole";
    case CrashEvidence::SoleOnNewWorker:
        return "sole-on-new-worker";
    case CrashEvidence::IsolatedOnNewWorker:
        return "isolated-on-new-worker";
    case CrashEvidence::Grouped:
        break;
    }
    return "grouped";
}

auto nameOf(WaitReason reason) -> std::string_view
{
    switch (reason) {
    case WaitReason::NotListed:
        return "not-listed";
    case WaitReason::StopUnconfirmed:
        return "stop-unconfirmed";
    case WaitReason::EndUnreported:
        return "end-unreported";
    case WaitReason::StartUnanswered:
        return "start-unanswered";
    case WaitReason::Recovering:
        return "recovering";
    case WaitReason::CrashNotPersisted:
        return "crash-not-persisted";
    case WaitReason::NoRoomForSuspect:
        return "no-room-for-suspect";
    case WaitReason::NoQuietWorker:
        return "no-quiet-worker";
    case WaitReason::NoRules:
        return "no-rules";
    case WaitReason::NoWorkers:
        return "no-workers";
    case WaitReason::WorkersKeptForSuspects:
        return "workers-kept-for-suspects";
    case WaitReason::TeamLimit:
        return "team-limit";
    case WaitReason::PreemptionUnderWay:
        return "preemption-under-way";
    case WaitReason::NoRoom:
        return "no-room";
    case WaitReason::PlacementDue:
        break;
    }
    return "placement-due";
}

} // namespace

auto StewardDuty::perform(const steward_action::StartRun &action) -> void
{
    const auto *report = workerReport(action.worker);
    const auto now = BootClock::now();
    if (report == nullptr || !m_stewardship.mayOrder(now)) {
        dispatch(steward_event::StartAnswered{action.worker, action.task, action.run,
                                              OrderOutcome::NotSent, 0});
        return;
    }
    m_context.metrics.count("shallotproxy_run_starts_total");
    if (action.crashes > 0) {
        m_context.log.info("event=suspect-started job={} occurrence={} step={} task={} run={} "
                           "worker={} last-answer-ms={} crashes={}",
                           action.task.job, action.task.occurrence, action.task.step,
                           action.task.index, action.run, action.worker.value(),
                           action.lastAnswerAge.count(), action.crashes);
    }
    ++m_openStarts;
    m_workers.start(
        *report, *m_stewardship.token(), action,
        ifSameTerm([this, action, now](const OrderReply &reply) {
            --m_openStarts;
            m_context.metrics.sample("shallotproxy_run_start_seconds", {},
                                     std::chrono::duration<double>(BootClock::now() - now).count());
            if (reply.outcome != OrderOutcome::Accepted) {
                m_context.log.info("event=start-not-accepted job={} occurrence={} step={} "
                                   "task={} run={} worker={} outcome={} contact={} "
                                   "last-answer-ms={} crashes={}",
                                   action.task.job, action.task.occurrence, action.task.step,
                                   action.task.index, action.run, action.worker.value(),
                                   nameOf(reply.outcome), nameOf(reply.contactLoss),
                                   action.lastAnswerAge.count(), action.crashes);
            }
            dispatch(steward_event::StartAnswered{action.worker, action.task, action.run,
                                                  reply.outcome, reply.clockMilliseconds,
                                                  reply.contactLoss});
        }));
}

auto StewardDuty::perform(const steward_action::StopRun &action) -> void
{
    const auto *report = workerReport(action.worker);
    if (report == nullptr || !m_stewardship.mayRenewRuns(BootClock::now())) {
        dispatch(steward_event::StopAnswered{action.worker, action.task, action.run,
                                             OrderOutcome::NotSent});
        return;
    }
    m_context.log.info("event=stop-ordered job={} occurrence={} step={} task={} run={} worker={}",
                       action.task.job, action.task.occurrence, action.task.step, action.task.index,
                       action.run, action.worker.value());
    m_workers.stop(*report, *m_stewardship.token(), action,
                   ifSameTerm([this, action](const OrderReply &reply) {
                       dispatch(steward_event::StopAnswered{action.worker, action.task, action.run,
                                                            reply.outcome});
                   }));
}

auto StewardDuty::perform(const steward_action::PollWorker &action) -> void
{
    const auto *report = workerReport(action.worker);
    const auto now = BootClock::now();
    if (report == nullptr || !m_stewardship.mayRenewRuns(now)) {
        dispatch(steward_event::PollFailed{action.worker, now, OrderOutcome::NotSent});
        return;
    }
    ++m_openPolls;
    m_workers.poll(
        *report, *m_stewardship.token(), action,
        ifSameTerm([this, worker = action.worker, now](const OrderReply &reply, auto pollResult) {
            --m_openPolls;
            if (!pollResult) {
                m_context.log.info("event=look-failed worker={} outcome={} contact={}",
                                   worker.value(), nameOf(reply.outcome),
                                   nameOf(reply.contactLoss));
                dispatch(steward_event::PollFailed{worker, now, reply.outcome, reply.contactLoss});
                return;
            }
            pollResult->sentAt = now;
            if (m_steward->isRecovering()) {
                m_context.log.info("event=worker-asked worker={} active={} ended={} clock={}",
                                   worker.value(), pollResult->active.size(),
                                   pollResult->ended.size(), pollResult->clockMilliseconds);
            }
            dispatch(std::move(*pollResult));
        }));
}

auto StewardDuty::perform(const steward_action::SetRunSpeed &action) -> void
{
    const auto *report = workerReport(action.worker);
    if (report == nullptr || !m_stewardship.mayOrder(BootClock::now()))
        return; // the next poll decides again
    m_workers.setRunSpeed(*report, *m_stewardship.token(), action,
                          ifSameTerm([this, action](const OrderReply &reply) {
                              if (reply.outcome == OrderOutcome::Superseded)
                                  superseded(action.worker.value());
                          }));
}

auto StewardDuty::perform(const steward_action::PersistProgress &action) -> void
{
    m_writer.changed(action.job, action.urgency, BootClock::now());
}

auto StewardDuty::perform(const steward_action::ReportLostRuns &action) -> void
{
    const auto cause = nameOf(action.loss);
    const auto label = fmt::format("cause=\"{}\"", cause);
    for (const auto &it : action.runs) {
        m_context.metrics.count("shallotproxy_runs_lost_total", label);
        m_context.log.info(
            "event=run-lost job={} occurrence={} step={} task={} run={} worker={} cause={}",
            it.task.job, it.task.occurrence, it.task.step, it.task.index, it.run,
            action.worker.value(), cause);
    }
}

auto StewardDuty::perform(const steward_action::ReportCrash &action) -> void
{
    for (const auto &it : action.runs) {
        m_context.log.info(
            "event=crash-held job={} occurrence={} step={} task={} run={} worker={} cause={} "
            "contact={} evidence={} confirmed={} delivery-in-doubt={} survived-ms={} expected={} "
            "crashes={}",
            it.task.job, it.task.occurrence, it.task.step, it.task.index, it.run.run,
            action.worker.value(), nameOf(action.loss), nameOf(action.contactLoss),
            nameOf(static_cast<CrashEvidence>(it.run.evidence)), it.run.wasConfirmed,
            it.run.isDeliveryInDoubt, it.run.survivedMilliseconds, it.run.expectedCrashes(),
            it.crashes);
    }
    if (action.omitted > 0) {
        m_context.log.info("event=more-crashes-held worker={} runs={}", action.worker.value(),
                           action.omitted);
    }
}

auto StewardDuty::perform(const steward_action::ReportWorkerEnd &action) -> void
{
    const auto isReplaced = action.evidence == EndEvidence::Replaced;
    m_context.log.info("event=worker-ended worker={} evidence={}", action.worker.value(),
                       isReplaced ? "replaced" : "never-listed");
}

auto StewardDuty::perform(const steward_action::ReportCrashingTask &action) -> void
{
    m_context.metrics.count("shallotproxy_crashing_tasks_total", {});
    m_context.log.info("event=task-given-up job={} occurrence={} step={} task={} crashes={}",
                       action.task.job, action.task.occurrence, action.task.step, action.task.index,
                       action.crashes);
}

auto StewardDuty::perform(const steward_action::ReportWaitingTask &action) -> void
{
    const auto reason = nameOf(action.reason);
    m_context.metrics.count("shallotproxy_waiting_tasks_total",
                            fmt::format("reason=\"{}\"", reason));
    m_context.log.info(
        "event=task-waits job={} occurrence={} step={} task={} run={} worker={} reason={} ms={}",
        action.task.job, action.task.occurrence, action.task.step, action.task.index, action.run,
        action.worker.value(), reason,
        std::chrono::duration_cast<milliseconds>(action.time).count());
}

auto StewardDuty::perform(const steward_action::ReportMoreWaitingTasks &action) -> void
{
    m_context.metrics.count("shallotproxy_waiting_tasks_total", "reason=\"omitted\"",
                            static_cast<double>(action.count));
    m_context.log.info("event=more-tasks-wait tasks={}", action.count);
}

auto StewardDuty::perform(const steward_action::StepDown &action) -> void
{
    superseded(action.worker.value());
}

} // namespace shallotproxy
