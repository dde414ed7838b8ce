#pragma once

#include "forwarding/RelayHosts.h"
#include "http/CallerResponses.h"
#include "http/HttpMessages.h"
#include "support/Identifiers.h"
#include "support/StrongType.h"
#include "support/Time.h"
#include "support/Units.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Events that the forwarding of callers' requests handles, and actions that it returns.
namespace Carawaymill {

/// Id of an event in a stream; increases with each event.
using StreamPosition = StrongCount<struct StreamPositionTag, std::uint64_t>;

/// A caller's request with the values of its headers that its forwarding depends on.
struct ForwardRequest
{
    /// The attempt id that the caller chose; targets repeat it in their responses.
    std::string attempt;
    std::string host;
    /// Without the query.
    std::string path;
    std::optional<std::string> key;
    /// Time until the caller's deadline when the request was received.
    std::optional<Duration> timeLeft;
    /// Id of the last event of the stream that the caller already has.
    std::optional<StreamPosition> resumeAfter;
    TokenCount promptTokens;
    /// The caller's estimate of the completion length if it sends one, otherwise its maximum.
    TokenCount expectedTokens;
    /// Ids of the parts of the prompt that other requests may share, in order.
    std::vector<std::string> sharedParts;
    /// Method, target, end-to-end headers and body, as they are forwarded.
    HttpRequest http;
};

/// One target on the path of a request, and the layers that it runs.
struct PathStage
{
    TargetId target;
    std::string address;
    LayerRange layers;

    friend bool operator==(const PathStage &, const PathStage &) = default;
};

/// Event: a caller's request was received completely.
struct ForwardRequested
{
    RequestId id;
    ForwardRequest request;
};

/// Event: the caller has closed its connection.
struct ForwardCallerDisconnected
{
    RequestId id;
};

/// Event: the time in which a draining host completes its requests is over; those that are left must end now.
struct DrainTimeoutReached
{
};

/// Event: the head of a target's response was received.
struct TargetResponseStarted
{
    RequestId id;
    AttemptNumber attempt;
    /// Status and end-to-end headers.
    HttpResponseHead head;
    /// The target states that it has not run the request and never will.
    bool notRun = false;
    /// The responding target is not the intended one, or holds other layers than expected.
    bool misdirected = false;
    /// The target has signed the response, so its body is complete and unmodified.
    bool sealed = false;
    /// Address of the target on the path that rejected its stage, if the response names one.
    std::optional<std::string> addressAtFault;
    /// The responding target is about to leave and must get no new requests.
    bool leaving = false;
    /// The responding target wants no requests from this host for this time.
    std::optional<Duration> restFor;
    /// How many requests a second the responding target takes from all hosts together, if it limits them.
    std::optional<double> requestsPerSecond;
};

/// Event: bytes of the response's body were received.
struct TargetResponseData
{
    RequestId id;
    AttemptNumber attempt;
    std::string bytes;
};

/// Event: the response was received completely.
struct TargetResponseCompleted
{
    RequestId id;
    AttemptNumber attempt;
};

/// Why a host did not pass on a request to a target.
enum class RelayFailure : std::uint8_t {
    /// The host cannot be reached, reaches no target itself or shuts down.
    HostUnavailable,
    /// The target cannot be reached from there, or must get no requests.
    TargetUnavailable,
};

/// Event: the request or its response was lost; no complete response will arrive.
struct TargetResponseFailed
{
    RequestId id;
    AttemptNumber attempt;
    /// Whether any byte of the request was sent to the target.
    bool sent = true;
    /// Set if the request was to go by way of another host, which did not pass it on.
    std::optional<RelayFailure> relayFailure = std::nullopt;
};

/// Event: response to `QueryProgress`.
struct ProgressReported
{
    RequestId id;
    AttemptNumber attempt;
    /// False if the first target of the path did not respond.
    bool answered = false;
    /// Address of the target on the path that the request is blocked at, if any.
    std::optional<std::string> blockedAtAddress;
};

/// Action: send a request to a target. The events above report its response with the same id and attempt.
struct ForwardToTarget
{
    RequestId id;
    AttemptNumber attempt;
    TargetId target;
    std::string address;
    /// The targets that the request passes through; empty if `target` serves it alone.
    std::vector<PathStage> path;
    std::optional<OrganisationId> organisation;
    std::optional<Duration> timeLeft;
    std::optional<StreamPosition> resumeAfter;
    std::shared_ptr<const ForwardRequest> request;
    /// Use a new connection: a reused one might have been closed by the target, or deliver another request's response.
    bool freshConnection = false;
    /// The host that passes the request on; std::nullopt if it goes directly to the target.
    std::optional<RelayHost> via = std::nullopt;
    /// How urgently an engine should start the request, from 0 (first) to 9; std::nullopt for its default.
    std::optional<unsigned> urgency = std::nullopt;
};

/// Action: close the connection of the attempt, so that the target stops working on it.
struct AbandonAttempt
{
    RequestId id;
    AttemptNumber attempt;
};

/// Action: query the first target of the path whether the request is blocked at another target.
struct QueryProgress
{
    RequestId id;
    AttemptNumber attempt;
    std::string address;
    /// The attempt id that the caller chose.
    std::string callerAttempt;
    Duration timeout{};
    TargetId target;
    /// The host that passes the query on; std::nullopt if it goes directly to the target.
    std::optional<RelayHost> via = std::nullopt;
};

/// What the answer to a probe is needed for.
enum class ProbePurpose : std::uint8_t {
    /// Whether this host reaches any target.
    Links,
    /// Whether the target works, before a stream is sent to it again.
    Liveness,
    /// How fast the target runs.
    Pace,
};

/// Action: find out whether a new connection to the target can be opened and is answered. Answered by one
/// `TargetProbed`.
struct ProbeTarget
{
    TargetId target;
    std::string address;
    /// For the connection, and again for the response.
    Duration timeout{};
    ProbePurpose purpose = ProbePurpose::Links;
    /// The host that passes the probe on; std::nullopt if it goes directly to the target.
    std::optional<RelayHost> via = std::nullopt;
};

/// Event: response to `ProbeTarget`.
struct TargetProbed
{
    TargetId target;
    /// Whether the target replied.
    bool reached = false;
    /// Whether the connection was accepted. The kernel of a silent target accepts it too.
    bool connected = reached;
    ProbePurpose purpose = ProbePurpose::Links;
    /// How much slower than usual the target says that it runs, 1 as usual; std::nullopt without a reply.
    std::optional<double> pace = std::nullopt;
};

/// Identifies a request that this host passes on for another host.
using RelayId = StrongCount<struct RelayIdTag, std::uint64_t>;

/// Event: another host asks this one to pass on a request. Answered by `PassOnRequest` or `RefuseRelay`.
struct RelayRequested
{
    RelayId id;
    TargetId target;
};

/// Action: pass on the request to the target, and its response to the other host.
struct PassOnRequest
{
    RelayId id;
    TargetId target;
    std::string address;
};

/// Action: tell the other host that the request is not passed on.
struct RefuseRelay
{
    RelayId id;
    RelayFailure reason = RelayFailure::HostUnavailable;
};

/// Event: the head of the response to a request that was passed on.
struct RelayedResponseStarted
{
    TargetId target;
    TargetResponseStarted head;
};

/// Event: a request could not be passed on, since no connection to the target could be opened.
struct RelayedRequestNotSent
{
    TargetId target;
};

/// Why a request ends without a target's response.
enum class ForwardFailure : std::uint8_t {
    Draining,
    NoConfiguration,
    ConfigurationTooOld,
    NoRoute,
    KeyUnknown,
    NoTarget,
    Overloaded,
    RetryBudgetSpent,
    TargetsRefused,
    TimeoutReached,
    ResponseLost,
    /// Requests that share a trait with this one crash their targets.
    Condemned,
};

/// For example `no-target`.
[[nodiscard]] const char *forwardFailureName(ForwardFailure failure);

/// Action: respond to a caller whose request ends without a target's response.
struct RefuseCaller
{
    RequestId id;
    ForwardFailure reason = ForwardFailure::NoTarget;
    /// Whether a target may have run the request. If not, the caller can retry it safely.
    bool mayHaveRun = false;
    std::optional<Duration> retryAfter;
};

} // namespace Carawaymill
