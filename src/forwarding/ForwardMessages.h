#pragma once

#include "http/CallerAnswers.h"
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

/// What the forwarding of callers' requests is told, and what it has done.
namespace Carawaymill {

/// Id of a stream's event; grows with each event.
using StreamPosition = StrongCount<struct StreamPositionTag, std::uint64_t>;

/// A caller's request as far as its forwarding depends on it.
struct ForwardRequest
{
    /// The caller's own name for this attempt; targets repeat it.
    std::string attempt;
    std::string host;
    /// Without the query.
    std::string path;
    std::optional<std::string> key;
    /// How long the caller waits, from now on.
    std::optional<Duration> timeLeft;
    /// The caller has the stream's events up to this one.
    std::optional<StreamPosition> resumeAfter;
    TokenCount promptTokens;
    /// The caller's guess where it gives one, otherwise the most that it asks for.
    TokenCount expectedTokens;
    /// Method, target, end-to-end headers and body, as they are handed on.
    HttpRequest http;
};

/// One target on the way of a request, and the layers that it runs.
struct PathStage
{
    TargetId target;
    std::string address;
    LayerRange layers;

    friend bool operator==(const PathStage &, const PathStage &) = default;
};

/// Event: a caller's request was read whole.
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

/// Event: the head of a target's answer.
struct TargetResponseStarted
{
    RequestId id;
    AttemptNumber attempt;
    /// Status and end-to-end headers.
    HttpResponseHead head;
    /// The target vouches that the request was not run and never will be.
    bool notRun = false;
    /// It is another target than the one that was meant, or holds other layers.
    bool misdirected = false;
    /// The body is the target's own, whole and unchanged.
    bool sealed = false;
    /// The target on the path that could not do its part, if the answer names one.
    std::optional<std::string> addressAtFault;
};

/// Event: bytes of the answer's body.
struct TargetResponseData
{
    RequestId id;
    AttemptNumber attempt;
    std::string bytes;
};

/// Event: the answer is whole.
struct TargetResponseCompleted
{
    RequestId id;
    AttemptNumber attempt;
};

/// Event: no whole answer will come.
struct TargetResponseFailed
{
    RequestId id;
    AttemptNumber attempt;
    /// Whether any byte of the request was handed over.
    bool sent = true;
};

/// Event: answer to `QueryProgress`.
struct ProgressReported
{
    RequestId id;
    AttemptNumber attempt;
    /// False when the first target of the path gave no answer.
    bool answered = false;
    /// The target on the path that the request waits for, if any.
    std::optional<std::string> blockedAtAddress;
};

/// Action: hand a request to a target. Answered by the events above with the same id and attempt.
struct ForwardToTarget
{
    RequestId id;
    AttemptNumber attempt;
    TargetId target;
    std::string address;
    /// The targets that the request passes through; empty where the target serves it alone.
    std::vector<PathStage> path;
    std::optional<OrganisationId> organisation;
    std::optional<Duration> timeLeft;
    std::optional<StreamPosition> resumeAfter;
    std::shared_ptr<const ForwardRequest> request;
    /// A connection that was used before could mix up answers, or have been closed meanwhile.
    bool freshConnection = false;
};

/// Action: close the connection on which the attempt was handed over, so that the target stops work on it.
struct AbandonAttempt
{
    RequestId id;
    AttemptNumber attempt;
};

/// Action: ask the first target of the path whether the request waits for another one.
struct QueryProgress
{
    RequestId id;
    AttemptNumber attempt;
    std::string address;
    /// The caller's name for the attempt.
    std::string callerAttempt;
    Duration timeout{};
};

/// Why a caller is not given a target's answer.
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
};

/// Action: the answer to a caller whose request ends without a target's answer.
struct RefuseCaller
{
    RequestId id;
    ForwardFailure reason = ForwardFailure::NoTarget;
    /// Whether the request may have been run. If not, the caller may safely send it again.
    bool mayHaveRun = false;
    std::optional<Duration> retryAfter;
};

} // namespace Carawaymill
