#include "shallotproxy/member/declarations.hpp"

namespace shallotproxy {

auto CallRefusal::name() const -> std::string_view
{
    switch (kind) {
    case Kind::NoConfiguration:
        return "no-configuration-yet";
    case Kind::Stale:
        return "configuration-not-fresh";
    case Kind::NoQueue:
        return "unknown-queue";
    case Kind::UnknownKey:
        break;
    }
    return "unknown-key";
}

auto CallRefusal::status() const -> unsigned
{
    switch (kind) {
    case Kind::NoConfiguration:
    case Kind::Stale:
        return 503;
    case Kind::NoQueue:
        return 404;
    case Kind::UnknownKey:
        break;
    }
    return 401;
}

auto DeclarationCache::update(std::shared_ptr<const FleetDeclaration> declaration) -> bool
{
    if (m_current && declaration->version <= m_current->version)
        return false;
    m_current = std::move(declaration);
    return true;
}

auto DeclarationCache::isFresh(BootTime now) const -> bool
{
    return m_current && now < m_confirmedAt + m_freshnessPeriod;
}

auto DeclarationCache::admit(std::string_view hostName, std::string_view path,
                             std::string_view apiKey, BootTime now) const
    -> Expected<AdmittedCall, CallRefusal>
{
    if (!m_current)
        return tl::unexpected(CallRefusal{CallRefusal::Kind::NoConfiguration});
    const JobQueue *best = nullptr;
    for (const auto &it : m_current->queues) {
        const auto isMatch = it.hostName == hostName && path.starts_with(it.pathPrefix);
        if (isMatch && (best == nullptr || it.pathPrefix.size() > best->pathPrefix.size()))
            best = &it;
    }
    const auto isFresh = this->isFresh(now);
    if (best == nullptr) {
        const auto kind = isFresh ? CallRefusal::Kind::NoQueue : CallRefusal::Kind::Stale;
        return tl::unexpected(CallRefusal{kind});
    }
    auto call = AdmittedCall{best, {}, std::string(path.substr(best->pathPrefix.size()))};
    const auto team = m_current->teamsByApiKey.find(std::string(apiKey));
    if (team != m_current->teamsByApiKey.end())
        call.team = team->second;
    if (best->isPublic && call.team.isEmpty())
        return call;
    if (!isFresh)
        return tl::unexpected(CallRefusal{CallRefusal::Kind::Stale});
    if (call.team.isEmpty())
        return tl::unexpected(CallRefusal{CallRefusal::Kind::UnknownKey});
    return call;
}

} // namespace shallotproxy
