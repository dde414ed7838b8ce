#pragma once

#include "keyvalue/KeyValueHttpClient.h"

namespace Carawaymill {

/// Encodes key-value calls for the HTTP interface of the platform's metadata store, and decodes its responses.
[[nodiscard]] KeyValueProtocol metadataStoreProtocol();

} // namespace Carawaymill
