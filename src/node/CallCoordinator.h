#pragma once

#include "admission/AdmissionQueue.h"
#include "admission/SharedLimits.h"
#include "node/AcceptedCall.h"
#include "node/BilledResponseQueue.h"
#include "node/LedgerCoordinator.h"
#include "node/ModelJobs.h"
#include "node/NodeContext.h"
#include "node/NodeOptions.h"
#include "node/ServiceJobs.h"
#include "quarantine/Quarantine.h"

#include <map>
#include <memory>
#include <vector>

namespace Carawaymill {

/// Processes callers' requests on this host: access control, admission, quarantine, claim, run, outcome and bill.
///
/// A request that is rejected before it runs gets a response that says that it was not run.
class CallCoordinator
{
public:
    struct InvalidOptions
    {
        std::string field;
    };

    [[nodiscard]] static Result<CallCoordinator, InvalidOptions> create(const NodeOptions &options, TimePoint now);

    /// Handles a completion request or a call to a plain service. The host must be ready.
    void accept(const CallerRequest &request, LedgerCoordinator &ledger, NodeContext &context);

    void stepReturned(const StepReturned &event, LedgerCoordinator &ledger, NodeContext &context);
    void streamStatusReturned(const StreamStatusReturned &event, LedgerCoordinator &ledger, NodeContext &context);
    void targetReturned(const TargetCallReturned &event, LedgerCoordinator &ledger, NodeContext &context);
    /// A poll has determined whether the target is alive, so that jobs held after losing a stage there can be
    /// evaluated.
    void targetDiagnosed(const TargetId &target, LedgerCoordinator &ledger, NodeContext &context);
    void targetFailed(const TargetFailure &died, LedgerCoordinator &ledger, NodeContext &context);
    void callerDisconnected(RequestId request, LedgerCoordinator &ledger, NodeContext &context);
    void tick(LedgerCoordinator &ledger, NodeContext &context);

    /// Handles the ledger's pending claim decisions.
    void handleClaimDecisions(LedgerCoordinator &ledger, NodeContext &context);
    void limitsReceived(const HostId &from, const nlohmann::json &body, NodeContext &context);
    void quarantineReceived(const nlohmann::json &body, LedgerCoordinator &ledger, NodeContext &context);
    void quarantineReply(const KeyValueReply &reply, LedgerCoordinator &ledger, NodeContext &context);
    /// Sends the completed responses whose bills are safe. Called after each event.
    void sendBilledResponses(const LedgerCoordinator &ledger, NodeContext &context);
    void catalogueChanged(NodeContext &context);
    void membersChanged(NodeContext &context);

    [[nodiscard]] std::size_t inProgress() const;
    /// Requests in quarantine, for operators.
    [[nodiscard]] nlohmann::json suspects() const;
    /// Lifts the quarantine of a request; false when no request of that fingerprint is in quarantine.
    [[nodiscard]] bool liftSuspect(const std::string &fingerprint, LedgerCoordinator &ledger, NodeContext &context);

private:
    /// A call whose idempotency key is being claimed.
    struct CallAwaitingClaim
    {
        AcceptedCall call;
        bool isolated = false;
    };

    CallCoordinator(const NodeOptions &options, SharedLimits limits, Quarantine quarantine);

    /// Adds the call to the admission queue, which orders calls by class, deadline, limits and fairness.
    void enqueue(AcceptedCall call, LedgerCoordinator &ledger, NodeContext &context);
    void dispatchAdmission(const AdmissionEvent &event, LedgerCoordinator &ledger, NodeContext &context);
    void refuse(const RefuseJob &refusal, NodeContext &context);
    /// Reports to admission that the call was rejected or has ended, and how many tokens it used.
    void finishAdmission(const JobId &job, TokenCount used, LedgerCoordinator &ledger, NodeContext &context);
    void checkQuarantine(AcceptedCall call, LedgerCoordinator &ledger, NodeContext &context);
    void claim(AcceptedCall call, bool isolated, LedgerCoordinator &ledger, NodeContext &context);
    void run(AcceptedCall call, bool isolated, NodeContext &context);
    void claimDecided(const CallDecided &decision, LedgerCoordinator &ledger, NodeContext &context);
    void reject(const AcceptedCall &call, const Problem &problem, LedgerCoordinator &ledger, NodeContext &context);
    void evaluateHeldJobs(NodeContext &context);
    void evaluate(const HeldJob &held, NodeContext &context);
    /// Starts a granted isolated run once its target is idle.
    void startIsolatedRunWhenIdle(const HeldJob &held, NodeContext &context);
    /// Marks the targets that are reserved for isolated runs, so that routing avoids them.
    void reserveTargets(NodeContext &context);
    void isolatedRunDecided(const IsolatedRunDecided &decision);
    void dispatchQuarantine(const QuarantineEvent &event, NodeContext &context);
    void dispatchLimits(const SharedLimitsEvent &event, NodeContext &context);
    /// Finishes the jobs that ended while the current event was handled, also those that start and end as a result.
    void finishEndedJobs(LedgerCoordinator &ledger, NodeContext &context);
    void finish(ModelJobEnded &ended, LedgerCoordinator &ledger, NodeContext &context);
    void finish(const ServiceJobEnded &ended, LedgerCoordinator &ledger, NodeContext &context);
    [[nodiscard]] JobId nextJobId();

    NodeOptions m_options;
    SharedLimits m_limits;
    AdmissionQueue m_admission;
    /// Calls in the admission queue.
    std::map<JobId, AcceptedCall> m_awaitingAdmission;
    Quarantine m_quarantine;
    ModelJobs m_modelJobs;
    ServiceJobs m_serviceJobs;
    BilledResponseQueue m_heldResponses;
    std::map<CallId, CallAwaitingClaim> m_awaitingClaim;
    bool m_targetsReserved = false;
    std::uint64_t m_lastJob = 0;
};

} // namespace Carawaymill
