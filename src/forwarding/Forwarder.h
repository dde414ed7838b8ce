#pragma once

#include "forwarding/CrashObserver.h"
#include "forwarding/EventStreamRelay.h"
#include "forwarding/FleetRetryBudget.h"
#include "forwarding/ForwardMessages.h"
#include "forwarding/ForwardTargets.h"
#include "forwarding/RouteTable.h"
#include "forwarding/StartQueue.h"
#include "forwarding/TargetLinks.h"
#include "forwarding/TargetRequestLimits.h"
#include "quarantine/CrashAttribution.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
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
                                    TargetResponseStarted,
                                    TargetResponseData,
                                    TargetResponseCompleted,
                                    TargetResponseFailed,
                                    ProgressReported,
                                    AttributionMessageReceived,
                                    FleetChanged,
                                    ShareMessageReceived,
                                    TargetProbed,
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
                                     SendShareMessage,
                                     ForwardLogLine,
                                     ForwardEnded>;

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

    void setHosts(std::size_t hosts, TimePoint now) { m_retries.setHosts(hosts, now); }

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

    [[nodiscard]] std::size_t inProgress() const { return m_calls.size() + m_earlyRequests.size(); }

    [[nodiscard]] const ForwardTargets &targets() const { return m_targets; }

    [[nodiscard]] const FleetRetryBudget &retries() const { return m_retries; }

    [[nodiscard]] const CrashAttribution &attribution() const { return m_attribution; }

    [[nodiscard]] const TargetRequestLimits &limits() const { return m_limits; }

private:
    /// The attempt that a stream was moved away from. It stays open until another target has begun, since a target that
    /// falls silent may go on.
    struct StalledAttempt
    {
        AttemptNumber attempt;
        ChosenTargets chosen;
        std::optional<RelayHost> via;
        TimePoint sentAt;
        std::optional<TargetResponseStarted> head;
        std::optional<TimePoint> answeredSince;
        EventStreamRelay relay;
    };

    /// One caller's request.
    struct Call
    {
        RequestId id;
        std::shared_ptr<const ForwardRequest> request;
        /// Keeps `route` alive.
        std::shared_ptr<const RouteTable> table;
        const Route *route = nullptr;
        std::optional<OrganisationId> organisation;
        std::vector<RequestTrait> traits;
        ServiceId service;
        TimePoint receivedAt;
        /// When the call began to wait for targets: on arrival, or when its last attempt could not be sent.
        TimePoint waitsSince;
        /// Time by which the caller gets a response, or its stream is broken off.
        TimePoint deadline;
        /// std::nullopt if the caller sets no deadline.
        std::optional<TimePoint> callerDeadline;

        AttemptNumber attempt;
        AttemptNumber lastAttempt;
        /// Targets of the current attempt; std::nullopt between attempts.
        std::optional<ChosenTargets> chosen;
        /// The host that the current attempt goes through, and when it was sent.
        std::optional<RelayHost> via;
        TimePoint sentAt;
        std::optional<StalledAttempt> stalled;
        std::set<TargetId> tried;
        /// The first targets of the attempts that were rejected.
        std::set<TargetId> rejectedBy;
        std::uint32_t dispatches = 0;
        /// Whether a target's request limit has left no room for the call.
        bool wasLimited = false;
        /// Number of attempts that a target may have run.
        std::uint32_t runs = 0;
        /// The first targets of these attempts, and the number of attempts at each.
        std::map<TargetId, std::uint32_t> ranAt;
        /// How the last attempt that has ended did so, for the log.
        const char *lastAttemptEnd = "none";

        std::optional<TargetResponseStarted> head;
        /// When the first bytes of the current attempt's response body were received.
        std::optional<TimePoint> answeredSince;
        /// Whether the current attempt has proven the request's traits sound.
        bool provenSound = false;
        std::string body;
        /// Error response of a target, which is sent to the caller unless another target succeeds.
        std::optional<HttpResponse> targetFailure;

        /// Whether the head of a stream was sent to the caller.
        bool streaming = false;
        EventStreamRelay relay;
        /// Time of the last event of the stream, or of the dispatch.
        TimePoint progressAt;
        std::optional<TimePoint> progressQueriedAt;

        /// Whether the next attempt at this target must not reuse a connection. On a kept one the target may have
        /// closed it or may write an earlier rejection again, which names the same attempt of the caller.
        [[nodiscard]] bool needsFreshConnection(const TargetId &target) const
        {
            return route->repeat == RepeatPolicy::AtMostOnce || rejectedBy.contains(target);
        }
    };

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
    void on(const TargetResponseStarted &event, HandlerContext &context);
    void on(const TargetResponseData &event, HandlerContext &context);
    void on(const TargetResponseCompleted &event, HandlerContext &context);
    void on(const TargetResponseFailed &event, HandlerContext &context);
    void on(const ProgressReported &event, HandlerContext &context);
    void on(const AttributionMessageReceived &event, HandlerContext &context);
    void on(const FleetChanged &event, HandlerContext &context);
    void on(const ShareMessageReceived &event, HandlerContext &context);
    void on(const TargetProbed &event, HandlerContext &context);
    void on(const RelayRequested &event, HandlerContext &context);
    void on(const RelayedResponseStarted &event, HandlerContext &context);
    void on(const RelayedRequestNotSent &event, HandlerContext &context);

    /// Accepts the early requests once the configuration and the directory are read or the grace period is over.
    void acceptEarlyRequests(HandlerContext &context);
    /// Whether requests are held back because the configuration and the directory are not read yet.
    [[nodiscard]] bool isStarting(TimePoint now) const;
    void accept(const ForwardRequest &request, RequestId id, TimePoint receivedAt, HandlerContext &context);
    /// The call if `attempt` is its current attempt, otherwise null.
    [[nodiscard]] Call *currentAttempt(RequestId id, AttemptNumber attempt);
    /// The call if `attempt` is its stalled attempt, otherwise null.
    [[nodiscard]] Call *stalledAttempt(RequestId id, AttemptNumber attempt);
    /// Sets the call's route and organisation. Returns the reason if the request is refused, otherwise std::nullopt.
    [[nodiscard]] std::optional<ForwardFailure>
    admit(const ForwardRequest &request, Call &call, const HandlerContext &context) const;
    [[nodiscard]] static ServiceId selectService(const Route &route, const std::string &attempt);
    /// Chooses targets and takes room for the call in the request limit of the first one. Takes none if the call has to
    /// wait for capacity.
    [[nodiscard]] std::optional<ChosenTargets>
    choose(Call &call, const std::set<TargetId> &excluded, HandlerContext &context);
    /// Whether the call has to wait until the chosen targets have capacity.
    [[nodiscard]] static bool mustWait(const Call &call, const ChosenTargets &chosen);
    void dispatchLimits(const TargetRequestLimitsEvent &event, HandlerContext &context);
    /// Sends the call to a target or queues it; refuses it with `fallbackReason` if no target is available.
    void dispatch(Call &call, ForwardFailure fallbackReason, HandlerContext &context);
    void sendToTarget(Call &call, ChosenTargets chosen, HandlerContext &context);
    /// Queues the call until its targets have capacity; refuses it if the queue is too long.
    void enqueue(Call &call, HandlerContext &context);
    /// Dispatches queued calls while targets have capacity, and refuses those that have waited too long.
    void serveQueue(HandlerContext &context);
    /// Like dispatch(), within the limits on repeats.
    void dispatchAgain(Call &call, ForwardFailure fallbackReason, HandlerContext &context);
    /// The same for a call whose last attempt has not reached a target, which takes nothing from the retry budget.
    void dispatchUnsent(Call &call, HandlerContext &context);
    [[nodiscard]] bool mayRunAgain(const Call &call) const;
    /// Ends the current attempt; `abandon` closes its connection.
    void endAttempt(Call &call, bool abandon, HandlerContext &context);
    /// Takes back one run at the target, which has not begun it.
    static void discountRun(Call &call, const TargetId &target);
    /// Ends the stalled attempt if there is one; `abandon` closes its connection.
    void endStalled(Call &call, bool abandon, HandlerContext &context);
    /// Returns to the stalled attempt and abandons the current one if there is one. Returns false if there is no
    /// stalled attempt.
    bool returnToStalled(Call &call, HandlerContext &context);
    void stalledStarted(const TargetResponseStarted &event, HandlerContext &context);
    void stalledData(const TargetResponseData &event, HandlerContext &context);
    void stalledCompleted(const TargetResponseCompleted &event, HandlerContext &context);
    void stalledFailed(const TargetResponseFailed &event, HandlerContext &context);
    /// Whether the head begins an event stream that can be relayed.
    [[nodiscard]] static bool beginsStream(const Call &call, const TargetResponseStarted &head);
    /// Sends complete events to the caller. `events` is not empty.
    void writeEvents(Call &call, std::string events, HandlerContext &context);
    /// Records what the head of a response states about the target that sent it.
    void recordStatements(const TargetId &target, const TargetResponseStarted &head, HandlerContext &context);
    /// Records that `target` sent `head`, which states that it has not run the request.
    void
    recordRejection(Call &call, const TargetId &target, const TargetResponseStarted &head, HandlerContext &context);
    /// Records that no byte of the request could be sent to `target`, from this host or from `via`.
    void
    recordUnreachable(Call &call, const TargetId &target, const std::optional<RelayHost> &via, HandlerContext &context);
    void targetRejected(Call &call, HandlerContext &context);
    /// Retries or refuses a call whose response was lost, incomplete or unsigned.
    void responseLost(Call &call, HandlerContext &context);
    void responseCompleted(Call &call, HandlerContext &context);
    void relayStream(Call &call, std::string_view bytes, HandlerContext &context);
    void checkStreamProgress(Call &call, HandlerContext &context);
    /// Moves every stalled stream whose path includes the target to other targets that have capacity.
    void moveStreams(const TargetId &target, HandlerContext &context);
    /// Whether the call's request may be sent to further targets while its current attempt stays open.
    [[nodiscard]] bool mayMove(const Call &call) const;
    /// Resumes a stream at other targets while the stalled attempt stays open. Leaves the stream in place if that is
    /// impossible, since the target may recover.
    void moveStream(Call &call, const TargetId &stopped, HandlerContext &context);
    /// The targets that a stream can be moved to; std::nullopt if there are none with capacity.
    [[nodiscard]] std::optional<ChosenTargets>
    chooseForMove(Call &call, const TargetId &stopped, HandlerContext &context);
    void timeOut(Call &call, HandlerContext &context);
    void attribute(const CrashAttributionEvent &event, HandlerContext &context);
    /// Refuses the call if one of its traits is condemned. Returns whether it did.
    bool refuseCondemned(Call &call, HandlerContext &context);
    /// The traits of an attempt that had only just begun, so that it may have crashed its target.
    [[nodiscard]] std::vector<RequestTrait>
    suspectTraits(const Call &call, bool hasHead, std::optional<TimePoint> answeredSince, TimePoint now) const;
    /// Records that the response of an attempt at the target was lost, which may be a crash of the target.
    void recordLoss(const Call &call,
                    AttemptNumber attempt,
                    const ChosenTargets &chosen,
                    const std::optional<RelayHost> &via,
                    const std::vector<RequestTrait> &traits,
                    HandlerContext &context);
    /// Records the traits as sound if the current attempt has been answered for long enough.
    void recordSurvival(Call &call, HandlerContext &context);
    void refuse(Call &call, ForwardFailure reason, HandlerContext &context);
    /// Logs the outcome of the call and removes it.
    void finish(Call &call, const std::string &outcome, HandlerContext &context);
    [[nodiscard]] Duration retryAfter(const Call &call, ForwardFailure reason, const HandlerContext &context);

    ForwarderOptions m_options;
    Random m_random;
    ForwardTargets m_targets;
    FleetRetryBudget m_retries;
    CrashAttribution m_attribution;
    TargetRequestLimits m_limits;
    TargetLinks m_links;
    CrashObserver m_crashObserver;
    std::shared_ptr<const RouteTable> m_table;
    std::map<RequestId, Call> m_calls;
    StartQueue m_queue;
    std::vector<EarlyRequest> m_earlyRequests;
    /// Time of the first event.
    /// Time of the last event.
    TimePoint m_now{};
    std::optional<TimePoint> m_startedAt;
    bool m_directoryLoaded = false;
    std::optional<TimePoint> m_rejectFrom;
};

/// For example `no-target`.
[[nodiscard]] const char *forwardFailureName(ForwardFailure failure);

} // namespace Carawaymill
