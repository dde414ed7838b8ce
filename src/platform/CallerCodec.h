#pragma once

#include "forwarding/ForwardMessages.h"
#include "http/HttpClient.h"
#include "http/HttpMessages.h"

namespace Carawaymill {

/// Reads what the platform's callers say in headers, and keeps the rest of the request as it is handed on.
[[nodiscard]] ForwardRequest readForwardRequest(HttpRequest request);

/// The answer to a caller whose request ends without a target's answer.
[[nodiscard]] HttpResponse refusalResponse(const RefuseCaller &refusal);

/// The request as its target receives it.
[[nodiscard]] HttpRequest targetRequest(const ForwardToTarget &dispatch);

/// Header that targets repeat from a request, so that answers can be told apart.
[[nodiscard]] HttpEcho targetEcho(const ForwardRequest &request);

/// Reads the head of a target's answer.
[[nodiscard]] TargetAnswerBegan readAnswerHead(RequestId id, AttemptNumber attempt, HttpResponseHead head);

} // namespace Carawaymill
