#pragma once

#include "forwarding/ForwardMessages.h"
#include "http/HttpClient.h"
#include "http/HttpMessages.h"

namespace Carawaymill {

/// Reads the headers that callers of the platform send for routing, and removes connection headers and the headers that
/// the router sets itself from the request that is forwarded.
[[nodiscard]] ForwardRequest readForwardRequest(HttpRequest request);

/// The response to a caller whose request is refused or failed without a response of a target.
[[nodiscard]] HttpResponse refusalResponse(const RefuseCaller &refusal);

/// The caller's request with the headers that the router adds for the target.
[[nodiscard]] HttpRequest targetRequest(const ForwardToTarget &dispatch);

/// The attempt header, which targets repeat in the response; it tells responses to different requests on one connection
/// apart.
[[nodiscard]] HttpEcho targetEcho(const ForwardRequest &request);

/// Reads status and headers of a target's response and removes connection headers.
[[nodiscard]] TargetResponseStarted readResponseHead(RequestId id, AttemptNumber attempt, HttpResponseHead head);

} // namespace Carawaymill
