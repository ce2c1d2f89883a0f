#include "control_context.hpp"

namespace shallotproxy {

namespace {

constexpr auto ControlLog = Log("control");

} // namespace

ControlContext::ControlContext(ProcessContext &processContext, Links &links)
    : process(processContext)
    , m_links(links)
{ }

auto ControlContext::store(StoreCall call, StoreCallback callback) -> void
{
    const auto number = ++m_lastCallNumber;
    if (!m_links.controlToStore.push({number, std::move(call)})) {
        callback(tl::unexpected(
            StoreError{StoreError::Kind::Unreachable, "ring of store calls is full"}));
        return;
    }
    m_pendingStoreCalls.emplace(number, std::move(callback));
}

auto ControlContext::handle(StoreResult result) -> void
{
    auto node = m_pendingStoreCalls.extract(result.number);
    if (!node.empty())
        node.mapped()(std::move(result.reply));
}

auto ControlContext::platform(PlatformCall call, PlatformCallback callback) -> void
{
    const auto number = ++m_lastCallNumber;
    if (!m_links.controlToPlatform.push({number, std::move(call)})) {
        callback(tl::unexpected(
            PlatformError{PlatformError::Kind::Unreachable, "ring of platform calls is full"}));
        return;
    }
    m_pendingPlatformCalls.emplace(number, std::move(callback));
}

auto ControlContext::handle(PlatformResult result) -> void
{
    auto node = m_pendingPlatformCalls.extract(result.number);
    if (!node.empty())
        node.mapped()(std::move(result.reply));
}

auto ControlContext::key(std::string_view suffix) const -> std::string
{
    return process.settings.storePrefix + std::string(suffix);
}

auto ControlContext::send(const MemberName &to, PeerMessage message) -> void
{
    auto envelope = PeerEnvelope{process.self, process.timeline.lastSequence(), std::move(message)};
    if (!m_links.controlToPeers.push(PeerSend{to, std::move(envelope)}))
        process.metrics.count("shallotproxy_peer_frames_dropped_total");
}

auto ControlContext::broadcast(const PeerMessage &message) -> void
{
    for (const auto &[name, member] : members) {
        if (name != process.self.member)
            send(name, message);
    }
}

auto ControlContext::updateFront(FrontUpdate update) -> void
{
    if (!m_links.controlToFront.push(std::move(update)))
        ControlLog.error("ring from control to front is full, dropped an update");
}

auto ControlContext::setRoster() -> void
{
    auto roster = PeerRoster();
    for (const auto &[name, member] : members) {
        if (name != process.self.member)
            roster.peers.push_back({name, member.peersEndpoint});
    }
    if (!m_links.controlToPeers.push(std::move(roster)))
        ControlLog.error("ring from control to peers is full, dropped the roster");
}

auto ControlContext::reply(const ControlCall &call, HttpResponse response) -> void
{
    auto reply = ControlReply{call.source, call.number, std::move(response)};
    if (call.source == CallSource::Callers) {
        updateFront(std::move(reply));
    } else if (!m_links.controlToOperators.push(std::move(reply))) {
        ControlLog.error("ring from control to operators is full, dropped the reply to call {}",
                         call.number);
    }
}

auto ControlContext::record(std::string_view kind, std::string_view subject,
                            std::vector<TimelineAttribute> attributes) -> std::uint64_t
{
    return process.timeline.record(kind, subject, version(), std::move(attributes), m_causeSource,
                                   m_causeSequence);
}

auto ControlContext::setCause(const PeerEnvelope &envelope) -> void
{
    m_causeSource = envelope.from;
    m_causeSequence = envelope.sequence;
}

auto ControlContext::clearCause() -> void
{
    m_causeSource = {};
    m_causeSequence = 0;
}

auto ControlContext::version() const -> ConfigurationVersion
{
    return configuration ? configuration->version : 0;
}

auto ControlContext::isFresh() const -> bool
{
    return configuration && BootClock::now() < freshUntil;
}

} // namespace shallotproxy
