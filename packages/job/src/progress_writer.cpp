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
        schedule(job, {now + RelaxedDelay});
        return;
    case WriteUrgency::Urgent:
        schedule(job, {now + UrgentDelay});
        return;
    case WriteUrgency::First:
        schedule(job, {now, true});
    }
}

/// Makes the job due, or leaves it due earlier. One that goes first keeps its place.
auto ProgressWriter::schedule(const std::string &job, const Due &due) -> void
{
    const auto [it, isNew] = m_due.try_emplace(job, due);
    auto &present = it->second;
    if (!isNew) {
        const auto goesBefore =
            due.goesFirst == present.goesFirst ? due.at < present.at : due.goesFirst;
        if (!goesBefore)
            return;
        (present.goesFirst ? m_firstQueue : m_queue).erase({present.at, job});
        present = due;
    }
    (due.goesFirst ? m_firstQueue : m_queue).emplace(due.at, job);
}

auto ProgressWriter::dueAt() const -> std::optional<BootTime>
{
    if (!m_inFlight.empty() || (m_queue.empty() && m_firstQueue.empty()))
        return std::nullopt;
    const auto &queue = m_firstQueue.empty() ? m_queue : m_firstQueue;
    return std::max(queue.begin()->first, m_retryAt);
}

/// Removes the job that is written next from its queue and returns it.
auto ProgressWriter::takeNext() -> std::string
{
    const auto goesFirst =
        !m_firstQueue.empty() && (m_queue.empty() || m_inFlight.size() < MaxFirstJobsPerWrite);
    auto &queue = goesFirst ? m_firstQueue : m_queue;
    auto job = std::move(queue.extract(queue.begin()).value().second);
    m_inFlightDue.insert(m_due.extract(job));
    return job;
}

auto ProgressWriter::next(BootTime now, const RecordSource &source) -> std::optional<Batch>
{
    const auto due = dueAt();
    if (!due || now < *due)
        return std::nullopt;
    m_inFlightDue.clear();
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

auto ProgressWriter::reschedule(BootTime retryAt) -> void
{
    m_retryAt = retryAt;
    for (const auto &it : std::exchange(m_inFlight, {}))
        schedule(it.job, m_inFlightDue.at(it.job));
}

} // namespace shallotproxy
