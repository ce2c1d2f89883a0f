#pragma once

#include <QObject>

#include "job_creation.hpp"
#include "runtime_context.hpp"
#include "steward_duty.hpp"
#include "submission.hpp"

namespace shallotproxy {

/// Serves callers: writes the jobs that they submit to the store, and reports the jobs' states.
class CallerDuty : public QObject
{
public:
    CallerDuty(RuntimeContext &context, StewardDuty &steward, QObject *parent);
    ~CallerDuty() override;

    auto listen() -> Expected<void, ListenError>;
    /// Fails the readiness check. Calls are still answered; connections close after the response.
    auto drain() -> void;
    [[nodiscard]] auto openCalls() const -> std::size_t { return m_openCalls; }

private:
    struct Call;
    using CallPointer = std::shared_ptr<Call>;

    auto receive(HttpRequest request, HttpResponder responder) -> void;
    auto submit(const CallPointer &call) -> void;
    auto performSubmissionAction(const CallPointer &call, SubmissionAction action) -> void;
    auto writeJob(const CallPointer &call) -> void;
    auto relayJob(const CallPointer &call) -> void;
    auto submissionAttempted(const CallPointer &call, WriteOutcome outcome) -> void;
    [[nodiscard]] auto submissionView(const Call &call) const -> SubmissionView;
    [[nodiscard]] auto hasPeerSteward() const -> bool;
    /// Stores a job for a member that can't reach the store.
    auto receiveRelayedSubmission(const HttpRequest &request, HttpResponder responder) -> void;
    auto readJob(const CallPointer &call) -> void;
    /// Answers the call from the peer that is the steward; calls `fallback` if that isn't possible.
    auto querySteward(const CallPointer &call, std::function<void()> fallback) -> void;
    /// Reads a record and calls `function` with it, or with null if it is absent. Refuses the call
    /// if the read fails.
    auto readRecord(const CallPointer &call, const std::string &key,
                    std::function<void(const VersionedRecord *)> function) -> void;
    auto readStoredJob(const CallPointer &call) -> void;
    auto cancelJob(const CallPointer &call) -> void;
    auto writeCancellation(const CallPointer &call, const VersionedRecord &job) -> void;
    auto cancelUnstoredJob(const CallPointer &call) -> void;
    auto cancelByProgress(const CallPointer &call, const VersionedRecord &progress) -> void;
    auto cancelAgain(const CallPointer &call, std::string_view reason) -> void;
    auto markCancelled(const CallPointer &call) -> void;
    auto countPending(const CallPointer &call) -> void;
    auto answerJobState(const CallPointer &call, const JobView &view) -> void;
    auto answer(const CallPointer &call, HttpResponse response, std::string_view reason) -> void;
    /// Most outages and changes of the steward are over after the default time.
    auto refuse(const CallPointer &call, unsigned status, std::string_view reason,
                std::chrono::seconds retryAfter = std::chrono::seconds(1)) -> void;
    [[nodiscard]] auto decideAdmission(const Call &call, const JobSpec &spec)
        -> std::optional<AdmissionRefusal>;
    auto refuseUnlessStored(const CallPointer &call, const AdmissionRefusal &refusal) -> void;
    auto refuseForLoad(const CallPointer &call, const AdmissionRefusal &refusal) -> void;
    [[nodiscard]] auto teamLimit(const TeamName &team) const -> Resources;
    auto beginSubmission(const CallPointer &call) -> void;
    /// Answers other members' requests about the jobs of this member's steward.
    auto receivePeerRequest(const HttpRequest &request, HttpResponder responder) -> void;
    [[nodiscard]] auto isReady() const -> bool;

    RuntimeContext &m_context;
    StewardDuty &m_steward;
    HttpClient m_peerClient;
    CancellationMarkers m_markers;
    std::unique_ptr<HttpServer> m_callerServer;
    std::unique_ptr<HttpServer> m_readinessServer;
    std::unique_ptr<HttpServer> m_peerServer;
    std::unique_ptr<HttpServer> m_metricsServer;
    std::size_t m_openCalls = 0;
    std::size_t m_openSubmissions = 0;
    bool m_isDraining = false;
};

} // namespace shallotproxy
