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

/// The way of every caller's request on this host: gate, limits, quarantine, claim, run, settlement and bill.
///
/// A request that is turned away on this way was not run, and its answer says so.
class CallCoordinator
{
public:
    struct InvalidOptions
    {
        std::string field;
    };

    [[nodiscard]] static Result<CallCoordinator, InvalidOptions> create(const NodeOptions &options, TimePoint now);

    /// A request for a model's answer or to a plain service, on a host that is ready.
    void accept(const CallerRequest &request, LedgerCoordinator &ledger, NodeContext &context);

    void stepReturned(const StepReturned &event, LedgerCoordinator &ledger, NodeContext &context);
    void streamStatusReturned(const StreamStatusReturned &event, LedgerCoordinator &ledger, NodeContext &context);
    void targetReturned(const TargetCallReturned &event, LedgerCoordinator &ledger, NodeContext &context);
    /// A poll has told whether the target lives; `died` if its process is gone.
    void targetDiagnosed(const TargetId &target, LedgerCoordinator &ledger, NodeContext &context);
    void targetFailed(const TargetFailure &died, LedgerCoordinator &ledger, NodeContext &context);
    void callerDisconnected(RequestId request, LedgerCoordinator &ledger, NodeContext &context);
    void tick(LedgerCoordinator &ledger, NodeContext &context);

    /// The ledger has verdicts.
    void handleClaimDecisions(LedgerCoordinator &ledger, NodeContext &context);
    void limitsReceived(const HostId &from, const nlohmann::json &body, NodeContext &context);
    void quarantineReceived(const nlohmann::json &body, LedgerCoordinator &ledger, NodeContext &context);
    void quarantineReply(const KeyValueReply &reply, LedgerCoordinator &ledger, NodeContext &context);
    /// Sends the complete answers whose bills are safe by now; after each event.
    void sendBilledResponses(const LedgerCoordinator &ledger, NodeContext &context);
    void catalogueChanged(NodeContext &context);
    void membersChanged(NodeContext &context);

    [[nodiscard]] std::size_t inProgress() const;
    /// Requests that are held back, for operators.
    [[nodiscard]] nlohmann::json suspects() const;
    /// Frees a request; false when none of that name is held back.
    [[nodiscard]] bool liftSuspect(const std::string &fingerprint, LedgerCoordinator &ledger, NodeContext &context);

private:
    /// A call that waits for its claim.
    struct CallAwaitingClaim
    {
        AcceptedCall call;
        bool isolated = false;
    };

    CallCoordinator(const NodeOptions &options, SharedLimits limits, Quarantine quarantine);

    /// Lets the call wait for its turn by class, deadline, limits and fairness.
    void enqueue(AcceptedCall call, LedgerCoordinator &ledger, NodeContext &context);
    void dispatchAdmission(const AdmissionEvent &event, LedgerCoordinator &ledger, NodeContext &context);
    void refuse(const RefuseJob &refusal, NodeContext &context);
    /// The call does not run, or has ended, having used so many tokens.
    void finishAdmission(const JobId &job, TokenCount used, LedgerCoordinator &ledger, NodeContext &context);
    void checkQuarantine(AcceptedCall call, LedgerCoordinator &ledger, NodeContext &context);
    void claim(AcceptedCall call, bool isolated, LedgerCoordinator &ledger, NodeContext &context);
    void run(AcceptedCall call, bool isolated, NodeContext &context);
    void claimDecided(const CallDecided &decision, LedgerCoordinator &ledger, NodeContext &context);
    void reject(const AcceptedCall &call, const Problem &problem, LedgerCoordinator &ledger, NodeContext &context);
    void evaluateHeldJobs(NodeContext &context);
    void evaluate(const HeldJob &held, NodeContext &context);
    /// Begins a granted run alone once its target has nothing else to do.
    void startIsolatedRunWhenIdle(const HeldJob &held, NodeContext &context);
    /// Keeps other work off targets that are reserved for a run alone.
    void reserveTargets(NodeContext &context);
    void isolatedRunDecided(const TrialDecided &decision);
    void dispatchQuarantine(const QuarantineEvent &event, NodeContext &context);
    void dispatchLimits(const SharedLimitsEvent &event, NodeContext &context);
    /// Settles everything that ended while the present event was handled.
    void finishEndedJobs(LedgerCoordinator &ledger, NodeContext &context);
    void finish(ModelJobEnded &ended, LedgerCoordinator &ledger, NodeContext &context);
    void finish(const ServiceJobEnded &ended, LedgerCoordinator &ledger, NodeContext &context);
    [[nodiscard]] JobId nextJobId();

    NodeOptions m_options;
    SharedLimits m_limits;
    AdmissionQueue m_admission;
    /// Calls that wait for their turn.
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
