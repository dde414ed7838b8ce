#pragma once

#include "catalogue/CatalogueReplica.h"
#include "node/AcceptedCall.h"
#include "node/CompletionApi.h"
#include "node/NodeMessages.h"
#include "node/Problem.h"

namespace Carawaymill {

/// Reads a caller's request, as far as the caller may make it. The job's id and the call's number are not set yet.
///
/// A problem names the field that is wrong. Nothing of the request has run.
[[nodiscard]] Result<AcceptedCall, Problem>
readCall(const CallerRequest &request, const CompletionLimits &limits, const CatalogueReplica &catalogue);

} // namespace Carawaymill
