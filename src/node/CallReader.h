#pragma once

#include "catalogue/CatalogueReplica.h"
#include "node/AcceptedCall.h"
#include "node/CompletionApi.h"
#include "node/NodeMessages.h"
#include "node/Problem.h"

namespace Carawaymill {

/// Parses, authenticates and authorises a caller's request. The job id and the call id are not set.
///
/// A problem names the invalid field, if any, and says that the request was not run.
[[nodiscard]] Result<AcceptedCall, Problem>
readCall(const CallerRequest &request, const CompletionLimits &limits, const CatalogueReplica &catalogue);

} // namespace Carawaymill
