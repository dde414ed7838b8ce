#pragma once

#include "forwarding/ForwardMessages.h"
#include "forwarding/RoutingConfiguration.h"
#include "hostlist/HostListMessages.h"
#include "http/CallerResponses.h"
#include "http/HttpMessages.h"
#include "keyvalue/KeyValueMessages.h"
#include "pipeline/EngineMessages.h"
#include "placement/EngineOrders.h"
#include "routing/RoutingMessages.h"
#include "routing/TargetMonitor.h"
#include "support/Identifiers.h"

#include <cstdint>
#include <string>
#include <variant>

/// The events that a driver passes to a node, and the actions that the node returns.
namespace Carawaymill {

/// Seconds since 1970, for display and billing periods only. Scheduling uses `TimePoint`.
using WallClockSeconds = StrongCount<struct WallClockSecondsTag, std::int64_t>;

/// Event: a caller's request was read completely.
struct CallerRequest
{
    RequestId id;
    HttpRequest request;
    WallClockSeconds receivedAt;
};

/// Event: the caller closed the connection before its response was complete.
struct CallerDisconnected
{
    RequestId id;
};

/// Event: an operator's request was read completely.
struct OperatorRequest
{
    RequestId id;
    HttpRequest request;
};

/// Event: answer to `RunStep`.
struct StepReturned
{
    JobId job;
    StreamId stream;
    StepResult result;
};

/// Event: answer to `RequestStreamStatus`.
struct StreamStatusReturned
{
    JobId job;
    StreamId stream;
    StreamStatusResult result;
};

/// An engine's report of its state and load.
struct EngineReport
{
    EngineState state;
    LoadReport load;
};

/// Event: answer to `RequestTargetReport`. Plain services answer with an empty report.
struct TargetReported
{
    TargetId target;
    PollOutcome outcome = PollOutcome::Answered;
    EngineReport report;
};

/// Event: answer to `CallTarget`.
struct TargetCallReturned
{
    JobId job;
    AttemptNumber attempt;
    HttpResult result;
};

/// Event: answer to `SendOrder`; std::nullopt when it is unknown whether the engine received the order.
struct OrderReturned
{
    EngineOrder order;
    std::optional<EngineOrderReply> reply;
};

/// Event: a message of another host. The link may lose, delay, duplicate or reorder messages.
struct PeerMessage
{
    HostId from;
    nlohmann::json message;
};

/// Event: the host is to be shut down. It accepts no new requests and finishes those in progress.
struct DrainRequested
{
};

using NodeEvent = std::variant<Tick,
                               CallerRequest,
                               CallerDisconnected,
                               OperatorRequest,
                               StepReturned,
                               StreamStatusReturned,
                               TargetReported,
                               TargetCallReturned,
                               OrderReturned,
                               KeyValueReply,
                               HostListRead,
                               PeerMessage,
                               DrainRequested,
                               DrainTimeoutReached,
                               ForwardRequested,
                               TargetResponseStarted,
                               TargetResponseData,
                               TargetResponseCompleted,
                               TargetResponseFailed,
                               ProgressReported,
                               TargetProbed,
                               RelayRequested,
                               RelayedResponseStarted,
                               RelayedRequestNotSent>;

/// Action: apply the configuration's limits to what callers may send.
struct LimitCallers
{
    CallerLimits limits;
};

/// Action: send one step to an engine. Answered by one `StepReturned`.
struct RunStep
{
    JobId job;
    std::string address;
    StepRequest step;
    Duration timeout{};
};

/// Action: request the status of a stream from an engine. Answered by one `StreamStatusReturned`.
struct RequestStreamStatus
{
    JobId job;
    std::string address;
    StreamId stream;
    Duration timeout{};
};

/// Action: have an engine release a stream. Not answered.
struct DropStream
{
    std::string address;
    StreamId stream;
};

/// Action: poll a target for its state. Answered by one `TargetReported`.
struct RequestTargetReport
{
    TargetId target;
    TargetKind kind = TargetKind::Engine;
    std::string address;
    Duration timeout{};
};

/// Action: send a caller's request to a plain service on a separate connection. Answered by one `TargetCallReturned`.
struct CallTarget
{
    JobId job;
    AttemptNumber attempt;
    std::string address;
    HttpRequest request;
    Duration timeout{};
};

/// Action: send an order to an engine. Answered by one `OrderReturned`.
struct SendOrder
{
    std::string address;
    EngineOrder order;
};

/// Action: send a message to another host. Not answered; the message may be lost.
struct SendToPeer
{
    HostId to;
    std::string address;
    nlohmann::json message;
};

/// Action: write one line to the log.
struct WriteLog
{
    std::string line;
};

using NodeAction = std::variant<Respond,
                                BeginStream,
                                WriteStream,
                                EndStream,
                                RunStep,
                                RequestStreamStatus,
                                DropStream,
                                RequestTargetReport,
                                CallTarget,
                                SendOrder,
                                KeyValueCall,
                                SendToPeer,
                                WriteLog,
                                ForwardToTarget,
                                AbandonAttempt,
                                QueryProgress,
                                ProbeTarget,
                                PassOnRequest,
                                RefuseRelay,
                                RefuseCaller,
                                AbortStream,
                                LimitCallers>;

} // namespace Carawaymill
