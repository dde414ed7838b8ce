#pragma once

#include "http/HttpMessages.h"
#include "keyvalue/KeyValueHttpClient.h"
#include "keyvalue/KeyValueMessages.h"

/// The client's side of the key-value service's JSON over HTTP: the published gateway of etcd's third API.
namespace Carawaymill {

/// The HTTP request that carries out the call.
[[nodiscard]] HttpRequest encodeKeyValueRequest(const KeyValueRequest &request);

/// What became of the call. An answer that cannot be read counts as none: `OutcomeUnknown` for writes and
/// `ServiceUnavailable` for reads.
[[nodiscard]] KeyValueResult decodeKeyValueResponse(const KeyValueRequest &request, const HttpResult &response);

/// The protocol of these two, for the client.
[[nodiscard]] KeyValueProtocol gatewayProtocol();

/// Whether the call counts as a write and may have taken effect when no answer came.
[[nodiscard]] bool isKeyValueWrite(const KeyValueRequest &request);

/// The result of a call that was sent and not answered, or whose answer cannot be read.
[[nodiscard]] KeyValueResult resultWithoutAnswer(const KeyValueRequest &request);

/// Adds a later change to those of a watch, which keep the last one of each key.
void noteChange(RangeChanged &changes, KeyValueRecord record, bool deleted);

} // namespace Carawaymill
