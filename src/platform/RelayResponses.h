#pragma once

#include "forwarding/ForwardMessages.h"
#include "http/HttpMessages.h"

#include <optional>
#include <string>

namespace Carawaymill {

/// Builds the response of a host that does not pass on a request. `attempt` is the request's attempt id.
[[nodiscard]] HttpResponse relayFailureResponse(RelayFailure failure, const std::string &attempt);

/// Why the host did not pass on the request; std::nullopt if the response is the target's.
[[nodiscard]] std::optional<RelayFailure> readRelayFailure(const HttpHeaders &headers);

} // namespace Carawaymill
