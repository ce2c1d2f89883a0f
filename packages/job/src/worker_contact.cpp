#include "shallotproxy/job/worker_contact.hpp"

namespace shallotproxy {

namespace {

// A single poll without an answer may have been lost.
constexpr int MinSilentPolls = 2;

} // namespace

auto WorkerContact::isSilent() const -> bool
{
    return m_silentPolls >= MinSilentPolls;
}

auto WorkerContact::loss() const -> ContactLoss
{
    if (m_hasEnded)
        return ContactLoss::Closed;
    return isSilent() ? ContactLoss::Silent : ContactLoss::Unknown;
}

auto WorkerContact::noteLoss(ContactLoss loss, BootTime now) -> void
{
    if (loss == ContactLoss::Unknown)
        return;
    if (!m_lostAt)
        m_lostAt = now;
    if (loss == ContactLoss::Closed && !isSilent())
        m_hasEnded = true;
}

auto WorkerContact::pollFailed(ContactLoss loss, BootTime now) -> void
{
    noteLoss(loss, now);
    if (loss == ContactLoss::Silent && !m_hasEnded)
        ++m_silentPolls;
}

auto WorkerContact::orderFailed(ContactLoss loss, BootTime now) -> void
{
    if (loss == ContactLoss::Closed)
        noteLoss(loss, now);
}

} // namespace shallotproxy
