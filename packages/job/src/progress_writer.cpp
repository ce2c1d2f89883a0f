#include <algorithm>

#include "shallotproxy/job/progress_writer.hpp"

namespace shallotproxy {

auto ProgressWriter::loaded(const std::string &job, std::uint64_t revision) -> void
{
    m_revisions[job] = revision;
}

auto ProgressWriter::changed(const std::string &job, WriteUrgency urgency, BootTime now) -> void
{
    if (const auto it = m_loneFailures.find(job);
        it != m_loneFailures.end() && it->second >= MaxLoneFailures) {
        m_setAside.try_emplace(job, now + SetAsideDelay);
        return;
    }
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
    if (!m_inFlight.empty())
        return std::nullopt;
    auto due = queuesDueAt();
    if (const auto it = firstSetAside(); it != m_setAside.end())
        due = std::min(due.value_or(it->second), it->second);
    return due ? std::optional(std::max(*due, m_retryAt)) : std::nullopt;
}

auto ProgressWriter::queuesDueAt() const -> std::optional<BootTime>
{
    if (m_queue.empty() && m_firstQueue.empty())
        return std::nullopt;
    return (m_firstQueue.empty() ? m_queue : m_firstQueue).begin()->first;
}

auto ProgressWriter::firstSetAside() const -> SetAside::const_iterator
{
    return std::ranges::min_element(m_setAside, {}, &SetAside::value_type::second);
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
    const auto queuesDue = queuesDueAt();
    const auto areQueuesDue = queuesDue && *queuesDue <= now;
    const auto setAside = firstSetAside();
    // In turn with the other records, so that neither waits for the other.
    const auto takesSetAside =
        setAside != m_setAside.end() && setAside->second <= now && !(areQueuesDue && m_wasSetAside);
    m_wasSetAside = takesSetAside;
    if (takesSetAside) {
        const auto job = setAside->first;
        m_setAside.erase(setAside);
        m_inFlightDue[job] = {now};
        take(job, source);
    } else {
        // The write takes the jobs that are due first, then others that wait: it costs the same.
        while (!m_due.empty() && m_inFlight.size() < m_jobsPerWrite)
            take(takeNext(), source);
    }
    if (m_inFlight.empty())
        return std::nullopt;
    return m_inFlight;
}

/// Adds the record of the job to the write in flight, unless the job is unknown.
auto ProgressWriter::take(const std::string &job, const RecordSource &source) -> void
{
    auto entry = source(job);
    if (!entry)
        return;
    const auto revision = m_revisions.find(job);
    entry->revision = revision == m_revisions.end() ? 0 : revision->second;
    m_inFlight.push_back(std::move(*entry));
}

auto ProgressWriter::stored(std::uint64_t revision) -> Batch
{
    for (const auto &it : m_inFlight) {
        m_revisions[it.job] = revision;
        m_loneFailures.erase(it.job);
    }
    m_jobsPerWrite = std::min(2 * m_jobsPerWrite, MaxJobsPerWrite);
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
    m_jobsPerWrite = std::max(m_inFlight.size() / 2, std::size_t{1});
    const auto isAlone = m_inFlight.size() == 1;
    if (isAlone && ++m_loneFailures[m_inFlight.front().job] >= MaxLoneFailures) {
        const auto job = std::exchange(m_inFlight, {}).front().job;
        if (const auto it = m_due.find(job); it != m_due.end()) {
            (it->second.goesFirst ? m_firstQueue : m_queue).erase({it->second.at, job});
            m_due.erase(it);
        }
        m_setAside[job] = now + SetAsideDelay;
        m_retryAt = now + RetryDelay;
        return;
    }
    reschedule(now + RetryDelay);
}

auto ProgressWriter::reschedule(BootTime retryAt) -> void
{
    m_retryAt = retryAt;
    for (const auto &it : std::exchange(m_inFlight, {}))
        schedule(it.job, m_inFlightDue.at(it.job));
}

} // namespace shallotproxy
