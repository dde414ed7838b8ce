#pragma once

#include "forwarding/EventStreamRelay.h"
#include "forwarding/ForwardMessages.h"
#include "forwarding/ForwardTargets.h"
#include "forwarding/PromptBacklog.h"
#include "forwarding/RouteTable.h"
#include "forwarding/StartQueue.h"
#include "quarantine/CrashAttribution.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Carawaymill {

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

/// One caller's request while the forwarder handles it.
struct ForwardCall
{
    RequestId id;
    std::shared_ptr<const ForwardRequest> request;
    /// Keeps `route` alive.
    std::shared_ptr<const RouteTable> table;
    const Route *route = nullptr;
    std::optional<OrganisationId> organisation;
    /// 0 is the most urgent.
    std::uint32_t rank = 0;
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

    /// Whether events were passed on to the caller.
    bool sawEvent = false;
    /// How long after its arrival the call was first sent to targets, and its first event was passed on.
    std::optional<Duration> sentAfter;
    std::optional<Duration> firstEventAfter;
    /// The longest time between two events, over all attempts, and the time of the last event.
    Duration longestGap{};
    TimePoint lastEventAt;
    /// Whether the head of a stream was sent to the caller.
    bool streaming = false;
    EventStreamRelay relay;
    /// Time of the last event of the stream, or of the dispatch.
    TimePoint progressAt;
    std::optional<TimePoint> progressQueriedAt;
    /// The silent target of a stream that is sent to others once these have shown that they work.
    std::optional<TargetId> movesAwayFrom;

    /// Begins the call with a request that was received at `at`.
    void receive(RequestId requestId,
                 const ForwardRequest &received,
                 std::shared_ptr<const RouteTable> routes,
                 TimePoint at);

    /// Sets what follows from the call's route and organisation. Our deadline is `responseMargin` before the caller's.
    void admitted(Duration responseMargin);

    /// Counts a new attempt at the targets and clears what belongs to the one before.
    void beginAttempt(const ChosenTargets &targets, TimePoint now);

    /// The action that sends the current attempt to the targets.
    [[nodiscard]] ForwardToTarget dispatchTo(const ChosenTargets &targets, TimePoint now) const;

    /// The call as it waits for capacity.
    [[nodiscard]] QueuedRequest queued(TimePoint now) const;

    /// Whether the caller already has the first events of the stream.
    [[nodiscard]] bool resumes() const { return relay.last().has_value(); }

    /// The action that queries the progress of an attempt, the current one or an earlier one.
    [[nodiscard]] QueryProgress progressQuery(AttemptNumber queried,
                                              const ChosenTargets &targets,
                                              const std::optional<RelayHost> &passedOnBy,
                                              Duration timeout) const;

    /// Keeps the current attempt open as the stalled one.
    void stall();

    /// Makes the stalled attempt the current one. There must be one.
    void returnToStalled(TimePoint now);

    /// Takes back one run at the target, which has not begun it.
    void discountRun(const TargetId &target);

    /// Records that events were passed on to the caller.
    void recordEvent(TimePoint now);

    /// How long the call has waited for its next event, as a share of its objective for that.
    [[nodiscard]] double shareOfObjective(TimePoint now) const;

    /// Whether the route allows a run at one more target.
    [[nodiscard]] bool mayRunAgain() const;

    /// Whether the request may be sent to further targets while its current attempt stays open.
    [[nodiscard]] bool mayMove(std::uint32_t maximumDispatches) const;

    /// Whether the call has to wait until the targets have room.
    [[nodiscard]] bool mustWaitFor(const ChosenTargets &targets) const;

    /// Whether the call has to wait until the targets have read other prompts.
    [[nodiscard]] bool awaitsPrompts(const ChosenTargets &targets, const PromptBacklog &prompts, TimePoint now) const;

    /// Whether the current attempt's path includes the target.
    [[nodiscard]] bool uses(const TargetId &target) const;

    /// Whether the head begins an event stream that can be relayed.
    [[nodiscard]] bool beginsStream(const TargetResponseStarted &responseHead) const;

    /// Whether the next attempt at this target must not reuse a connection. On a kept one the target may have
    /// closed it or may write an earlier rejection again, which names the same attempt of the caller.
    [[nodiscard]] bool needsFreshConnection(const TargetId &target) const;

    /// Bytes of responses that are held until they can be passed on to the caller.
    [[nodiscard]] std::size_t heldBytes() const;

    /// Frees the bytes that are held of the current attempt's response.
    void dropHeldBytes();

    /// The traits that may have crashed the target of an attempt whose response was lost. `hasHead`: whether the
    /// response had begun; `bodySince`: when the first bytes of its body were received.
    [[nodiscard]] std::vector<RequestTrait>
    suspectTraits(bool hasHead, std::optional<TimePoint> bodySince, Duration justBegunPeriod, TimePoint now) const;

    /// The log line for the end of the call.
    [[nodiscard]] std::string describeEnd(const std::string &outcome, TimePoint now) const;
};

} // namespace Carawaymill
