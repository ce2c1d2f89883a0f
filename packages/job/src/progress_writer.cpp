#include "shallotproxy/job/progress_writer.hpp"

namespace shallotproxy {

auto ProgressWriter::loaded(const std::string &job, std::uint64_t revision) -> void
{
    m_revisions[job] = revision;
}

auto ProgressWriter::changed(const std::string &job, WriteUrgency urgency, BootTime now) -> void
{
    switch (urgency) {
    case WriteUrgency::Relaxed:
        schedule(job, now + RelaxedDelay);
        return;
    case WriteUrgency::Urgent:
        schedule(job, now + UrgentDelay);
        return;
    case WriteUrgency::First:
        schedule(job, now, true);
    }
}

/// Makes the job due at `at`, or leaves it due earlier. One that goes first keeps its place.
auto ProgressWriter::schedule(const std::string &job, BootTime at, bool goesFirst) -> void
{
    const auto [it, isNew] = m_due.try_emplace(job, Due{at, goesFirst});
    auto &due = it->second;
    if (!isNew) {
        if (due.goesFirst || (!goesFirst && due.at <= at))
            return;
        m_queue.erase({due.at, job});
        due = {at, goesFirst};
    }
    (goesFirst ? m_firstQueue : m_queue).emplace(at, job);
}

auto ProgressWriter::dueAt() const -> std::optional<BootTime>
{
    if (!m_inFlight.empty() || (m_queue.empty() && m_firstQueue.empty()))
        return std::nullopt;
    return m_firstQueue.empty() ? m_queue.begin()->first : m_firstQueue.begin()->first;
}

/// Removes the job that is written next from its queue and returns it.
auto ProgressWriter::takeNext() -> std::string
{
    const auto goesFirst =
        !m_firstQueue.empty() && (m_queue.empty() || m_inFlight.size() < MaxFirstJobsPerWrite);
    auto &queue = goesFirst ? m_firstQueue : m_queue;
    auto job = std::move(queue.extract(queue.begin()).value().second);
    m_due.erase(job);
    return job;
}

auto ProgressWriter::next(BootTime now, const RecordSource &source) -> std::optional<Batch>
{
    const auto due = dueAt();
    if (!due || now < *due)
        return std::nullopt;
    // The write takes the jobs that are due first, then others that wait: it costs the same.
    while (!m_due.empty() && m_inFlight.size() < MaxJobsPerWrite) {
        const auto job = takeNext();
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
    for (const auto &it : std::exchange(m_inFlight, {}))
        schedule(it.job, now);
}

} // namespace shallotproxy
