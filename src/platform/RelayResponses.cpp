#include "platform/RelayResponses.h"

#include "peering/RelayCodec.h"
#include "platform/CallerCodec.h"

namespace Carawaymill {

static constexpr unsigned statusUnavailable = 503;
static constexpr const char *hostUnavailable = "host-unavailable";
static constexpr const char *targetUnavailable = "target-unavailable";

HttpResponse relayFailureResponse(RelayFailure failure, const std::string &attempt)
{
    const bool isHost = failure == RelayFailure::HostUnavailable;
    const HttpEcho echo = targetEcho({.attempt = attempt});
    return {.status = statusUnavailable,
            .headers = {{relayFailureHeader, isHost ? hostUnavailable : targetUnavailable}, {echo.name, echo.value}},
            .body = {}};
}

std::optional<RelayFailure> readRelayFailure(const HttpHeaders &headers)
{
    const std::string value = headerValue(headers, relayFailureHeader);
    if (value.empty()) {
        return std::nullopt;
    }
    return value == targetUnavailable ? RelayFailure::TargetUnavailable : RelayFailure::HostUnavailable;
}

} // namespace Carawaymill
