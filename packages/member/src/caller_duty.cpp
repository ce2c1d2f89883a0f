#include <QPointer>
#include <QTimer>

#include "shallotproxy/member/caller_duty.hpp"
#include "shallotproxy/process/base/record_codec.hpp"
#include "store_keys.hpp"

namespace shallotproxy {

namespace {

constexpr int StewardTimeoutMilliseconds = 350; // then the store is asked: a caller waits up to 3 s
constexpr std::size_t MostOpenCalls = 1'500; // of the member's descriptors, some 4,000
constexpr std::size_t MostOpenSubmissions = 300; // each may hold a body of 256 KB
constexpr int RelayTimeoutMilliseconds = 1'000; // the other member's write takes up to 900 ms
constexpr std::chrono::milliseconds WriteAgainDelay{100}; // a connection that was cut is back
constexpr int RetryAfterSeconds = 1; // an outage or a change of members usually lasts this long

auto innerBounds() -> HttpBounds
{
    auto bounds = HttpBounds();
    bounds.connectTimeoutMilliseconds = StewardTimeoutMilliseconds;
    return bounds;
}

/// Answer of one member to another, about a job or a queue of its steward.
struct InnerAnswer
{
    bool isSteward = false;
    std::uint8_t state = 0; // JobState
    TeamName team;
    std::uint64_t pending = 0;

    MSGPACK_DEFINE(isSteward, state, team, pending)
};

constexpr std::string_view InnerJobPath = "/jobs/";
constexpr std::string_view InnerQueuePath = "/queues/";
constexpr std::string_view InnerSubmissionPath = "/submissions";

/// Creates the job's record, unless it was there before or the job has ended.
auto creationOf(const std::string &job, std::string record) -> StoreCommit
{
    auto commit = StoreCommit();
    commit.compares.push_back({store_keys::job(job), 0});
    commit.compares.push_back({store_keys::progress(job), 0});
    commit.puts.push_back({store_keys::job(job), std::move(record), 0});
    return commit;
}

auto encodeOutcome(WriteOutcome outcome) -> HttpResponse
{
    switch (outcome) {
    case WriteOutcome::Stored:
        return {201, {}, {}};
    case WriteOutcome::StoredBefore:
        return {200, {}, {}};
    case WriteOutcome::NotDone:
        return {503, {}, {}};
    case WriteOutcome::Unknown:
        break;
    }
    return {504, {}, {}};
}

auto decodeOutcome(const TargetReply &reply) -> WriteOutcome
{
    if (!reply)
        return reply.error().isNotSent() ? WriteOutcome::NotDone : WriteOutcome::Unknown;
    switch (reply->status) {
    case 201:
        return WriteOutcome::Stored;
    case 200:
        return WriteOutcome::StoredBefore;
    case 400:
    case 503:
        return WriteOutcome::NotDone;
    default:
        return WriteOutcome::Unknown;
    }
}

auto encodeInner(const InnerAnswer &answer) -> HttpResponse
{
    return {200, {}, packRecord(answer)};
}

auto decodeInner(const TargetReply &reply) -> InnerAnswer
{
    if (!reply || reply->status != 200)
        return {};
    // What can't be read is taken for a member that isn't the steward: the store is asked instead.
    return unpackRecord<InnerAnswer>(reply->body).value_or(InnerAnswer());
}

} // namespace

struct CallerDuty::Call
{
    HttpResponder responder;
    CallerCall asked;
    TeamName team;
    QueueName queue;
    PoolName pool;
    std::string body;
    std::string record; // of a job that is being submitted
    Submission submission;
    BootTime receivedAt;
    ConfigurationVersion version = 0;
    Duration configurationAge{};
    std::string_view kind;
};

CallerDuty::CallerDuty(RuntimeContext &context, StewardDuty &steward, QObject *parent)
    : QObject(parent)
    , m_context(context)
    , m_steward(steward)
    , m_peers(innerBounds())
{
    auto bounds = HttpBounds();
    bounds.connections = MostOpenCalls;
    m_callers =
        std::make_unique<HttpServer>(bounds, [this](HttpRequest request, HttpResponder responder) {
            receive(std::move(request), std::move(responder));
        });
    m_readiness = std::make_unique<HttpServer>(
        HttpBounds(), [this](const HttpRequest &, HttpResponder responder) {
            responder.answer(isReady() ? HttpResponse{200, {}, {}} : HttpResponse{503, {}, {}});
        });
    m_inner = std::make_unique<HttpServer>(
        HttpBounds(), [this](const HttpRequest &request, HttpResponder responder) {
            receiveInner(request, std::move(responder));
        });
    m_metrics = std::make_unique<HttpServer>(
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
    auto result = m_inner->listen(settings.innerEndpoint);
    if (result)
        result = m_readiness->listen(settings.readinessEndpoint);
    if (result && !settings.metricsEndpoint.empty())
        result = m_metrics->listen(settings.metricsEndpoint);
    if (result)
        result = m_callers->listen(settings.callersEndpoint);
    return result;
}

auto CallerDuty::drain() -> void
{
    m_isDraining = true;
    m_callers->closeAfterAnswers();
}

auto CallerDuty::isReady() const -> bool
{
    return !m_isDraining && m_context.fleet.board.isFresh(BootClock::now());
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
    const auto admitted = m_context.fleet.board.admit(m_context.codec.hostNameOf(request), path,
                                                      m_context.codec.keyOf(request), now);
    const auto &declaration = m_context.fleet.board.current();
    call->version = declaration ? declaration->version : 0;
    call->configurationAge = m_context.fleet.board.age(now);
    if (!admitted) {
        refuse(call, admitted.error().status(), admitted.error().name());
        return;
    }
    call->team = admitted->team;
    call->queue = admitted->queue->name;
    call->pool = admitted->queue->rules.pool;
    const auto asked = m_context.codec.decodeCall(request, admitted->rest);
    if (!asked) {
        refuse(call, 404, "no-such-call");
        return;
    }
    call->asked = *asked;
    switch (asked->kind) {
    case CallerCall::Kind::Submit:
        call->kind = "submit";
        call->body = std::move(request.body);
        submit(call);
        return;
    case CallerCall::Kind::ReadJob:
        call->kind = "read";
        readJob(call);
        return;
    case CallerCall::Kind::CancelJob:
        call->kind = "cancel";
        cancelJob(call);
        return;
    case CallerCall::Kind::CountPending:
        call->kind = "pending";
        countPending(call);
        return;
    }
}

auto CallerDuty::submit(const CallPointer &call) -> void
{
    if (m_openSubmissions >= MostOpenSubmissions) {
        refuse(call, 503, "too-many-submissions");
        return;
    }
    auto spec = m_context.codec.decodeJob(call->body);
    call->body.clear();
    if (!spec) {
        refuse(call, 400, spec.error().name());
        return;
    }
    spec->id = call->asked.job;
    spec->queue = call->queue;
    spec->pool = call->pool;
    spec->team = call->team;
    spec->submittedMilliseconds = wallMilliseconds();
    call->record = encodeJob(*spec);
    ++m_openSubmissions;
    moveSubmission(call, call->submission.begin(submissionView(*call)));
}

auto CallerDuty::hasPeerSteward() const -> bool
{
    const auto &holder = m_steward.holderAddress();
    return !holder.empty() && holder != m_context.settings.innerEndpoint;
}

auto CallerDuty::submissionView(const Call &call) const -> SubmissionView
{
    return {m_context.store.health().isAway(), hasPeerSteward(),
            BootClock::now() - call.receivedAt};
}

auto CallerDuty::moveSubmission(const CallPointer &call, SubmissionMove move) -> void
{
    switch (move) {
    case SubmissionMove::Write:
        writeJob(call);
        return;
    case SubmissionMove::WriteLater:
        QTimer::singleShot(WriteAgainDelay, this, [this, call] { writeJob(call); });
        return;
    case SubmissionMove::Relay:
        relayJob(call);
        return;
    case SubmissionMove::Accept:
        --m_openSubmissions;
        answer(call, {200, {}, "{}"}, "accepted");
        return;
    case SubmissionMove::Refuse:
        --m_openSubmissions;
        refuse(call, 503, "store-away");
        return;
    case SubmissionMove::SayUnknown:
        --m_openSubmissions;
        answer(call, {504, {}, "{}"}, "submission-unknown");
        return;
    }
}

auto CallerDuty::writeJob(const CallPointer &call) -> void
{
    m_context.store.commit(creationOf(call->asked.job, call->record),
                           [self = QPointer(this), call](const auto &reply) {
                               if (self)
                                   self->submissionTried(call, writeOutcomeOf(reply));
                           });
}

auto CallerDuty::relayJob(const CallPointer &call) -> void
{
    m_context.metrics.count("shallotproxy_relayed_submissions_total");
    auto request = HttpRequest();
    request.method = "POST";
    request.path = InnerSubmissionPath;
    request.body = call->record;
    m_peers.send(m_steward.holderAddress(), request, RelayTimeoutMilliseconds,
                 [self = QPointer(this), call](const TargetReply &reply) {
                     if (self)
                         self->submissionTried(call, decodeOutcome(reply));
                 });
}

auto CallerDuty::submissionTried(const CallPointer &call, WriteOutcome outcome) -> void
{
    moveSubmission(call, call->submission.step(outcome, submissionView(*call)));
}

auto CallerDuty::receiveRelayed(const HttpRequest &request, HttpResponder responder) -> void
{
    const auto spec = decodeJob(request.body);
    if (!spec) {
        m_context.log.warning("event=relayed-job-unreadable error=\"{}\"", spec.error().message());
        responder.answer({400, {}, {}});
        return;
    }
    // Only a steward has just heard from the store.
    const auto isReached = m_steward.steward() != nullptr && !m_context.store.health().isAway();
    m_context.log.info("event=job-relayed job={} queue={} taken={}", spec->id, spec->queue.value(),
                       isReached);
    if (!isReached) {
        responder.answer(encodeOutcome(WriteOutcome::NotDone));
        return;
    }
    m_context.store.commit(
        creationOf(spec->id, request.body),
        [responder = std::make_shared<HttpResponder>(std::move(responder))](const auto &reply) {
            responder->answer(encodeOutcome(writeOutcomeOf(reply)));
        });
}

auto CallerDuty::answerView(const CallPointer &call, const JobView &view) -> void
{
    const auto isOthers = !view.team.isEmpty() && view.team != call->team;
    if (isOthers || view.state == JobState::Unknown) {
        answer(call, m_context.codec.encodeState(JobState::Unknown), "no-such-job");
        return;
    }
    answer(call, m_context.codec.encodeState(view.state), "told");
}

auto CallerDuty::readJob(const CallPointer &call) -> void
{
    if (auto *steward = m_steward.steward()) {
        const auto view = steward->view(call->asked.job);
        if (view.state != JobState::Unknown) {
            answerView(call, view);
            return;
        }
        // Its record may not have reached the steward yet.
        readStoredJob(call);
        return;
    }
    askSteward(call, [this, call] { readStoredJob(call); });
}

auto CallerDuty::askSteward(const CallPointer &call, std::function<void()> otherwise) -> void
{
    if (!hasPeerSteward()) {
        otherwise();
        return;
    }
    const auto isCount = call->asked.kind == CallerCall::Kind::CountPending;
    auto request = HttpRequest();
    request.method = "GET";
    request.path = isCount ? std::string(InnerQueuePath) + call->queue.value()
                           : std::string(InnerJobPath) + call->asked.job;
    m_peers.send(m_steward.holderAddress(), request, StewardTimeoutMilliseconds,
                 [self = QPointer(this), call, isCount,
                  otherwise = std::move(otherwise)](const TargetReply &reply) {
                     if (!self)
                         return;
                     const auto told = decodeInner(reply);
                     const auto state = static_cast<JobState>(told.state);
                     if (!told.isSteward || (!isCount && state == JobState::Unknown)) {
                         otherwise();
                         return;
                     }
                     if (isCount) {
                         self->answer(call, self->m_context.codec.encodePending(told.pending),
                                      "counted");
                     } else {
                         self->answerView(call, {state, told.team});
                     }
                 });
}

auto CallerDuty::receiveInner(const HttpRequest &request, HttpResponder responder) -> void
{
    const auto path = std::string_view(request.path);
    if (path == InnerSubmissionPath) {
        receiveRelayed(request, std::move(responder));
        return;
    }
    auto told = InnerAnswer();
    if (const auto *steward = m_steward.steward()) {
        told.isSteward = true;
        if (path.starts_with(InnerJobPath)) {
            const auto view = steward->view(std::string(path.substr(InnerJobPath.size())));
            told.state = static_cast<std::uint8_t>(view.state);
            told.team = view.team;
        } else if (path.starts_with(InnerQueuePath)) {
            const auto queue = QueueName(std::string(path.substr(InnerQueuePath.size())));
            told.pending = steward->pendingJobs(queue);
        }
    }
    responder.answer(encodeInner(told));
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

/// Without a steward the records tell: the job as handed in goes when its outcome is written.
auto CallerDuty::readStoredJob(const CallPointer &call) -> void
{
    const auto takeProgress = [this, call](const VersionedRecord *progress) {
        if (progress == nullptr) {
            answerView(call, {});
            return;
        }
        const auto record = decodeProgress(progress->value);
        if (record) {
            answerView(call, {stateOf(record->state(), JobState::Running), record->team});
        } else {
            refuse(call, 503, record.error().name());
        }
    };
    readRecord(call, store_keys::job(call->asked.job),
               [this, call, takeProgress](const VersionedRecord *job) {
                   if (job == nullptr) {
                       readRecord(call, store_keys::progress(call->asked.job), takeProgress);
                       return;
                   }
                   const auto spec = decodeJob(job->value);
                   answerView(call, {JobState::Running, spec ? spec->team : TeamName()});
               });
}

auto CallerDuty::cancelJob(const CallPointer &call) -> void
{
    readRecord(call, store_keys::job(call->asked.job), [this, call](const VersionedRecord *job) {
        if (job == nullptr) {
            cancelEndedJob(call);
        } else {
            writeCancellation(call, *job);
        }
    });
}

auto CallerDuty::writeCancellation(const CallPointer &call, const VersionedRecord &job) -> void
{
    const auto spec = decodeJob(job.value);
    if (spec && !spec->team.isEmpty() && spec->team != call->team) {
        answer(call, m_context.codec.encodeState(JobState::Unknown), "no-such-job");
        return;
    }
    auto commit = StoreCommit();
    const auto key = store_keys::cancel(call->asked.job);
    // On the record's own revision: a job that has just ended gets no cancellation.
    commit.compares.push_back({job.key, static_cast<StoreRevision>(job.revision)});
    commit.compares.push_back({key, 0});
    commit.puts.push_back({key, {}, 0});
    m_context.store.commit(commit, [self = QPointer(this), call](auto reply) {
        if (!self)
            return;
        const auto isOver = reply || reply.error().kind == StoreFailure::Kind::Conflict;
        if (isOver) {
            self->answer(call, {200, {}, "{}"}, reply ? "cancelled" : "cancelled-before");
        } else if (reply.error().kind == StoreFailure::Kind::NotDone) {
            self->refuse(call, 503, reply.error().name());
        } else {
            self->answer(call, {504, {}, "{}"}, "cancellation-unknown");
        }
    });
}

auto CallerDuty::cancelEndedJob(const CallPointer &call) -> void
{
    readRecord(call, store_keys::progress(call->asked.job),
               [this, call](const VersionedRecord *progress) {
                   if (progress != nullptr) {
                       answer(call, {200, {}, "{}"}, "ended-before");
                   } else {
                       answer(call, m_context.codec.encodeState(JobState::Unknown), "no-such-job");
                   }
               });
}

auto CallerDuty::countPending(const CallPointer &call) -> void
{
    if (const auto *steward = m_steward.steward()) {
        answer(call, m_context.codec.encodePending(steward->pendingJobs(call->queue)), "counted");
        return;
    }
    askSteward(call, [this, call] { refuse(call, 503, "no-steward"); });
}

auto CallerDuty::refuse(const CallPointer &call, unsigned status, std::string_view reason) -> void
{
    auto response =
        HttpResponse{status, {}, errorBody(static_cast<int>(status), reason, "not-run")};
    response.headers.push_back({"Content-Type", "application/json"});
    if (status == 503)
        response.headers.push_back({"Retry-After", std::to_string(RetryAfterSeconds)});
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
    // Plain answers to readers are counted only: there are many, and they change nothing.
    const auto isPlain = call->asked.kind != CallerCall::Kind::Submit && response.status == 200
        && call->asked.kind != CallerCall::Kind::CancelJob;
    if (!isPlain) {
        m_context.log.info(
            "event=call-answered kind={} job={} queue={} team={} status={} reason={} ms={} "
            "configuration={} configuration-age-ms={}",
            call->kind, call->asked.job, call->queue.value(), call->team.value(), response.status,
            reason, duration_cast<milliseconds>(elapsed).count(), call->version,
            duration_cast<milliseconds>(call->configurationAge).count());
    }
    call->responder.answer(response);
}

} // namespace shallotproxy
