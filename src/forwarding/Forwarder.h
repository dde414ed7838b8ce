#pragma once

#include "forwarding/EventStreamRelay.h"
#include "forwarding/FleetRetryBudget.h"
#include "forwarding/ForwardMessages.h"
#include "forwarding/ForwardTargets.h"
#include "forwarding/RouteTable.h"
#include "forwarding/StartQueue.h"

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
    /// A stream whose next event is due for this part of its objective, or longer than `leastSilence`, is looked into.
    double silenceOfObjective = 2;
    Duration leastSilence = 350ms;
    /// Time limit of the question where a stream stands.
    Duration progressTimeout = 300ms;
    /// Dispatches of one request that targets may turn down before the caller is refused.
    std::uint32_t maximumDispatches = 4;
    /// A target that failed is left alone for so long, unless it registers as a new process before: the directory drops
    /// one that is silent after about this time.
    Duration suspicion = 4s;
    /// In so long after its start a host reads configuration and directory, which takes some round trips to the
    /// service. Requests that come before wait for that; callers abandon one that is not read within a second.
    Duration startPatience = 500ms;
    /// Told to callers of a request that no target can take now.
    Duration retryAfter = 500ms;
    /// Told to callers of a host that shuts down: another one can serve them at once.
    Duration retryElsewhereAfter = 50ms;
};

using ForwarderEvent = std::variant<Tick,
                                    ForwardRequested,
                                    ForwardCallerDisconnected,
                                    TargetResponseStarted,
                                    TargetResponseData,
                                    TargetResponseCompleted,
                                    TargetResponseFailed,
                                    ProgressReported>;

/// Action, for the log: what was decided about a request, and why.
struct ForwardDecision
{
    std::string line;
};

/// Action, for the metrics: how a request ended, and how long it took.
struct ForwardEnded
{
    std::string outcome;
    Duration took{};
};

using ForwarderAction = std::variant<ForwardToTarget,
                                     AbandonAttempt,
                                     QueryProgress,
                                     RefuseCaller,
                                     Respond,
                                     BeginStream,
                                     WriteStream,
                                     EndStream,
                                     BreakStream,
                                     ForwardDecision,
                                     ForwardEnded>;

/// Hands callers' requests on to targets, and passes the answers back.
///
/// What may not be repeated is handed over once; only a target's own word that it did not run allows another try. A
/// stream that breaks off is resumed at other targets within the same answer where its route allows that.
class Forwarder
{
public:
    explicit Forwarder(ForwarderOptions options);

    /// `fresh`: whether the configuration is known to be recent enough to admit callers by their keys.
    [[nodiscard]] std::vector<ForwarderAction>
    handle(const ForwarderEvent &event, bool fresh, ChainRouter &router, TimePoint now);

    void configurationChanged(const SharedConfiguration &configuration, ChainRouter &router);
    void targetListed(const DirectoryTarget &target, ChainRouter &router);
    void targetUnlisted(const TargetId &target, ChainRouter &router);

    /// The directory has been read whole; targets that are not listed by now do not exist.
    void setDirectoryLoaded() { m_directoryLoaded = true; }

    void setHosts(std::size_t hosts) { m_retries.setHosts(hosts); }

    /// New requests are turned away from then on, since the host shuts down.
    void rejectNewRequestsFrom(TimePoint time) { m_rejectFrom = time; }

    [[nodiscard]] std::size_t inProgress() const { return m_calls.size() + m_early.size(); }

    [[nodiscard]] const ForwardTargets &targets() const { return m_targets; }

private:
    /// One caller's request.
    struct Call
    {
        RequestId id;
        std::shared_ptr<const ForwardRequest> request;
        /// Keeps `route` alive.
        std::shared_ptr<const RouteTable> table;
        const Route *route = nullptr;
        std::optional<OrganisationId> organisation;
        ServiceId service;
        TimePoint receivedAt;
        /// The caller is told something by then.
        TimePoint deadline;
        /// Nothing when the caller sets no limit.
        std::optional<TimePoint> callerDeadline;

        AttemptNumber attempt;
        /// Where the present attempt runs; nothing between attempts.
        std::optional<ChosenTargets> chosen;
        std::set<TargetId> tried;
        std::uint32_t dispatches = 0;
        /// Targets that may have run the request, and those of them that count towards the route's bound: targets
        /// that have died do not.
        std::uint32_t runs = 0;
        std::uint32_t countedRuns = 0;

        std::optional<TargetResponseStarted> head;
        std::string body;
        /// A failure that a target answered, in case no other target does better.
        std::optional<HttpResponse> targetFailure;

        /// Whether the caller has the head of a stream.
        bool streaming = false;
        EventStreamRelay relay;
        /// Last event, or the dispatch.
        TimePoint progressAt;
        std::optional<TimePoint> askedAt;
    };

    /// A request that came before the host knew its routes and targets.
    struct EarlyRequest
    {
        ForwardRequested event;
        TimePoint receivedAt;
    };

    /// What is shared while one event is handled.
    struct Turn
    {
        ChainRouter &router;
        TimePoint now;
        bool fresh = false;
        std::vector<ForwarderAction> actions;
    };

    void on(const Tick &event, Turn &turn);
    void on(const ForwardRequested &event, Turn &turn);
    void on(const ForwardCallerDisconnected &event, Turn &turn);
    void on(const TargetResponseStarted &event, Turn &turn);
    void on(const TargetResponseData &event, Turn &turn);
    void on(const TargetResponseCompleted &event, Turn &turn);
    void on(const TargetResponseFailed &event, Turn &turn);
    void on(const ProgressReported &event, Turn &turn);

    /// Lets requests go on that wait for the start of the host, or have waited too long for it.
    void serveEarly(Turn &turn);
    /// Whether what comes now may wait for the start of the host.
    [[nodiscard]] bool starting(TimePoint now) const;
    void accept(const ForwardRequest &request, RequestId id, TimePoint receivedAt, Turn &turn);
    /// The call, if this attempt of it is the present one.
    [[nodiscard]] Call *present(RequestId id, AttemptNumber attempt);
    /// Nothing when the request may go on.
    [[nodiscard]] std::optional<ForwardFailure>
    admit(const ForwardRequest &request, Call &call, const Turn &turn) const;
    [[nodiscard]] static ServiceId drawService(const Route &route, const std::string &attempt);
    /// Hands the call to a target, or ends it with `otherwise` when that can't be done.
    void dispatch(Call &call, ForwardFailure otherwise, Turn &turn);
    void handOver(Call &call, ChosenTargets chosen, Turn &turn);
    /// Lets the call wait for room, or refuses it when that would take too long.
    void enqueue(Call &call, Turn &turn);
    /// Starts what waits, as far as there is room now, and ends what has waited too long.
    void serveQueue(Turn &turn);
    void dispatchAgain(Call &call, ForwardFailure otherwise, Turn &turn);
    [[nodiscard]] bool mayRunAgain(const Call &call) const;
    /// The present attempt is over; its connection is closed if it is still open.
    void leaveAttempt(Call &call, bool abandon, Turn &turn);
    void targetTurnedDown(Call &call, Turn &turn);
    /// The answer broke off, or was no answer.
    void answerLost(Call &call, Turn &turn);
    void answerWhole(Call &call, Turn &turn);
    void passStream(Call &call, std::string_view bytes, Turn &turn);
    void watchStream(Call &call, Turn &turn);
    /// Goes on elsewhere with every stream that waits for the target, as far as there is room.
    void moveStreams(const TargetId &target, Turn &turn);
    /// Goes on elsewhere; nothing happens when that can't be done, since the target may still come back.
    void moveStream(Call &call, const TargetId &stopped, Turn &turn);
    void timeOut(Call &call, Turn &turn);
    void refuse(Call &call, ForwardFailure reason, Turn &turn);
    /// Logs how the call ended and forgets it.
    void finish(Call &call, const std::string &outcome, Turn &turn);
    [[nodiscard]] Duration retryAfter(const Call &call, ForwardFailure reason, const Turn &turn);

    ForwarderOptions m_options;
    Random m_random;
    ForwardTargets m_targets;
    FleetRetryBudget m_retries;
    std::shared_ptr<const RouteTable> m_table;
    std::map<RequestId, Call> m_calls;
    StartQueue m_queue;
    std::vector<EarlyRequest> m_early;
    /// Time of the first event.
    std::optional<TimePoint> m_startedAt;
    bool m_directoryLoaded = false;
    std::optional<TimePoint> m_rejectFrom;
};

/// For example `no-target`.
[[nodiscard]] const char *forwardFailureName(ForwardFailure failure);

} // namespace Carawaymill
