#pragma once

#include "admission/SharedLimits.h"
#include "node/AcceptedCall.h"
#include "node/LedgerDesk.h"
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
class CallDesk
{
public:
    struct InvalidOptions
    {
        std::string field;
    };

    [[nodiscard]] static Result<CallDesk, InvalidOptions> create(const NodeOptions &options, TimePoint now);

    /// A request for a model's answer or to a plain service, on a host that is ready.
    void accept(const CallerRequest &request, LedgerDesk &ledger, NodeContext &context);

    void stepReturned(const StepReturned &event, LedgerDesk &ledger, NodeContext &context);
    void streamStatusReturned(const StreamStatusReturned &event, LedgerDesk &ledger, NodeContext &context);
    void targetReturned(const TargetReturned &event, LedgerDesk &ledger, NodeContext &context);
    /// A poll has told whether the target lives; `died` if its process is gone.
    void targetExamined(const TargetId &target, LedgerDesk &ledger, NodeContext &context);
    void targetDied(const TargetDied &died, LedgerDesk &ledger, NodeContext &context);
    void callerDisconnected(RequestId request, LedgerDesk &ledger, NodeContext &context);
    void tick(LedgerDesk &ledger, NodeContext &context);

    /// The ledger has verdicts.
    void takeVerdicts(LedgerDesk &ledger, NodeContext &context);
    void limitsReceived(const HostId &from, const nlohmann::json &body, NodeContext &context);
    void quarantineReceived(const nlohmann::json &body, LedgerDesk &ledger, NodeContext &context);
    void quarantineReply(const KeyValueReply &reply, LedgerDesk &ledger, NodeContext &context);
    void catalogueChanged(NodeContext &context);
    void membersChanged(NodeContext &context);

    [[nodiscard]] std::size_t inProgress() const;
    /// Requests that are held back, for operators.
    [[nodiscard]] nlohmann::json suspects() const;
    /// Frees a request; false when none of that name is held back.
    [[nodiscard]] bool liftSuspect(const std::string &fingerprint, LedgerDesk &ledger, NodeContext &context);

private:
    /// What an accepted call waits for before it runs.
    enum class Wait {
        Trial,
        Claim,
    };

    struct WaitingCall
    {
        AcceptedCall call;
        Wait wait = Wait::Claim;
        bool runAlone = false;
    };

    CallDesk(const NodeOptions &options, SharedLimits limits, Quarantine quarantine);

    [[nodiscard]] Result<AcceptedCall, Problem> read(const CallerRequest &request, NodeContext &context) const;
    [[nodiscard]] Result<AcceptedCall, Problem>
    readCompletion(const CallerRequest &request, bool chat, NodeContext &context) const;
    [[nodiscard]] Result<AcceptedCall, Problem> readServiceCall(const CallerRequest &request,
                                                                NodeContext &context) const;
    [[nodiscard]] std::optional<Problem> reserve(AcceptedCall &call, NodeContext &context);
    void examine(AcceptedCall call, LedgerDesk &ledger, NodeContext &context);
    void claim(AcceptedCall call, bool runAlone, LedgerDesk &ledger, NodeContext &context);
    void run(AcceptedCall call, bool runAlone, NodeContext &context);
    void decided(const CallDecided &decided, LedgerDesk &ledger, NodeContext &context);
    void turnAway(const AcceptedCall &call, const Problem &problem, NodeContext &context);
    void judgeHeldJobs(LedgerDesk &ledger, NodeContext &context);
    void judge(const HeldJob &held, LedgerDesk &ledger, NodeContext &context);
    void trialDecided(const TrialDecided &decided, LedgerDesk &ledger, NodeContext &context);
    void feedQuarantine(const QuarantineEvent &event, LedgerDesk &ledger, NodeContext &context);
    void feedLimits(const SharedLimitsEvent &event, NodeContext &context);
    /// Settles everything that ended while the present event was handled.
    void settleEnded(LedgerDesk &ledger, NodeContext &context);
    void settle(const ModelJobEnded &ended, LedgerDesk &ledger, NodeContext &context);
    void settle(const ServiceJobEnded &ended, LedgerDesk &ledger, NodeContext &context);
    [[nodiscard]] JobId nextJobId();

    NodeOptions m_options;
    SharedLimits m_limits;
    Quarantine m_quarantine;
    ModelJobs m_modelJobs;
    ServiceJobs m_serviceJobs;
    std::map<CallId, WaitingCall> m_waiting;
    std::uint64_t m_lastJob = 0;
};

} // namespace Carawaymill
