#include <algorithm>

#include "shallotproxy/job/progress_writer.hpp"

namespace shallotproxy {

auto ProgressWriter::loaded(const std::string &job, std::uint64_t revision) -> void
{
    m_revisions[job] = revision;
}

auto ProgressWriter::changed(const std::string &job, bool isUrgent, BootTime now) -> void
{
    const auto due = now + (isUrgent ? UrgentDelay : RelaxedDelay);
    const auto [it, isNew] = m_due.try_emplace(job, due);
    if (!isNew)
        it->second = std::min(it->second, due);
}

auto ProgressWriter::dueAt() const -> std::optional<BootTime>
{
    if (m_due.empty() || !m_inFlight.empty())
        return std::nullopt;
    return std::ranges::min_element(m_due, {}, [](const auto &it) { return it.second; })->second;
}

auto ProgressWriter::next(BootTime now, const RecordSource &source) -> std::optional<Batch>
{
    const auto due = dueAt();
    if (!due || now < *due)
        return std::nullopt;
    // The write takes the jobs that are due first, then others that wait: it costs the same.
    auto waiting = std::vector<std::pair<BootTime, std::string>>();
    for (const auto &[job, at] : m_due)
        waiting.emplace_back(at, job);
    std::ranges::sort(waiting);
    for (const auto &[at, job] : waiting) {
        if (m_inFlight.size() >= MaxJobsPerWrite)
            break;
        m_due.erase(job);
        auto entry = source(job);
        if (!entry)
            continue;
        const auto revision = m_revisions.find(job);
        entry->revision = revision == m_revisions.end() ? 0 : revision->second;
        m_inFlight.push_back(std::move(*entry));
    }
    if (m_inFlight.empty())
        return std::nullopt;
    return m_inFlight;
}

auto ProgressWriter::stored(std::uint64_t revision) -> Batch
{
    for (const auto &it : m_inFlight)
        m_revisions[it.job] = revision;
    return std::exchange(m_inFlight, {});
}

auto ProgressWriter::conflicted(const std::map<std::string, std::uint64_t> &revisions, BootTime now)
    -> void
{
    for (const auto &[job, revision] : revisions)
        m_revisions[job] = revision;
    reschedule(now);
}

auto ProgressWriter::failed(BootTime now) -> void
{
    reschedule(now + RetryDelay);
}

auto ProgressWriter::reschedule(BootTime now) -> void
{
    for (const auto &it : std::exchange(m_inFlight, {})) {
        const auto [entry, isNew] = m_due.try_emplace(it.job, now);
        if (!isNew)
            entry->second = std::min(entry->second, now);
    }
}

} // namespace shallotproxy
