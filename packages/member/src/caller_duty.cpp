#include <QPointer>
#include <QTimer>

#include "delegate_messages.hpp"
#include "peer_messages.hpp"
#include "shallotproxy/member/caller_duty.hpp"
#include "store_keys.hpp"

namespace shallotproxy {

namespace {

// After this the store is read instead: a caller waits up to 3 s.
constexpr int StewardTimeoutMilliseconds = 350;
constexpr std::size_t MaxOpenCalls = 1'500; // the process has about 4,000 file descriptors
constexpr std::size_t MaxOpenSubmissions = 300; // each may hold a body of 256 KB
constexpr int RelayTimeoutMilliseconds = 1'000; // the other member's write takes up to 900 ms
constexpr int MaxCancelAttempts = 3; // a job is stored, and ends, once between two reads
constexpr std::chrono::milliseconds WriteRetryDelay{100}; // enough to reconnect to the store

auto peerBounds() -> HttpBounds
{
    auto bounds = HttpBounds();
    bounds.connectTimeoutMilliseconds = StewardTimeoutMilliseconds;
    return bounds;
}

constexpr std::string_view PeerJobPath = "/jobs/";
constexpr std::string_view PeerQueuePath = "/queues/";
constexpr std::string_view PeerSubmissionPath = "/submissions";

} // namespace

struct CallerDuty::Call
{
    HttpResponder responder;
    CallerOperation operation;
    TeamName team;
    QueueName queue;
    QueueRules rules;
    std::string body;
    std::string record; // the encoded job of a submission
    Submission submission;
    BootTime receivedAt;
    ConfigurationVersion version = 0;
    Duration configurationAge{};
    std::string_view kind;
    int cancelAttempts = 0;
};

CallerDuty::CallerDuty(RuntimeContext &context, StewardDuty &steward, QObject *parent)
    : QObject(parent)
    , m_context(context)
    , m_steward(steward)
    , m_peerClient(peerBounds())
    , m_markers(context.store)
{
    auto bounds = HttpBounds();
    bounds.connections = MaxOpenCalls;
    m_callerServer =
        std::make_unique<HttpServer>(bounds, [this](HttpRequest request, HttpResponder responder) {
            receive(std::move(request), std::move(responder));
        });
    m_readinessServer = std::make_unique<HttpServer>(
        HttpBounds(), [this](const HttpRequest &, HttpResponder responder) {
            responder.answer(isReady() ? HttpResponse{200, {}, {}} : HttpResponse{503, {}, {}});
        });
    m_peerServer = std::make_unique<HttpServer>(
        HttpBounds(), [this](const HttpRequest &request, HttpResponder responder) {
            receivePeerRequest(request, std::move(responder));
        });
    m_metricsServer = std::make_unique<HttpServer>(
        HttpBounds(), [this](const HttpRequest &, HttpResponder responder) {
            auto response = HttpResponse{200, {}, m_context.metrics.exposition()};
            response.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
            responder.answer(response);
        });
}

CallerDuty::~CallerDuty() = default;

auto CallerDuty::listen() -> Expected<void, ListenError>
{
    const auto &settings = m_context.settings;
    auto result = m_peerServer->listen(settings.peerEndpoint);
    if (result)
        result = m_readinessServer->listen(settings.readinessEndpoint);
    if (result && !settings.metricsEndpoint.empty())
        result = m_metricsServer->listen(settings.metricsEndpoint);
    if (result)
        result = m_callerServer->listen(settings.callersEndpoint);
    return result;
}

auto CallerDuty::drain() -> void
{
    m_isDraining = true;
    m_callerServer->closeAfterAnswers();
}

auto CallerDuty::isReady() const -> bool
{
    return !m_isDraining && m_context.fleet.declarationCache.isFresh(BootClock::now());
}

auto CallerDuty::receive(HttpRequest request, HttpResponder responder) -> void
{
    const auto now = BootClock::now();
    auto call = std::make_shared<Call>();
    call->responder = std::move(responder);
    call->receivedAt = now;
    call->kind = "call";
    ++m_openCalls;
    const auto path = std::string_view(request.path).substr(0, request.path.find('?'));
    const auto admitted =
        m_context.fleet.declarationCache.admit(m_context.callerCodec.hostNameOf(request), path,
                                               m_context.callerCodec.apiKeyOf(request), now);
    const auto &declaration = m_context.fleet.declarationCache.current();
    call->version = declaration ? declaration->version : 0;
    call->configurationAge = m_context.fleet.declarationCache.age(now);
    if (!admitted) {
        refuse(call, admitted.error().status(), admitted.error().name());
        return;
    }
    call->team = admitted->team;
    call->queue = admitted->queue->name;
    call->rules = admitted->queue->rules;
    const auto operation = m_context.callerCodec.decodeOperation(request, admitted->subpath);
    if (!operation) {
        refuse(call, 404, "no-such-call");
        return;
    }
    call->operation = *operation;
    switch (operation->kind) {
    case CallerOperation::Kind::Submit:
        call->kind = "submit";
        call->body = std::move(request.body);
        submit(call);
        return;
    case CallerOperation::Kind::ReadJob:
        call->kind = "read";
        readJob(call);
        return;
    case CallerOperation::Kind::CancelJob:
        call->kind = "cancel";
        cancelJob(call);
        return;
    case CallerOperation::Kind::CountPending:
        call->kind = "pending";
        countPending(call);
        return;
    }
}

auto CallerDuty::submit(const CallPointer &call) -> void
{
    if (m_openSubmissions >= MaxOpenSubmissions) {
        refuse(call, 503, "too-many-submissions");
        return;
    }
    auto spec = m_context.callerCodec.decodeJob(call->body);
    call->body.clear();
    if (!spec) {
        refuse(call, 400, spec.error().name());
        return;
    }
    spec->id = call->operation.job;
    spec->queue = call->queue;
    spec->pool = call->rules.pool;
    spec->rules = call->rules;
    spec->team = call->team;
    spec->teamLimit = teamLimit(call->team);
    spec->submittedMilliseconds = wallMilliseconds();
    call->record = encodeJob(*spec);
    if (const auto refusal = decideAdmission(*call, *spec)) {
        refuseUnlessStored(call, *refusal);
    } else {
        beginSubmission(call);
    }
}

auto CallerDuty::teamLimit(const TeamName &team) const -> Resources
{
    const auto &declaration = m_context.fleet.declarationCache.current();
    if (!declaration)
        return {};
    const auto it = declaration->rules.teams.find(team);
    return it == declaration->rules.teams.end() ? Resources() : it->second.limit;
}

auto CallerDuty::beginSubmission(const CallPointer &call) -> void
{
    ++m_openSubmissions;
    performSubmissionAction(call, call->submission.start(submissionView(*call)));
}

/// Returns why the job is refused, if it is. Work that is due later or that lasts isn't refused for
/// a load that has passed by then.
auto CallerDuty::decideAdmission(const Call &call, const JobSpec &spec)
    -> std::optional<AdmissionRefusal>
{
    if (spec.isScheduled() || std::ranges::any_of(spec.steps, &StepSpec::isLongRunning))
        return std::nullopt;
    auto request = AdmissionRequest();
    request.pool = spec.pool;
    request.priority = call.rules.priority;
    request.team = spec.team;
    request.chain = spec.criticalPath([&spec](std::size_t step) {
        return std::chrono::milliseconds(spec.steps[step].estimatedMilliseconds);
    });
    request.deadline = call.rules.deadlineOf(request.chain);
    request.usefulTime = call.rules.usefulTimeOf(request.chain);
    return m_steward.admissionGate().decide(request, call.receivedAt);
}

/// Refuses a job that isn't stored. A submission may be repeated after it has been accepted, and is
/// then accepted again; the same if the store doesn't tell.
auto CallerDuty::refuseUnlessStored(const CallPointer &call, const AdmissionRefusal &refusal)
    -> void
{
    const auto readNext = [this, call](const std::string &key, std::function<void()> ifAbsent) {
        m_context.store.read(
            key, [self = QPointer(this), call, ifAbsent = std::move(ifAbsent)](const auto &reply) {
                if (!self)
                    return;
                if (reply && reply->records.empty()) {
                    ifAbsent();
                } else {
                    self->beginSubmission(call);
                }
            });
    };
    const auto &job = call->operation.job;
    readNext(store_keys::job(job), [this, call, job, refusal, readNext] {
        readNext(store_keys::progress(job),
                 [this, call, refusal] { refuseForLoad(call, refusal); });
    });
}

auto CallerDuty::refuseForLoad(const CallPointer &call, const AdmissionRefusal &refusal) -> void
{
    const auto isAboveRate = refusal.reason == AdmissionRefusalReason::TeamAboveRate;
    const auto reason =
        isAboveRate ? std::string_view("team-above-rate") : std::string_view("no-room-in-time");
    m_context.metrics.count("shallotproxy_refused_for_load_total",
                            fmt::format(R"(queue="{}",reason="{}")", call->queue.value(), reason));
    m_context.log.info("event=refused-for-load job={} too-late-by-ms={} retry-after-s={}",
                       call->operation.job, refusal.excess.count(), refusal.retryAfter.count());
    refuse(call, isAboveRate ? 429 : 503, reason, refusal.retryAfter);
}

auto CallerDuty::hasPeerSteward() const -> bool
{
    const auto &holder = m_steward.holderAddress();
    return !holder.empty() && holder != m_context.settings.peerEndpoint;
}

auto CallerDuty::submissionView(const Call &call) const -> SubmissionView
{
    return {m_context.store.health().isUnavailable(), hasPeerSteward(),
            BootClock::now() - call.receivedAt};
}

auto CallerDuty::performSubmissionAction(const CallPointer &call, SubmissionAction action) -> void
{
    switch (action) {
    case SubmissionAction::Write:
        writeJob(call);
        return;
    case SubmissionAction::RetryWrite:
        QTimer::singleShot(WriteRetryDelay, this, [this, call] { writeJob(call); });
        return;
    case SubmissionAction::Relay:
        relayJob(call);
        return;
    case SubmissionAction::Accept:
        --m_openSubmissions;
        answer(call, {200, {}, "{}"}, "accepted");
        return;
    case SubmissionAction::Refuse:
        --m_openSubmissions;
        refuse(call, 503, "store-away");
        return;
    case SubmissionAction::RefuseCancelled:
        --m_openSubmissions;
        refuse(call, 503, "cancelled-before");
        return;
    case SubmissionAction::ReportUnknown:
        --m_openSubmissions;
        answer(call, {504, {}, "{}"}, "submission-unknown");
        return;
    }
}

auto CallerDuty::writeJob(const CallPointer &call) -> void
{
    m_context.store.commit(jobCreationCommit(call->operation.job, call->record),
                           [self = QPointer(this), call](const auto &reply) {
                               if (self) {
                                   self->submissionAttempted(
                                       call, creationOutcome(call->operation.job, reply));
                               }
                           });
}

auto CallerDuty::relayJob(const CallPointer &call) -> void
{
    m_context.metrics.count("shallotproxy_relayed_submissions_total");
    auto request = HttpRequest();
    request.method = "POST";
    request.path = PeerSubmissionPath;
    request.body = call->record;
    m_peerClient.send(m_steward.holderAddress(), request, RelayTimeoutMilliseconds,
                      [self = QPointer(this), call](const TargetReply &reply) {
                          if (self)
                              self->submissionAttempted(call, decodeOutcome(reply));
                      });
}

auto CallerDuty::submissionAttempted(const CallPointer &call, WriteOutcome outcome) -> void
{
    performSubmissionAction(call, call->submission.step(outcome, submissionView(*call)));
}

auto CallerDuty::receiveRelayedSubmission(const HttpRequest &request, HttpResponder responder)
    -> void
{
    const auto spec = decodeJob(request.body);
    if (!spec) {
        m_context.log.warning("event=relayed-job-unreadable error=\"{}\"", spec.error().message());
        responder.answer({400, {}, {}});
        return;
    }
    // Only a steward is known to have reached the store recently.
    const auto canWrite =
        m_steward.steward() != nullptr && !m_context.store.health().isUnavailable();
    m_context.log.info("event=job-relayed job={} queue={} taken={}", spec->id, spec->queue.value(),
                       canWrite);
    if (!canWrite) {
        responder.answer(encodeOutcome(WriteOutcome::NotApplied));
        return;
    }
    m_context.store.commit(jobCreationCommit(spec->id, request.body),
                           [responder = std::make_shared<HttpResponder>(std::move(responder)),
                            job = spec->id](const auto &reply) {
                               responder->answer(encodeOutcome(creationOutcome(job, reply)));
                           });
}

auto CallerDuty::answerJobState(const CallPointer &call, const JobView &view) -> void
{
    const auto belongsToOtherTeam = !view.team.isEmpty() && view.team != call->team;
    if (belongsToOtherTeam || view.state == JobState::Unknown) {
        answer(call, m_context.callerCodec.encodeState(JobState::Unknown), "no-such-job");
        return;
    }
    answer(call, m_context.callerCodec.encodeState(view.state), "told");
}

auto CallerDuty::readJob(const CallPointer &call) -> void
{
    if (auto *steward = m_steward.steward()) {
        const auto view = steward->view(call->operation.job);
        if (view.state != JobState::Unknown) {
            answerJobState(call, view);
            return;
        }
        // The steward may not have received the job's record yet.
        readStoredJob(call);
        return;
    }
    querySteward(call, [this, call] { readStoredJob(call); });
}

auto CallerDuty::querySteward(const CallPointer &call, std::function<void()> fallback) -> void
{
    if (!hasPeerSteward()) {
        fallback();
        return;
    }
    const auto isCount = call->operation.kind == CallerOperation::Kind::CountPending;
    auto request = HttpRequest();
    request.method = "GET";
    request.path = isCount ? std::string(PeerQueuePath) + call->queue.value()
                           : std::string(PeerJobPath) + call->operation.job;
    m_peerClient.send(
        m_steward.holderAddress(), request, StewardTimeoutMilliseconds,
        [self = QPointer(this), call, isCount,
         fallback = std::move(fallback)](const TargetReply &reply) {
            if (!self)
                return;
            const auto peerReply = decodePeerReply(reply);
            const auto state = static_cast<JobState>(peerReply.state);
            if (!peerReply.isSteward || (!isCount && state == JobState::Unknown)) {
                fallback();
                return;
            }
            if (isCount) {
                self->answer(call, self->m_context.callerCodec.encodePending(peerReply.pending),
                             "counted");
            } else {
                self->answerJobState(call, {state, peerReply.team});
            }
        });
}

auto CallerDuty::receivePeerRequest(const HttpRequest &request, HttpResponder responder) -> void
{
    const auto path = std::string_view(request.path);
    if (path == PeerSubmissionPath) {
        receiveRelayedSubmission(request, std::move(responder));
        return;
    }
    if (path == DelegatePath) {
        m_steward.workers().receiveReport(request, std::move(responder));
        return;
    }
    auto peerReply = PeerReply();
    if (const auto *steward = m_steward.steward()) {
        peerReply.isSteward = true;
        if (path.starts_with(PeerJobPath)) {
            const auto view = steward->view(std::string(path.substr(PeerJobPath.size())));
            peerReply.state = static_cast<std::uint8_t>(view.state);
            peerReply.team = view.team;
        } else if (path.starts_with(PeerQueuePath)) {
            const auto queue = QueueName(std::string(path.substr(PeerQueuePath.size())));
            peerReply.pending = steward->pendingJobs(queue);
        }
    }
    responder.answer(encodePeerReply(peerReply));
}

auto CallerDuty::readRecord(const CallPointer &call, const std::string &key,
                            std::function<void(const VersionedRecord *)> function) -> void
{
    m_context.store.read(
        key, [self = QPointer(this), call, function = std::move(function)](const auto &reply) {
            if (!self)
                return;
            if (reply) {
                function(reply->records.empty() ? nullptr : &reply->records.front());
            } else {
                self->refuse(call, 503, reply.error().name());
            }
        });
}

/// Without a steward the state follows from the records in the store: a job's submitted record is
/// removed when its outcome is written to its progress record.
auto CallerDuty::readStoredJob(const CallPointer &call) -> void
{
    const auto answerFromProgress = [this, call](const VersionedRecord *progress) {
        if (progress == nullptr) {
            answerJobState(call, {});
            return;
        }
        const auto record = decodeProgress(progress->value);
        if (record) {
            answerJobState(call, {stateOf(record->state(), JobState::Running), record->team});
        } else {
            refuse(call, 503, record.error().name());
        }
    };
    readRecord(call, store_keys::job(call->operation.job),
               [this, call, answerFromProgress](const VersionedRecord *job) {
                   if (job == nullptr) {
                       readRecord(call, store_keys::progress(call->operation.job),
                                  answerFromProgress);
                       return;
                   }
                   const auto spec = decodeJob(job->value);
                   answerJobState(call, {JobState::Running, spec ? spec->team : TeamName()});
               });
}

auto CallerDuty::cancelJob(const CallPointer &call) -> void
{
    readRecord(call, store_keys::job(call->operation.job),
               [this, call](const VersionedRecord *job) {
                   if (job == nullptr) {
                       cancelUnstoredJob(call);
                   } else {
                       writeCancellation(call, *job);
                   }
               });
}

auto CallerDuty::writeCancellation(const CallPointer &call, const VersionedRecord &job) -> void
{
    const auto spec = decodeJob(job.value);
    if (spec && !spec->team.isEmpty() && spec->team != call->team) {
        answer(call, m_context.callerCodec.encodeState(JobState::Unknown), "no-such-job");
        return;
    }
    auto commit = StoreCommit();
    const auto key = store_keys::cancel(call->operation.job);
    // Fails if the job's record has changed: a job that has just ended gets no cancellation.
    commit.compares.push_back({job.key, static_cast<StoreRevision>(job.revision)});
    commit.compares.push_back({key, 0});
    commit.puts.push_back({key, {}, 0});
    m_context.store.commit(commit, [self = QPointer(this), call](auto reply) {
        if (!self)
            return;
        const auto isSettled = reply || reply.error().kind == StoreFailure::Kind::Conflict;
        if (isSettled) {
            self->answer(call, {200, {}, "{}"}, reply ? "cancelled" : "cancelled-before");
        } else if (reply.error().kind == StoreFailure::Kind::NotApplied) {
            self->refuse(call, 503, reply.error().name());
        } else {
            self->answer(call, {504, {}, "{}"}, "cancellation-unknown");
        }
    });
}

auto CallerDuty::cancelUnstoredJob(const CallPointer &call) -> void
{
    readRecord(call, store_keys::progress(call->operation.job),
               [this, call](const VersionedRecord *progress) {
                   if (progress == nullptr) {
                       markCancelled(call);
                   } else {
                       cancelByProgress(call, *progress);
                   }
               });
}

/// The job has ended, unless it was stored after its record was looked for.
auto CallerDuty::cancelByProgress(const CallPointer &call, const VersionedRecord &progress) -> void
{
    const auto record = decodeProgress(progress.value);
    if (!record) {
        refuse(call, 503, record.error().name());
    } else if (record->state() != JobOutcome::Open) {
        answer(call, {200, {}, "{}"}, "ended-before");
    } else {
        cancelAgain(call, "job-changing");
    }
}

/// Begins the cancelling anew with what the store has now, or refuses it.
auto CallerDuty::cancelAgain(const CallPointer &call, std::string_view reason) -> void
{
    if (++call->cancelAttempts < MaxCancelAttempts) {
        cancelJob(call);
    } else {
        refuse(call, 503, reason);
    }
}

/// The job may still be written: by a member that repeats its submission, or by the store itself,
/// which may carry out an unanswered write late.
auto CallerDuty::markCancelled(const CallPointer &call) -> void
{
    m_markers.write(call->operation.job, [self = QPointer(this), call](const auto &reply) {
        if (!self)
            return;
        if (reply) {
            self->answer(call, self->m_context.callerCodec.encodeState(JobState::Unknown),
                         "no-such-job");
        } else if (reply.error().kind == StoreFailure::Kind::Conflict) {
            self->cancelAgain(call, reply.error().name()); // it has been stored meanwhile
        } else if (reply.error().kind == StoreFailure::Kind::Unknown) {
            self->answer(call, {504, {}, "{}"}, "cancellation-unknown");
        } else {
            self->refuse(call, 503, reply.error().name());
        }
    });
}

auto CallerDuty::countPending(const CallPointer &call) -> void
{
    if (const auto *steward = m_steward.steward()) {
        answer(call, m_context.callerCodec.encodePending(steward->pendingJobs(call->queue)),
               "counted");
        return;
    }
    querySteward(call, [this, call] { refuse(call, 503, "no-steward"); });
}

auto CallerDuty::refuse(const CallPointer &call, unsigned status, std::string_view reason,
                        std::chrono::seconds retryAfter) -> void
{
    auto response =
        HttpResponse{status, {}, errorBody(static_cast<int>(status), reason, "not-run")};
    response.headers.push_back({"Content-Type", "application/json"});
    if (status == 503 || status == 429)
        response.headers.push_back({"Retry-After", std::to_string(retryAfter.count())});
    answer(call, std::move(response), reason);
}

auto CallerDuty::answer(const CallPointer &call, HttpResponse response, std::string_view reason)
    -> void
{
    --m_openCalls;
    const auto elapsed = BootClock::now() - call->receivedAt;
    const auto label = fmt::format(R"(kind="{}",status="{}")", call->kind, response.status);
    m_context.metrics.count("shallotproxy_calls_total", label);
    m_context.metrics.sample("shallotproxy_call_seconds", fmt::format("kind=\"{}\"", call->kind),
                             std::chrono::duration<double>(elapsed).count());
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    // Successful reads are only counted, not logged: they are many and change nothing.
    const auto isRoutineRead = call->operation.kind != CallerOperation::Kind::Submit
        && response.status == 200 && call->operation.kind != CallerOperation::Kind::CancelJob;
    if (!isRoutineRead) {
        m_context.log.info(
            "event=call-answered kind={} job={} queue={} team={} status={} reason={} ms={} "
            "configuration={} configuration-age-ms={}",
            call->kind, call->operation.job, call->queue.value(), call->team.value(),
            response.status, reason, duration_cast<milliseconds>(elapsed).count(), call->version,
            duration_cast<milliseconds>(call->configurationAge).count());
    }
    call->responder.answer(response);
}

} // namespace shallotproxy
