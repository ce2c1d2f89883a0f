#include <algorithm>

#include <fcntl.h>
#include <unistd.h>

#include <QJsonDocument>
#include <QJsonObject>

#include "shallotproxy/process/base/text.hpp"
#include "shallotproxy/process/observe/timeline.hpp"

namespace shallotproxy {

auto timelineJson(const TimelineEvent &event) -> std::string
{
    auto attributes = QJsonObject();
    for (const auto &it : event.attributes)
        attributes.insert(toQString(it.key), toQString(it.value));
    auto object = QJsonObject();
    object.insert(QStringLiteral("member"), toQString(event.source.member.value()));
    object.insert(QStringLiteral("incarnation"), QString::number(event.source.number));
    object.insert(QStringLiteral("sequence"), static_cast<qint64>(event.sequence));
    object.insert(QStringLiteral("bootNs"), static_cast<qint64>(event.bootNanoseconds));
    object.insert(QStringLiteral("wallMs"), static_cast<qint64>(event.wallMilliseconds));
    object.insert(QStringLiteral("kind"), toQString(event.kind));
    object.insert(QStringLiteral("subject"), toQString(event.subject));
    object.insert(QStringLiteral("version"), static_cast<qint64>(event.version));
    object.insert(QStringLiteral("attributes"), attributes);
    if (event.causeSequence != 0) {
        object.insert(QStringLiteral("causeMember"), toQString(event.causeSource.member.value()));
        object.insert(QStringLiteral("causeIncarnation"),
                      QString::number(event.causeSource.number));
        object.insert(QStringLiteral("causeSequence"), static_cast<qint64>(event.causeSequence));
    }
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

Timeline::Timeline(Incarnation source, const std::string &journalFile)
    : m_source(std::move(source))
{
    if (!journalFile.empty())
        m_journal = open(journalFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
}

Timeline::~Timeline()
{
    if (m_journal >= 0)
        close(m_journal);
}

auto Timeline::record(std::string_view kind, std::string_view subject, ConfigurationVersion version,
                      std::vector<TimelineAttribute> attributes, const Incarnation &causeSource,
                      std::uint64_t causeSequence) -> std::uint64_t
{
    const auto lock = std::lock_guard(m_mutex);
    auto event = TimelineEvent();
    event.source = m_source;
    event.sequence = ++m_sequence;
    event.bootNanoseconds = BootClock::now().time_since_epoch().count();
    event.wallMilliseconds = wallMilliseconds();
    event.kind = kind;
    event.subject = subject;
    event.version = version;
    event.attributes = std::move(attributes);
    event.causeSource = causeSource;
    event.causeSequence = causeSequence;
    if (m_journal >= 0) {
        const auto line = timelineJson(event) + '\n';
        [[maybe_unused]] const auto n = write(m_journal, line.data(), line.size());
    }
    m_events.push_back(std::move(event));
    if (m_events.size() > Capacity)
        m_events.pop_front();
    return m_sequence;
}

auto Timeline::lastSequence() const -> std::uint64_t
{
    const auto lock = std::lock_guard(m_mutex);
    return m_sequence;
}

auto Timeline::eventsAfter(std::uint64_t after, std::size_t limit) const
    -> std::vector<TimelineEvent>
{
    const auto lock = std::lock_guard(m_mutex);
    const auto first = std::ranges::find_if(
        m_events, [after](const auto &event) { return event.sequence > after; });
    const auto available = static_cast<std::size_t>(std::distance(first, m_events.end()));
    const auto n = static_cast<std::ptrdiff_t>(std::min(available, limit));
    return {first, first + n};
}

} // namespace shallotproxy
