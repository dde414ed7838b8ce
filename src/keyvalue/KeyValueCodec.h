#pragma once

#include "http/HttpMessages.h"
#include "keyvalue/KeyValueHttpClient.h"
#include "keyvalue/KeyValueMessages.h"

/// Client side of JSON over HTTP as specified for the gateway of etcd's v3 API.
namespace Carawaymill {

[[nodiscard]] HttpRequest encodeKeyValueRequest(const KeyValueRequest &request);

/// A response that cannot be decoded counts as no response: `OutcomeUnknown` for writes and `ServiceUnavailable` for
/// reads and watches.
[[nodiscard]] KeyValueResult decodeKeyValueResponse(const KeyValueRequest &request, const HttpResult &response);

/// `encodeKeyValueRequest` and `decodeKeyValueResponse` as the protocol of a `KeyValueHttpClient`.
[[nodiscard]] KeyValueProtocol etcdGatewayProtocol();

/// Whether the call is a write, which may have taken effect even if no response arrived.
[[nodiscard]] bool isKeyValueWrite(const KeyValueRequest &request);

/// The result of a call that was sent but whose response did not arrive or cannot be decoded.
[[nodiscard]] KeyValueResult resultWithoutResponse(const KeyValueRequest &request);

/// Adds a change to the earlier changes of a watch, replacing an earlier change of the same key.
void mergeChange(RangeChanged &changes, KeyValueRecord record, bool deleted);

} // namespace Carawaymill
