#include "front_duty.hpp"

#include <algorithm>
#include <chrono>

#include "duty_thread.hpp"

namespace shallotproxy {

namespace {

using namespace std::chrono_literals;

constexpr auto FrontLog = Log("front");
constexpr auto TickInterval = 50ms;
constexpr unsigned BadGateway = 502;
constexpr unsigned Unavailable = 503;

auto boundsOf(const MemberSettings &settings) -> HttpBounds
{
    auto bounds = HttpBounds();
    bounds.bodyBytes = settings.maxBodyBytes;
    bounds.connections = settings.maxConnections;
    return bounds;
}

auto errorBody(int number, std::string_view name, std::string_view outcome) -> std::string
{
    return fmt::format(R"({{"error":{},"name":"{}","outcome":"{}"}})", number, name, outcome);
}

auto refusalResponse(const Refusal &refusal) -> HttpResponse
{
    return jsonResponse(refusal.status(), errorBody(refusal.number(), refusal.name(), "not-run"));
}

/// Headers of this name space are ours alone; a target can't set them.
auto dropReservedHeaders(HttpResponse &response) -> void
{
    constexpr std::string_view Reserved = "Shallotproxy-";
    std::erase_if(response.headers, [Reserved](const auto &header) {
        return isSameHeader(std::string_view(header.name).substr(0, Reserved.size()), Reserved);
    });
}

auto millisecondsUntil(BootTime deadline) -> int
{
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - BootClock::now());
    return std::max(1, static_cast<int>(left.count()));
}

} // namespace

FrontDuty::FrontDuty(ProcessContext &process, Links &links)
    : m_process(process)
    , m_links(links)
    , m_targets(boundsOf(process.settings))
{
    attachConsumer(links.controlToFront, this, [this] { drainUpdates(); });
}

auto FrontDuty::listen() -> Expected<void, ListenError>
{
    m_server = std::make_unique<HttpServer>(
        boundsOf(m_process.settings), [this](HttpRequest request, HttpResponder responder) {
            handleRequest(std::move(request), std::move(responder));
        });
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

auto FrontDuty::drain() -> void
{
    m_isDraining = true;
    m_server->stopAccepting();
    dispatch(DrainStarted());
    FrontLog.info("draining, {} requests open", m_open.size());
}

auto FrontDuty::isIdle() const -> bool
{
    return m_open.empty() && m_controlCalls.empty();
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
    const auto isHealthy = !m_isDraining && m_configuration && BootClock::now() < m_freshUntil;
    constexpr unsigned Ok = 200;
    responder.answer(isHealthy ? jsonResponse(Ok, R"({"healthy":true})")
                               : jsonResponse(Unavailable, R"({"healthy":false})"));
}

auto FrontDuty::handleControlCall(HttpRequest request, HttpResponder responder) -> void
{
    const auto isFresh = m_configuration && BootClock::now() < m_freshUntil;
    const auto team = isFresh ? findTeam(*m_configuration, bearerKey(request)) : std::nullopt;
    if (!team || m_isDraining) {
        const auto kind = m_isDraining ? Refusal::Kind::ShuttingDown
            : isFresh                  ? Refusal::Kind::BadKey
                                       : Refusal::Kind::NotFresh;
        responder.answer(refusalResponse({kind}));
        return;
    }
    const auto number = ++m_lastNumber;
    auto call = ControlCall{CallFace::Callers, number, *team, std::move(request)};
    if (!m_links.frontToControl.push(std::move(call))) {
        responder.answer(refusalResponse({Refusal::Kind::Overloaded}));
        return;
    }
    m_controlCalls.emplace(number, std::move(responder));
}

auto FrontDuty::handleQueueRequest(HttpRequest request, HttpResponder responder) -> void
{
    const auto now = BootClock::now();
    if (!m_configuration) {
        responder.answer(refusalResponse({Refusal::Kind::NotFresh}));
        return;
    }
    auto admitted = admitRequest(*m_configuration, std::move(request));
    if (!admitted) {
        m_process.metrics.count("shallotproxy_refused_total",
                                fmt::format("reason=\"{}\"", admitted.error().name()));
        responder.answer(refusalResponse(admitted.error()));
        return;
    }
    const auto &queue = *admitted->queue;
    const auto number = ++m_lastNumber;
    auto open = OpenRequest();
    open.responder = std::move(responder);
    open.forwarded = std::move(admitted->forwarded);
    open.queue = queue.name;
    open.pool = queue.pool;
    open.team = admitted->team;
    open.id = fmt::format("{:x}-{}", m_process.self.number, number);
    open.arrived = now;
    open.deadline = now + std::chrono::milliseconds(queue.deadlineMilliseconds);
    open.forwarded.headers.push_back({"Shallotproxy-Request", open.id});
    m_process.timeline.record("request.arrive", open.id, m_configuration->version,
                              {{"queue", queue.name.value()}, {"team", open.team.value()}});
    const auto arrival = RequestArrived{number, queue.name, open.team, open.deadline};
    m_open.emplace(number, std::move(open));
    dispatch(arrival);
}

auto FrontDuty::drainUpdates() -> void
{
    m_links.controlToFront.drain([this](FrontUpdate update) { apply(std::move(update)); });
}

auto FrontDuty::apply(FrontUpdate update) -> void
{
    if (auto *reply = std::get_if<ControlReply>(&update)) {
        const auto it = m_controlCalls.find(reply->number);
        if (it == m_controlCalls.end())
            return;
        it->second.answer(reply->response);
        m_controlCalls.erase(it);
        return;
    }
    if (const auto *change = std::get_if<ConfigurationChanged>(&update)) {
        m_configuration = change->configuration;
        m_process.timeline.record("configuration.serve", "front", m_configuration->version);
    }
    if (const auto *change = std::get_if<UnitsUpdate>(&update)) {
        m_unitsMark = change->mark;
        dispatch(change->units);
    }
    if (const auto *change = std::get_if<FreshnessChanged>(&update))
        m_freshUntil = change->freshUntil;
    std::visit(
        [this](const auto &it) {
            if constexpr (std::is_constructible_v<DispatchEvent, decltype(it)>)
                dispatch(it);
        },
        update);
}

auto FrontDuty::tick() -> void
{
    dropVanishedCallers();
    dispatch(DispatchTick());
    // A full ring loses nothing: the next report replaces this one.
    [[maybe_unused]] const auto isSent =
        m_links.frontToControl.push(LoadReport{m_dispatcher.loads(), m_unitsMark, m_usage});
}

auto FrontDuty::dropVanishedCallers() -> void
{
    auto vanished = std::vector<RequestNumber>();
    for (const auto &[number, open] : m_open) {
        if (open.host.isEmpty() && !open.responder.isConnected())
            vanished.push_back(number);
    }
    for (const auto number : vanished) {
        m_process.timeline.record("request.drop", m_open.at(number).id, m_configuration->version);
        m_open.erase(number);
        dispatch(CallerGone{number});
    }
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
    open.host = action.host;
    open.started = BootClock::now();
    const auto &host = m_configuration->hosts.at(action.host);
    m_process.timeline.record("request.start", open.id, m_configuration->version,
                              {{"host", host.name.value()},
                               {"dataCentre", host.dataCentre.value()},
                               {"pool", open.pool.value()},
                               {"team", open.team.value()}});
    m_process.metrics.sample(
        "shallotproxy_queue_seconds", fmt::format("pool=\"{}\"", open.pool.value()),
        std::chrono::duration<double>(BootClock::now() - open.arrived).count());
    m_targets.send(
        host, open.forwarded, millisecondsUntil(open.deadline),
        [this, number = action.number](const TargetReply &reply) { finish(number, reply); });
}

auto FrontDuty::perform(const RefuseRequest &action) -> void
{
    const auto it = m_open.find(action.number);
    if (it == m_open.end())
        return;
    m_process.metrics.count("shallotproxy_refused_total",
                            fmt::format("reason=\"{}\"", action.refusal.name()));
    answer(it->second, refusalResponse(action.refusal), "not-run");
    m_open.erase(it);
}

auto FrontDuty::finish(RequestNumber number, const TargetReply &reply) -> void
{
    const auto it = m_open.find(number);
    if (it == m_open.end())
        return;
    auto &open = it->second;
    if (!reply && reply.error().isNotRun()) {
        m_process.timeline.record("request.not-sent", open.id, m_configuration->version,
                                  {{"host", open.host.value()}});
        open.host = HostName();
        dispatch(RequestNotSent{number});
        return;
    }
    m_usage[open.team].add(BootClock::now() - open.started);
    m_process.metrics.sample(
        "shallotproxy_request_seconds", fmt::format("pool=\"{}\"", open.pool.value()),
        std::chrono::duration<double>(BootClock::now() - open.arrived).count());
    if (reply) {
        auto response = *reply;
        dropReservedHeaders(response);
        answer(open, std::move(response), "answered");
    } else {
        const auto &ec = reply.error();
        FrontLog.warning("request {} unknown: {}", open.id, ec.name());
        answer(open, jsonResponse(BadGateway, errorBody(ec.number(), ec.name(), "unknown")),
               "unknown");
    }
    m_open.erase(it);
    dispatch(RequestFinished{number, !reply});
}

auto FrontDuty::answer(OpenRequest &open, HttpResponse response, std::string_view outcome) -> void
{
    m_process.timeline.record("request.end", open.id, m_configuration->version,
                              {{"outcome", std::string(outcome)},
                               {"team", open.team.value()},
                               {"status", fmt::format("{}", response.status)}});
    m_process.metrics.count("shallotproxy_requests_total",
                            fmt::format(R"(team="{}",outcome="{}")", open.team.value(), outcome));
    response.headers.push_back({"Shallotproxy-Outcome", std::string(outcome)});
    response.headers.push_back({"Shallotproxy-Request", open.id});
    open.responder.answer(response);
}

} // namespace shallotproxy
