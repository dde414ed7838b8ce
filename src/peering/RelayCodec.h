#pragma once

#include "http/HttpMessages.h"
#include "support/Identifiers.h"
#include "support/Variant.h"

#include <string>

namespace Carawaymill {

/// A request that one host asks another to pass on to a target.
struct RelayedRequest
{
    TargetId target;
    /// Whether the request must go over a new connection to the target.
    bool freshConnection = false;
    /// As the target is to receive it.
    HttpRequest request;
};

/// Error: the request's HMAC is missing or was not made with the receiver's key.
struct RelayAuthenticationFailure
{
};

/// Encodes the request with headers that name its target, and with an HMAC over them, the request line and the body.
[[nodiscard]] HttpRequest encodeRelayedRequest(const RelayedRequest &relayed, const std::string &key);

[[nodiscard]] Result<RelayedRequest, RelayAuthenticationFailure> decodeRelayedRequest(HttpRequest request,
                                                                                      const std::string &key);

/// The response header by which a host says that it has not passed on the request.
inline constexpr const char *relayFailureHeader = "Carawaymill-Relay-Failure";

} // namespace Carawaymill
