#pragma once

#include "forwarding/CrashObserver.h"
#include "forwarding/FleetRetryBudget.h"
#include "forwarding/ForwardCall.h"
#include "forwarding/ForwardMessages.h"
#include "forwarding/ForwardTargets.h"
#include "forwarding/PromptBacklog.h"
#include "forwarding/ResponseBuffers.h"
#include "forwarding/RetryLoans.h"
#include "forwarding/RouteExplanation.h"
#include "forwarding/RouteTable.h"
#include "forwarding/StartQueue.h"
#include "forwarding/TargetLinks.h"
#include "forwarding/TargetLiveness.h"
#include "forwarding/TargetObservations.h"
#include "forwarding/TargetPace.h"
#include "forwarding/TargetRequestLimits.h"
#include "quarantine/CrashAttribution.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

namespace Carawaymill {

struct ForwarderOptions
{
    ForwardTargetsOptions targets;
    FleetRetryBudgetOptions retries;
    StartQueueOptions queue;
    CrashAttributionOptions attribution;
    TargetRequestLimitsOptions limits;
    TargetReachOptions reach;
    TargetLivenessOptions liveness;
    TargetPaceOptions pace;
    PromptBacklogOptions prompts;
    ResponseBuffersOptions buffers;
    /// A request may have crashed its target only within this time after its answer began; one that is still written
    /// then is sound.
    Duration justBegunPeriod = 400ms;
    /// Upper bound of the Retry-After that is sent with `ForwardFailure::Condemned`.
    Duration condemnedRetryAfter = 30s;
    /// A stream without an event for this multiple of its objective, at least for `minimumStallTimeout`, is treated as
    /// stalled: its first target is queried for the progress.
    double stallTimeoutPerObjective = 2;
    Duration minimumStallTimeout = 350ms;
    /// Timeout of the progress query.
    Duration progressQueryTimeout = 300ms;
    /// Maximum number of dispatches of one request, including those that targets reject.
    std::uint32_t maximumDispatches = 4;
    /// Suspicion period of a target that failed; ends early if the target registers as a new process. The directory
    /// drops an unresponsive target after about this time.
    Duration suspicionPeriod = 4s;
    /// Grace period after the start, in which requests wait for the configuration and the directory to be read. That
    /// takes some round trips to the service; callers abandon a request that is not read within a second.
    Duration startGracePeriod = 500ms;
    /// Upper bound of the Retry-After that is sent unless the host drains.
    Duration retryAfter = 500ms;
    /// Upper bound of the Retry-After that is sent while the host drains, since another host can serve a retry at once.
    Duration retryElsewhereAfter = 50ms;
};

using ForwarderEvent = std::variant<Tick,
                                    ForwardRequested,
                                    ForwardCallerDisconnected,
                                    DrainTimeoutReached,
                                    TargetResponseStarted,
                                    TargetResponseData,
                                    TargetResponseCompleted,
                                    TargetResponseFailed,
                                    ProgressReported,
                                    AttributionMessageReceived,
                                    CondemnedTraitsRestored,
                                    FleetChanged,
                                    ShareMessageReceived,
                                    TargetProbed,
                                    RetryLoanMessageReceived,
                                    TargetObservationReceived,
                                    RelayRequested,
                                    RelayedResponseStarted,
                                    RelayedRequestNotSent>;

/// Action: a log line about a decision on a request.
struct ForwardLogLine
{
    std::string line;
};

/// Action, for the metrics: a request ended with this outcome, this long after it was received.
struct ForwardEnded
{
    std::string outcome;
    Duration took{};
};

using ForwarderAction = std::variant<ForwardToTarget,
                                     AbandonAttempt,
                                     QueryProgress,
                                     ProbeTarget,
                                     PassOnRequest,
                                     RefuseRelay,
                                     RefuseCaller,
                                     Respond,
                                     BeginStream,
                                     WriteStream,
                                     EndStream,
                                     AbortStream,
                                     BroadcastAttributionMessage,
                                     CrashRecorded,
                                     TraitCondemned,
                                     TraitLifted,
                                     SendShareMessage,
                                     SendRetryLoanMessage,
                                     BroadcastTargetObservation,
                                     ForwardLogLine,
                                     ForwardEnded>;

/// Adds actions, or log lines, to the actions of an event.
template<typename Entry>
void append(std::vector<Entry> entries, std::vector<ForwarderAction> &actions)
{
    for (Entry &entry : entries) {
        if constexpr (std::is_same_v<Entry, std::string>) {
            actions.emplace_back(ForwardLogLine{std::move(entry)});
        } else {
            actions.emplace_back(std::move(entry));
        }
    }
}

/// Numbers of streams since the start of the process.
struct StreamMoveCounts
{
    /// Streams that were sent to other targets because one on their path was silent.
    std::uint64_t moved = 0;
    /// Those of them that went on at their earlier targets.
    std::uint64_t returned = 0;
};

/// Forwards callers' requests to targets and relays the responses.
///
/// A request that may run at most once is retried only if the target states that it did not run it, or if no byte of it
/// was sent. A broken stream resumes at other targets within the same response if its route allows that.
class Forwarder
{
public:
    explicit Forwarder(ForwarderOptions options);

    /// `fresh`: whether the configuration was confirmed recently enough to admit callers by their keys.
    [[nodiscard]] std::vector<ForwarderAction>
    handle(const ForwarderEvent &event, bool fresh, ChainRouter &router, TimePoint now);

    void configurationChanged(const SharedConfiguration &configuration, ChainRouter &router);
    void targetListed(const DirectoryTarget &target, ChainRouter &router);
    void targetUnlisted(const TargetId &target, ChainRouter &router);

    /// Records that the complete directory was read: a target that is not listed does not exist.
    void setDirectoryLoaded() { m_directoryLoaded = true; }

    void setHosts(std::size_t hosts, TimePoint now)
    {
        m_retries.setHosts(hosts, now);
        m_pace.setHosts(hosts);
    }

    /// Replaces the other hosts that can be asked for retry budget.
    void setLenders(std::vector<HostId> others) { m_loans.setHosts(std::move(others)); }

    /// Replaces the other hosts that pass on requests while this one has lost its links to all targets.
    void setRelayHosts(std::vector<RelayHost> hosts) { m_links.setRelayHosts(std::move(hosts)); }

    /// Whether the target is unresponsive for longer than a sound target may be silent, and this host's links to the
    /// targets are not to blame.
    [[nodiscard]] bool isLost(const TargetId &target) const
    {
        return !m_links.reach().isDoubtful(m_now) && m_targets.isLost(target);
    }

    [[nodiscard]] const TargetReach &reach() const { return m_links.reach(); }

    /// Rejects new requests from `time` on, since the host shuts down.
    void rejectNewRequestsFrom(TimePoint time) { m_rejectFrom = time; }

    /// Where a request would be routed now, and why. Changes nothing.
    [[nodiscard]] RouteExplanationResult
    explainRoute(const RouteQuestion &question, bool fresh, const ChainRouter &router, TimePoint now) const
    {
        std::optional<ForwardFailure> refusal;
        if (m_rejectFrom && now >= *m_rejectFrom) {
            refusal = ForwardFailure::Draining;
        } else if (!m_links.hasWay(now)) {
            refusal = ForwardFailure::NoTarget;
        }
        // The limits are counted anew as time passes, which a query must not do to those in use.
        TargetRequestLimits limits = m_limits;
        return Carawaymill::explainRoute(question,
                                         {.table = m_table,
                                          .targets = m_targets,
                                          .router = router,
                                          .queue = m_queue,
                                          .prompts = m_prompts,
                                          .withoutRoom = limits.withoutRoom(now),
                                          .refusal = refusal,
                                          .fresh = fresh},
                                         now);
    }

    [[nodiscard]] std::size_t inProgress() const { return m_calls.size() + m_earlyRequests.size(); }

    [[nodiscard]] const ForwardTargets &targets() const { return m_targets; }

    [[nodiscard]] const FleetRetryBudget &retries() const { return m_retries; }

    [[nodiscard]] const RetryLoans &loans() const { return m_loans; }

    [[nodiscard]] const TargetObservations &observations() const { return m_observations; }

    [[nodiscard]] const PromptBacklog &prompts() const { return m_prompts; }

    [[nodiscard]] const TargetPace &pace() const { return m_pace; }

    [[nodiscard]] const StreamMoveCounts &moves() const { return m_moves; }

    [[nodiscard]] const CrashAttribution &attribution() const { return m_attribution; }

    [[nodiscard]] const TargetRequestLimits &limits() const { return m_limits; }

    [[nodiscard]] const StartQueue &queue() const { return m_queue; }

    [[nodiscard]] const ResponseBuffers &buffers() const { return m_buffers; }

private:
    /// A request that arrived before the configuration and the directory were read.
    struct EarlyRequest
    {
        ForwardRequested event;
        TimePoint receivedAt;
    };

    /// Inputs and resulting actions of one handle() call.
    struct HandlerContext
    {
        ChainRouter &router;
        TimePoint now;
        bool fresh = false;
        std::vector<ForwarderAction> actions;
    };

    void on(const Tick &event, HandlerContext &context);
    void on(const ForwardRequested &event, HandlerContext &context);
    void on(const ForwardCallerDisconnected &event, HandlerContext &context);
    void on(const DrainTimeoutReached &event, HandlerContext &context);
    void on(const TargetResponseStarted &event, HandlerContext &context);
    void on(const TargetResponseData &event, HandlerContext &context);
    void on(const TargetResponseCompleted &event, HandlerContext &context);
    void on(const TargetResponseFailed &event, HandlerContext &context);
    void on(const ProgressReported &event, HandlerContext &context);

    void on(const AttributionMessageReceived &event, HandlerContext &context) { attribute(event, context); }

    void on(const CondemnedTraitsRestored &event, HandlerContext &context) { attribute(event, context); }

    void on(const FleetChanged &event, HandlerContext &context) { dispatchLimits(event, context); }

    void on(const ShareMessageReceived &event, HandlerContext &context) { dispatchLimits(event, context); }

    void on(const TargetObservationReceived &event, HandlerContext &context)
    {
        if (event.observation.cause == ObservationCause::Slow) {
            m_pace.receive(event, context.now);
        } else {
            m_observations.receive(event, m_liveness, m_targets, context.router, context.now);
        }
    }

    void on(const TargetProbed &event, HandlerContext &context);
    void on(const RetryLoanMessageReceived &event, HandlerContext &context);
    void on(const RelayRequested &event, HandlerContext &context);
    void on(const RelayedResponseStarted &event, HandlerContext &context);
    void on(const RelayedRequestNotSent &event, HandlerContext &context);

    /// Accepts the early requests once the configuration and the directory are read or the grace period is over.
    void acceptEarlyRequests(HandlerContext &context);
    /// Whether requests are held back because the configuration and the directory are not read yet.
    [[nodiscard]] bool isStarting(TimePoint now) const;
    void accept(const ForwardRequest &request, RequestId id, TimePoint receivedAt, HandlerContext &context);
    /// The call if `attempt` is its current attempt, otherwise null.
    [[nodiscard]] ForwardCall *currentAttempt(RequestId id, AttemptNumber attempt);
    /// The call if `attempt` is its stalled attempt, otherwise null.
    [[nodiscard]] ForwardCall *stalledAttempt(RequestId id, AttemptNumber attempt);
    /// Sets the call's route, organisation and rank. Returns the reason if the request is refused, otherwise
    /// std::nullopt.
    [[nodiscard]] std::optional<ForwardFailure> admit(ForwardCall &call, const HandlerContext &context) const;
    /// Chooses targets and takes room for the call in the request limit of the first one. Takes none if the call has to
    /// wait for capacity.
    [[nodiscard]] std::optional<ChosenTargets>
    choose(ForwardCall &call, const std::set<TargetId> &excluded, HandlerContext &context);
    void dispatchLimits(const TargetRequestLimitsEvent &event, HandlerContext &context);
    /// Sends the call to a target or queues it; refuses it with `fallbackReason` if no target is available.
    void dispatch(ForwardCall &call, ForwardFailure fallbackReason, HandlerContext &context);
    void sendToTarget(ForwardCall &call, ChosenTargets chosen, HandlerContext &context);
    /// Queues the call until its targets have capacity; refuses it if the queue is too long.
    void enqueue(ForwardCall &call, HandlerContext &context);
    /// Refuses a call that the queue does not keep.
    void refuseQueued(const RefusedRequest &refused, HandlerContext &context);
    /// Dispatches queued calls while targets have capacity, and refuses those that have waited too long.
    void serveQueue(HandlerContext &context);
    /// Like dispatch(), within the limits on repeats.
    void dispatchAgain(ForwardCall &call, ForwardFailure fallbackReason, HandlerContext &context);
    /// Consumes one retry from the budget, and asks other hosts for more if little is left. Returns false if none was
    /// left.
    [[nodiscard]] bool takeRetry(const ServiceId &service, HandlerContext &context);
    /// Goes on with the calls that wait for retry budget, and refuses those that have waited too long.
    void serveLoans(HandlerContext &context);
    /// The same as dispatchAgain() for a call whose last attempt has not reached a target, which takes nothing from the
    /// retry budget.
    void dispatchUnsent(ForwardCall &call, HandlerContext &context);
    /// Ends the current attempt; `abandon` closes its connection.
    void endAttempt(ForwardCall &call, bool abandon, HandlerContext &context);
    /// Ends the stalled attempt if there is one; `abandon` closes its connection.
    void endStalled(ForwardCall &call, bool abandon, HandlerContext &context);
    /// Returns to the stalled attempt and abandons the current one if there is one. Returns false if there is no
    /// stalled attempt.
    bool returnToStalled(ForwardCall &call, HandlerContext &context);
    void stalledStarted(const TargetResponseStarted &event, HandlerContext &context);
    void stalledData(const TargetResponseData &event, HandlerContext &context);
    void stalledCompleted(const TargetResponseCompleted &event, HandlerContext &context);
    void stalledFailed(const TargetResponseFailed &event, HandlerContext &context);
    /// Records that events of a response of these targets arrived.
    void recordEvents(const ChosenTargets &chosen, HandlerContext &context);
    /// Sends complete events to the caller. `events` is not empty.
    void writeEvents(ForwardCall &call, std::string events, HandlerContext &context);
    /// Records what the head of a response states about the target that sent it.
    void recordStatements(const TargetId &target, const TargetResponseStarted &head, HandlerContext &context);
    /// Records that `target` sent `head`, which states that it has not run the request.
    void recordRejection(ForwardCall &call,
                         const TargetId &target,
                         const TargetResponseStarted &head,
                         HandlerContext &context);
    /// Records that no byte of the request could be sent to `target`, from this host or from `via`.
    void recordUnreachable(ForwardCall &call,
                           const TargetId &target,
                           const std::optional<RelayHost> &via,
                           HandlerContext &context);
    /// Tells the other hosts what this one observed of the target, unless its own links may be the cause.
    void tell(const TargetId &target, ObservationCause cause, Duration age, const HandlerContext &context);
    void targetRejected(ForwardCall &call, HandlerContext &context);
    /// Retries or refuses a call whose response was lost, incomplete or unsigned.
    void responseLost(ForwardCall &call, HandlerContext &context);
    void responseCompleted(ForwardCall &call, HandlerContext &context);
    void relayData(const TargetResponseData &event, HandlerContext &context);
    void relayStream(ForwardCall &call, std::string_view bytes, HandlerContext &context);
    /// Gives up the response that the call holds, as if it had been lost.
    void dropResponse(ForwardCall &call, HandlerContext &context);
    void checkStreamProgress(ForwardCall &call, HandlerContext &context);
    /// Moves the streams whose path includes the target, and for which `mustMove` returns true, to other targets that
    /// have capacity.
    void moveStreams(const TargetId &target,
                     const std::function<bool(const ForwardCall &)> &mustMove,
                     HandlerContext &context);
    /// Reads the reports of suspected targets, and sends streams that have not begun at targets that have become slow
    /// to other ones.
    void servePace(HandlerContext &context);
    /// Resumes a stream at other targets while the stalled attempt stays open. Leaves the stream in place if that is
    /// impossible, since the target may recover, and for as long as the other targets have not shown that they work.
    void moveStream(ForwardCall &call, const TargetId &stopped, HandlerContext &context);
    /// Probes the targets unless a probe of them is open.
    void requestSigns(const std::vector<TargetId> &targets, HandlerContext &context);
    /// Tries again to move the streams that waited for other targets to show that they work.
    void moveWaitingStreams(HandlerContext &context);
    /// The targets that a stream can be moved to; std::nullopt if there are none with capacity.
    [[nodiscard]] std::optional<ChosenTargets>
    chooseForMove(ForwardCall &call, const TargetId &stopped, HandlerContext &context);
    void timeOut(ForwardCall &call, HandlerContext &context);
    void attribute(const CrashAttributionEvent &event, HandlerContext &context);
    /// Refuses the call if one of its traits is condemned. Returns whether it did.
    bool refuseCondemned(ForwardCall &call, HandlerContext &context);
    /// Records that the response of an attempt at the target was lost, which may be a crash of the target.
    void recordLoss(const ForwardCall &call,
                    AttemptNumber attempt,
                    const ChosenTargets &chosen,
                    const std::optional<RelayHost> &via,
                    const std::vector<RequestTrait> &traits,
                    HandlerContext &context);
    /// Records the traits as sound if the current attempt has been answered for long enough.
    void recordSurvival(ForwardCall &call, HandlerContext &context);
    void refuse(ForwardCall &call, ForwardFailure reason, HandlerContext &context);
    /// Logs the outcome of the call and removes it.
    void finish(ForwardCall &call, const std::string &outcome, HandlerContext &context);
    [[nodiscard]] Duration retryAfter(const ForwardCall &call, ForwardFailure reason, const HandlerContext &context);

    ForwarderOptions m_options;
    Random m_random;
    ForwardTargets m_targets;
    FleetRetryBudget m_retries;
    RetryLoans m_loans;
    CrashAttribution m_attribution;
    TargetRequestLimits m_limits;
    TargetLinks m_links;
    TargetLiveness m_liveness;
    TargetObservations m_observations;
    TargetPace m_pace;
    PromptBacklog m_prompts;
    ResponseBuffers m_buffers;
    StreamMoveCounts m_moves;
    /// Whether a probe has ended since the streams that wait for one were last looked at.
    bool m_signsChanged = false;
    CrashObserver m_crashObserver;
    std::shared_ptr<const RouteTable> m_table;
    std::map<RequestId, ForwardCall> m_calls;
    StartQueue m_queue;
    std::vector<EarlyRequest> m_earlyRequests;
    /// Time of the last event.
    TimePoint m_now{};
    /// Time of the first event.
    std::optional<TimePoint> m_startedAt;
    bool m_directoryLoaded = false;
    std::optional<TimePoint> m_rejectFrom;
};

} // namespace Carawaymill
