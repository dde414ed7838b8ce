#pragma once

#include "forwarding/PublicationFormat.h"

namespace Carawaymill {

/// Keys and decoders of the configuration and the worker records in the platform's metadata store.
[[nodiscard]] PublicationFormat platformPublicationFormat();

} // namespace Carawaymill
