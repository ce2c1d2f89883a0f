#pragma once

#include <QObject>

#include "runtime_context.hpp"
#include "steward_duty.hpp"
#include "submission.hpp"

namespace shallotproxy {

/// Answers callers: takes jobs into the store, and tells what became of them.
class CallerDuty : public QObject
{
public:
    CallerDuty(RuntimeContext &context, StewardDuty &steward, QObject *parent);
    ~CallerDuty() override;

    auto listen() -> Expected<void, ListenError>;
    /// Fails the readiness check; calls are still answered, their connections close after them.
    auto drain() -> void;
    [[nodiscard]] auto openCalls() const -> std::size_t { return m_openCalls; }

private:
    struct Call;
    using CallPointer = std::shared_ptr<Call>;

    auto receive(HttpRequest request, HttpResponder responder) -> void;
    auto submit(const CallPointer &call) -> void;
    auto moveSubmission(const CallPointer &call, SubmissionMove move) -> void;
    auto writeJob(const CallPointer &call) -> void;
    auto relayJob(const CallPointer &call) -> void;
    auto submissionTried(const CallPointer &call, WriteOutcome outcome) -> void;
    [[nodiscard]] auto submissionView(const Call &call) const -> SubmissionView;
    [[nodiscard]] auto hasPeerSteward() const -> bool;
    /// Stores a job for a member that the store doesn't answer.
    auto receiveRelayed(const HttpRequest &request, HttpResponder responder) -> void;
    auto readJob(const CallPointer &call) -> void;
    auto askSteward(const CallPointer &call, std::function<void()> otherwise) -> void;
    /// Hands over a record of the store, or null if it isn't there; refuses the call if the store
    /// doesn't tell.
    auto readRecord(const CallPointer &call, const std::string &key,
                    std::function<void(const VersionedRecord *)> function) -> void;
    auto readStoredJob(const CallPointer &call) -> void;
    auto cancelJob(const CallPointer &call) -> void;
    auto writeCancellation(const CallPointer &call, const VersionedRecord &job) -> void;
    auto cancelEndedJob(const CallPointer &call) -> void;
    auto countPending(const CallPointer &call) -> void;
    auto answerView(const CallPointer &call, const JobView &view) -> void;
    auto answer(const CallPointer &call, HttpResponse response, std::string_view reason) -> void;
    auto refuse(const CallPointer &call, unsigned status, std::string_view reason) -> void;
    /// What members ask each other about their steward's jobs.
    auto receiveInner(const HttpRequest &request, HttpResponder responder) -> void;
    [[nodiscard]] auto isReady() const -> bool;

    RuntimeContext &m_context;
    StewardDuty &m_steward;
    HttpClient m_peers;
    std::unique_ptr<HttpServer> m_callers;
    std::unique_ptr<HttpServer> m_readiness;
    std::unique_ptr<HttpServer> m_inner;
    std::unique_ptr<HttpServer> m_metrics;
    std::size_t m_openCalls = 0;
    std::size_t m_openSubmissions = 0;
    bool m_isDraining = false;
};

} // namespace shallotproxy
