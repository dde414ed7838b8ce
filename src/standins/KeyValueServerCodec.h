#pragma once

#include "http/HttpMessages.h"
#include "keyvalue/KeyValueMessages.h"
#include "support/Codec.h"

#include <optional>

/// The service's side of its JSON over HTTP, as far as `encodeKeyValueRequest` uses it.
namespace Carawaymill {

/// Reads a call; `DecodeFailure` also for parts of the API that the stand-in does not have.
[[nodiscard]] Result<KeyValueRequest, DecodeFailure> decodeKeyValueRequest(const HttpRequest &request);

/// The response that the service gives for a result. Empty for `OutcomeUnknown`: then no response may be sent.
[[nodiscard]] std::optional<HttpResponse> encodeKeyValueResult(const KeyValueRequest &request,
                                                               const KeyValueResult &result);

} // namespace Carawaymill
