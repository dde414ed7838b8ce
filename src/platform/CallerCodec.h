#pragma once

#include "forwarding/ForwardMessages.h"
#include "http/HttpClient.h"
#include "http/HttpMessages.h"

namespace Carawaymill {

/// Reads the routing headers of a caller's request. The request to forward is returned without connection headers and
/// without the headers that the router sets itself.
[[nodiscard]] ForwardRequest readForwardRequest(HttpRequest request);

/// Builds the response for a request that was refused, or that failed without a response of a target.
[[nodiscard]] HttpResponse refusalResponse(const RefuseCaller &refusal);

/// Builds the request to the target: the caller's request and the headers that the router adds.
[[nodiscard]] HttpRequest targetRequest(const ForwardToTarget &dispatch);

/// The attempt header, which targets repeat in the response. It shows whether a response belongs to this request or to
/// an earlier one on the same connection.
[[nodiscard]] HttpEcho targetEcho(const ForwardRequest &request);

/// Reads the status and headers of a target's response. Connection headers are removed.
[[nodiscard]] TargetResponseStarted readResponseHead(RequestId id, AttemptNumber attempt, HttpResponseHead head);

} // namespace Carawaymill
