#pragma once

#include "keyvalue/KeyValueHttpClient.h"

namespace Carawaymill {

/// The protocol of the platform's metadata store, as the product's key-value calls need it.
[[nodiscard]] KeyValueProtocol storeProtocol();

} // namespace Carawaymill
