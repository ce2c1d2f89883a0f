#include "front_duty.hpp"

#include <algorithm>
#include <chrono>

#include <QCryptographicHash>

#include "duty_thread.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr auto FrontLog = Log("front");
constexpr auto TickInterval = 50ms;
constexpr unsigned BadGateway = 502;
constexpr unsigned Unavailable = 503;
constexpr unsigned FirstServerError = 500;
constexpr Duration ProbeDelay = 2s; // a target that has not answered for this long is probed
constexpr auto ProbeRetryInterval = 1s; // after a probe that the target did not answer
constexpr std::size_t MaxOpenBodyBytes = std::size_t{64} * 1024 * 1024;
constexpr std::size_t MaxReplayBodyBytes = std::size_t{64} * 1024; // longer answers aren't replayed

auto boundsOf(const MemberSettings &settings) -> HttpBounds
{
    auto bounds = HttpBounds();
    bounds.bodyBytes = settings.maxBodyBytes;
    bounds.connections = settings.maxConnections;
    return bounds;
}

/// Returns a digest of queue, method, path and body: requests with equal digests are repeats.
auto fingerprintOf(const QueueName &queue, const HttpRequest &request) -> std::string
{
    auto hash = QCryptographicHash(QCryptographicHash::Sha256);
    for (const auto &part : {queue.value(), request.method, request.path, request.body}) {
        const auto size = fmt::format("{}:", part.size());
        hash.addData(QByteArrayView(size.data(), static_cast<qsizetype>(size.size())));
        hash.addData(QByteArrayView(part.data(), static_cast<qsizetype>(part.size())));
    }
    return hash.result().toHex().toStdString();
}

auto millisecondsOf(Duration duration) -> int
{
    return static_cast<int>(std::chrono::ceil<std::chrono::milliseconds>(duration).count());
}

auto secondsSince(BootTime time) -> double
{
    return std::chrono::duration<double>(BootClock::now() - time).count();
}

} // namespace

FrontDuty::FrontDuty(ProcessContext &process, Links &links)
    : m_process(process)
    , m_links(links)
    , m_targets(boundsOf(process.settings))
    , m_dispatcher(process.self.number)
{
    attachConsumer(links.controlToFront, this, [this] { drainUpdates(); });
}

auto FrontDuty::listen() -> Expected<void, ListenError>
{
    m_server = std::make_unique<HttpServer>(
        boundsOf(m_process.settings), [this](HttpRequest request, HttpResponder responder) {
            handleRequest(std::move(request), std::move(responder));
        });
    m_server->setHeadCheck([this](const HttpRequest &head) { return checkHead(head); });
    return m_server->listen(m_process.settings.callersEndpoint);
}

auto FrontDuty::start() -> void
{
    m_timer = std::make_unique<QTimer>();
    connect(m_timer.get(), &QTimer::timeout, this, [this] { tick(); });
    m_timer->start(TickInterval);
}

auto FrontDuty::stop() -> void
{
    m_timer.reset();
    m_open.clear();
    m_controlCalls.clear();
    m_targets.clear();
    m_server.reset();
}

// The health check fails first. Requests are served as before for the settle time, until the load
// balancer has stopped sending them.
auto FrontDuty::drain() -> void
{
    m_shutdownPhase = ShutdownPhase::Settling;
    m_server->closeAfterAnswers();
    const auto settle = std::chrono::milliseconds(m_process.settings.settleMilliseconds);
    QTimer::singleShot(settle, this, [this] {
        m_shutdownPhase = ShutdownPhase::Draining;
        FrontLog.info("draining: {} requests are open", m_open.size());
        dispatch(DrainStarted());
    });
}

auto FrontDuty::isIdle() const -> bool
{
    return m_shutdownPhase == ShutdownPhase::Draining && m_open.empty() && m_controlCalls.empty();
}

auto FrontDuty::handleRequest(HttpRequest request, HttpResponder responder) -> void
{
    if (request.path == "/health") {
        handleHealth(std::move(responder));
    } else if (request.path.starts_with("/tasks") || request.path.starts_with("/usage")) {
        handleControlCall(std::move(request), std::move(responder));
    } else {
        handleQueueRequest(std::move(request), std::move(responder));
    }
}

auto FrontDuty::handleHealth(HttpResponder responder) -> void
{
    const auto isServing = m_shutdownPhase == ShutdownPhase::Serving;
    const auto isHealthy = isServing && m_configuration && BootClock::now() < m_freshUntil;
    constexpr unsigned Ok = 200;
    responder.answer(isHealthy ? jsonResponse(Ok, R"({"healthy":true})")
                               : jsonResponse(Unavailable, R"({"healthy":false})"));
}

auto FrontDuty::handleControlCall(HttpRequest request, HttpResponder responder) -> void
{
    const auto isFresh = m_configuration && BootClock::now() < m_freshUntil;
    const auto owner = isFresh ? m_keys.find(bearerKey(request)) : std::nullopt;
    const auto isDraining = m_shutdownPhase == ShutdownPhase::Draining;
    if (!owner || isDraining) {
        const auto kind = isDraining ? Refusal::Kind::ShuttingDown
            : isFresh                ? Refusal::Kind::BadKey
                                     : Refusal::Kind::NotFresh;
        responder.answer(refusalResponse({kind}));
        return;
    }
    const auto number = ++m_lastNumber;
    auto call = ControlCall{CallSource::Callers, number, owner->team, std::move(request)};
    if (!m_links.frontToControl.push(std::move(call))) {
        responder.answer(refusalResponse({Refusal::Kind::Overloaded}));
        return;
    }
    m_controlCalls.emplace(number, std::move(responder));
}

/// Refuses a request without a valid key before its body is read.
auto FrontDuty::checkHead(const HttpRequest &head) const -> std::optional<HttpResponse>
{
    if (!m_configuration)
        return refusalResponse({Refusal::Kind::NotFresh});
    if (!head.path.starts_with(QueuePathPrefix)) {
        const auto isKnown = m_keys.find(bearerKey(head)).has_value();
        return isKnown ? std::nullopt : std::optional(refusalResponse({Refusal::Kind::BadKey}));
    }
    const auto admitted = admitRequest(*m_configuration, m_keys, head);
    return admitted ? std::nullopt : std::optional(refusalResponse(admitted.error()));
}

auto FrontDuty::handleQueueRequest(HttpRequest request, HttpResponder responder) -> void
{
    auto admitted = Expected<AdmittedRequest, Refusal>(tl::unexpected(
        Refusal{m_configuration ? Refusal::Kind::Overloaded : Refusal::Kind::NotFresh}));
    if (m_configuration && m_openBodyBytes + request.body.size() <= MaxOpenBodyBytes)
        admitted = admitRequest(*m_configuration, m_keys, std::move(request));
    if (admitted) {
        open(std::move(*admitted), std::move(responder));
        return;
    }
    m_process.metrics.count("shallotproxy_refused_total",
                            fmt::format("reason=\"{}\"", admitted.error().name()));
    responder.answer(refusalResponse(admitted.error()));
}

auto FrontDuty::open(AdmittedRequest admitted, HttpResponder responder) -> void
{
    const auto now = BootClock::now();
    const auto &queue = *admitted.queue;
    const auto number = ++m_lastNumber;
    auto fingerprint = admitted.idempotencyKey.empty()
        ? std::string()
        : fingerprintOf(queue.name, admitted.forwarded);
    auto open = OpenRequest();
    open.responder = std::move(responder);
    open.forwarded = std::move(admitted.forwarded);
    open.isIdempotent = queue.isIdempotent;
    open.queue = queue.name;
    open.pool = queue.pool;
    open.team = admitted.owner.team;
    open.id = fmt::format("{:x}-{}", m_process.self.number, number);
    open.arrived = now;
    open.deadline = now + std::chrono::milliseconds(queue.deadlineMilliseconds);
    // A request must end before its claim can expire.
    if (!admitted.idempotencyKey.empty())
        open.deadline = std::min(open.deadline, now + MinClaimLifetime);
    open.forwarded.headers.push_back({"Shallotproxy-Request", open.id});
    open.arrival = RequestArrived{number, queue.name, open.team, open.deadline, admitted.owner.key};
    open.responder.onClientDisconnected([this, number] { handleCallerDisconnected(number); });
    m_process.timeline.record("request.arrive", open.id, version(),
                              {{"queue", queue.name.value()},
                               {"team", open.team.value()},
                               {"idempotent", queue.isIdempotent ? "true" : "false"}});
    m_openBodyBytes += open.forwarded.body.size();
    const auto arrival = open.arrival;
    m_open.emplace(number, std::move(open));
    if (admitted.idempotencyKey.empty()) {
        dispatch(arrival);
    } else {
        claim(number, std::move(admitted.idempotencyKey), std::move(fingerprint));
    }
}

/// Requests the claim of the idempotency key; the request is queued once it is granted.
auto FrontDuty::claim(RequestNumber number, std::string key, std::string fingerprint) -> void
{
    auto &open = m_open.at(number);
    // A request that would be refused anyway must not cost a write to the store.
    if (const auto refusal = m_dispatcher.check(open.arrival, BootClock::now())) {
        refuse(number, *refusal);
        return;
    }
    open.phase = Phase::Claiming;
    auto claimRequest =
        ClaimRequested{number, {open.team, std::move(key)}, std::move(fingerprint), open.deadline};
    if (!m_links.frontToControl.push(std::move(claimRequest)))
        refuse(number, {Refusal::Kind::Overloaded});
}

auto FrontDuty::apply(const ClaimDecision &decision) -> void
{
    const auto it = m_open.find(decision.number);
    const auto isGranted = decision.kind == ClaimDecision::Kind::Granted;
    if (it == m_open.end()) {
        if (isGranted)
            endClaim(decision.number, RequestOutcome::NotRun);
        return;
    }
    auto &open = it->second;
    m_process.timeline.record("request.claim", open.id, version(),
                              {{"verdict", std::string(decision.name())}});
    switch (decision.kind) {
    case ClaimDecision::Kind::Granted: {
        open.phase = Phase::Waiting;
        open.isClaimed = true;
        const auto arrival = open.arrival;
        dispatch(arrival);
        break;
    }
    case ClaimDecision::Kind::Unavailable:
        refuse(decision.number, {Refusal::Kind::ClaimUnavailable});
        break;
    case ClaimDecision::Kind::KeyReused:
        refuse(decision.number, {Refusal::Kind::KeyReused});
        break;
    case ClaimDecision::Kind::AlreadyStarted:
        refuse(decision.number, {Refusal::Kind::AlreadyStarted});
        break;
    case ClaimDecision::Kind::Replay: {
        auto response = decision.response;
        response.headers.push_back({"Shallotproxy-Replayed", "true"});
        answer(open, std::move(response), "answered");
        close(decision.number);
        break;
    }
    }
}

/// Reports to the control duty how a claimed request has ended. If the ring is full, the claim
/// stays until its lease expires, which is safe.
auto FrontDuty::endClaim(RequestNumber number, RequestOutcome end,
                         std::optional<HttpResponse> response) -> void
{
    if (!m_links.frontToControl.push(ClaimedRequestEnded{number, end, std::move(response)})) {
        FrontLog.warning(
            "ring from front to control is full, a claim stays until its lease expires");
    }
}

auto FrontDuty::drainUpdates() -> void
{
    m_links.controlToFront.drain([this](FrontUpdate update) { apply(std::move(update)); });
}

auto FrontDuty::apply(FrontUpdate update) -> void
{
    if (const auto *change = std::get_if<ConfigurationChanged>(&update)) {
        m_configuration = change->configuration;
        m_keys = KeyIndex(*m_configuration);
        m_process.timeline.record("configuration.serve", "front", version());
    }
    if (const auto *change = std::get_if<FreshnessChanged>(&update))
        m_freshUntil = change->freshUntil;
    std::visit(
        [this](const auto &it) {
            if constexpr (std::is_constructible_v<DispatchEvent, decltype(it)>) {
                dispatch(it);
            } else if constexpr (requires { apply(it); }) {
                apply(it);
            }
        },
        update);
}

auto FrontDuty::apply(const UnitsUpdate &change) -> void
{
    m_unitsGeneration = change.generation;
    dispatch(change.units);
}

auto FrontDuty::apply(const ControlReply &reply) -> void
{
    auto node = m_controlCalls.extract(reply.number);
    if (!node.empty())
        node.mapped().answer(reply.response);
}

auto FrontDuty::tick() -> void
{
    const auto now = BootClock::now();
    dispatch(DispatchTick());
    probeUnresponsiveTargets(now);
    m_targets.closeIdle(now);
    auto report = LoadReport();
    report.loads = m_dispatcher.loads();
    report.unitsGeneration = m_unitsGeneration;
    report.usage = m_usage;
    if (m_configuration)
        report.version = m_configuration->version;
    for (const auto &[number, open] : m_open) {
        if (!open.host.isEmpty())
            report.busyHosts.insert(open.host);
    }
    // A report that is dropped because the ring is full is replaced by the next one.
    [[maybe_unused]] const auto isSent = m_links.frontToControl.push(std::move(report));
}

/// Drops a request whose caller has disconnected, unless it is running: then it runs to its end.
auto FrontDuty::handleCallerDisconnected(RequestNumber number) -> void
{
    const auto it = m_open.find(number);
    if (it == m_open.end() || it->second.phase == Phase::Running)
        return;
    const auto &open = it->second;
    if (open.error) {
        m_process.timeline.record("request.end", open.id, version(), {{"outcome", "unknown"}});
    } else {
        m_process.timeline.record("request.drop", open.id, version());
    }
    if (open.isClaimed)
        endClaim(number, open.error ? RequestOutcome::Unknown : RequestOutcome::NotRun);
    const auto isQueued = open.phase == Phase::Waiting;
    close(number);
    if (isQueued)
        dispatch(CallerDisconnected{number});
}

/// Probes the targets of attempts that have not been answered for ProbeDelay. The open connection
/// doesn't show whether the target is alive; a new one does.
auto FrontDuty::probeUnresponsiveTargets(BootTime now) -> void
{
    auto unresponsive = std::set<HostName>();
    while (!m_attempts.empty() && now - m_attempts.front().first >= ProbeDelay) {
        const auto [start, number] = m_attempts.front();
        m_attempts.pop_front();
        const auto it = m_open.find(number);
        const auto isSameAttempt = it != m_open.end() && it->second.phase == Phase::Running
            && it->second.attemptStartedAt <= start;
        if (!isSameAttempt)
            continue;
        unresponsive.insert(it->second.host);
        m_attempts.emplace_back(now, number);
    }
    for (const auto &host : unresponsive)
        probe(host);
}

auto FrontDuty::probe(const HostName &name) -> void
{
    const auto host = m_configuration->hosts.find(name);
    if (host == m_configuration->hosts.end())
        return;
    m_targets.probe(host->second, [this, name](bool isAlive) {
        if (!isAlive) {
            FrontLog.warning("target {} does not answer on a new connection", name.value());
            m_process.timeline.record("target.silent", name.value(), version());
            QTimer::singleShot(ProbeRetryInterval, this, [this, name] { probe(name); });
        }
        dispatch(TargetProbed{name, isAlive});
    });
}

auto FrontDuty::dispatch(const DispatchEvent &event) -> void
{
    const auto actions = m_dispatcher.step(event, BootClock::now());
    for (const auto &action : actions)
        std::visit([this](const auto &it) { perform(it); }, action);
}

auto FrontDuty::perform(const StartRequest &action) -> void
{
    auto &open = m_open.at(action.number);
    const auto now = BootClock::now();
    open.phase = Phase::Running;
    open.host = action.host;
    open.attemptStartedAt = now;
    m_attempts.emplace_back(now, action.number);
    if (open.error)
        m_process.metrics.count("shallotproxy_retries_total");
    const auto &host = m_configuration->hosts.at(action.host);
    auto attributes = std::vector<TimelineAttribute>{{"host", host.name.value()},
                                                     {"dataCentre", host.dataCentre.value()},
                                                     {"pool", open.pool.value()},
                                                     {"team", open.team.value()}};
    if (open.error)
        attributes.push_back({"retry", "true"});
    m_process.timeline.record("request.start", open.id, version(), std::move(attributes));
    m_process.metrics.sample("shallotproxy_queue_seconds",
                             fmt::format("pool=\"{}\"", open.pool.value()),
                             secondsSince(open.arrived));
    // A target may close an idle connection while a request is written to it; then it is unknown
    // whether the request ran. Only idempotent requests reuse connections.
    const auto use = open.isIdempotent ? ConnectionUse::Reused : ConnectionUse::New;
    const auto timeout = millisecondsOf(attemptTimeout(open.deadline - now, open.isIdempotent));
    m_targets.send(
        host, open.forwarded, use, timeout,
        [this, number = action.number](const TargetReply &reply) { finish(number, reply); },
        [this, name = action.host] { return mayWrite(name); });
}

/// Returns whether a request may still be written to the host. It is called once the connection is
/// established: since the request was dispatched, the process may have been paused and the
/// configuration may have changed.
auto FrontDuty::mayWrite(const HostName &name) const -> bool
{
    const auto it = m_configuration->hosts.find(name);
    return BootClock::now() < m_freshUntil && it != m_configuration->hosts.end()
        && m_configuration->acceptsWork(it->second);
}

auto FrontDuty::perform(const RefuseRequest &action) -> void
{
    refuse(action.number, action.refusal);
}

auto FrontDuty::perform(const AbandonRequest &action) -> void
{
    const auto it = m_open.find(action.number);
    if (it == m_open.end())
        return;
    auto &open = it->second;
    const auto ec = open.error.value_or(TargetError{TargetError::Kind::TimedOut});
    FrontLog.warning("request {}: outcome unknown after {}", open.id, ec.name());
    answer(open, jsonResponse(BadGateway, errorBody(ec.number(), ec.name(), "unknown")), "unknown");
    if (open.isClaimed)
        endClaim(action.number, RequestOutcome::Unknown);
    close(action.number);
}

auto FrontDuty::finish(RequestNumber number, const TargetReply &reply) -> void
{
    if (!m_open.contains(number))
        return;
    if (reply) {
        handleAnswer(number, *reply);
    } else {
        handleFailure(number, reply.error());
    }
}

auto FrontDuty::handleFailure(RequestNumber number, const TargetError &ec) -> void
{
    auto &open = m_open.at(number);
    open.phase = Phase::Waiting;
    m_process.timeline.record(ec.isNotSent() ? "request.not-sent" : "request.fail", open.id,
                              version(),
                              {{"host", open.host.value()}, {"error", std::string(ec.name())}});
    if (ec.isNotSent()) {
        const auto isWithheld = ec.kind == TargetError::Kind::Withheld;
        if (!isWithheld)
            probe(open.host);
        dispatch(RequestNotSent{number, !isWithheld});
        return;
    }
    m_usage[open.team].add(BootClock::now() - open.attemptStartedAt);
    open.error = ec;
    const auto isTimeout = ec.kind == TargetError::Kind::TimedOut;
    if (isTimeout)
        probe(open.host);
    dispatch(RequestFailed{number, !isTimeout});
}

auto FrontDuty::handleAnswer(RequestNumber number, HttpResponse response) -> void
{
    auto &open = m_open.at(number);
    m_usage[open.team].add(BootClock::now() - open.attemptStartedAt);
    m_process.metrics.sample("shallotproxy_request_seconds",
                             fmt::format("pool=\"{}\"", open.pool.value()),
                             secondsSince(open.arrived));
    const auto isServerError = response.status >= FirstServerError;
    dropReservedHeaders(response.headers);
    if (open.isClaimed) {
        auto replay =
            response.body.size() <= MaxReplayBodyBytes ? std::optional(response) : std::nullopt;
        endClaim(number, RequestOutcome::Answered, std::move(replay));
    }
    answer(open, std::move(response), "answered");
    close(number);
    dispatch(RequestFinished{number, isServerError});
}

/// Answers a request that has not run with a refusal. If it was claimed, its key is released.
auto FrontDuty::refuse(RequestNumber number, const Refusal &refusal) -> void
{
    const auto it = m_open.find(number);
    if (it == m_open.end())
        return;
    m_process.metrics.count("shallotproxy_refused_total",
                            fmt::format("reason=\"{}\"", refusal.name()));
    answer(it->second, refusalResponse(refusal), refusal.outcome());
    if (it->second.isClaimed)
        endClaim(number, RequestOutcome::NotRun);
    close(number);
}

auto FrontDuty::close(RequestNumber number) -> void
{
    const auto node = m_open.extract(number);
    if (!node.empty())
        m_openBodyBytes -= node.mapped().forwarded.body.size();
}

auto FrontDuty::answer(OpenRequest &open, HttpResponse response, std::string_view outcome) -> void
{
    m_process.timeline.record("request.end", open.id, version(),
                              {{"outcome", std::string(outcome)},
                               {"team", open.team.value()},
                               {"replayed", std::string(response.header("Shallotproxy-Replayed"))},
                               {"status", fmt::format("{}", response.status)}});
    m_process.metrics.count("shallotproxy_requests_total",
                            fmt::format(R"(team="{}",outcome="{}")", open.team.value(), outcome));
    response.headers.push_back({"Shallotproxy-Outcome", std::string(outcome)});
    response.headers.push_back({"Shallotproxy-Request", open.id});
    open.responder.answer(response);
}

auto FrontDuty::version() const -> ConfigurationVersion
{
    return m_configuration ? m_configuration->version : 0;
}

} // namespace shallotproxy
