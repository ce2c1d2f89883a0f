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
    auto due = std::optional<BootTime>();
    if (!m_queue.empty() || !m_firstQueue.empty()) {
        const auto &queue = m_firstQueue.empty() ? m_queue : m_firstQueue;
        due = std::max(queue.begin()->first, m_retryAt);
    }
    for (const auto &[job, at] : m_setAside)
        due = std::min(due.value_or(at), at);
    return due;
}

auto ProgressWriter::dueSetAside(BootTime now) const -> std::optional<std::string>
{
    const auto it =
        std::ranges::find_if(m_setAside, [now](const auto &entry) { return entry.second <= now; });
    return it == m_setAside.end() ? std::nullopt : std::optional(it->first);
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
    if (const auto job = dueSetAside(now)) {
        m_setAside.erase(*job);
        m_inFlightDue[*job] = {now};
        take(*job, source);
    }
    // The write takes the jobs that are due first, then others that wait: it costs the same.
    if (m_inFlight.empty()) {
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
