#pragma once

#include "routing/RoutingMessages.h"
#include "support/Codec.h"

#include <map>

namespace Carawaymill {

/// What one host's streams take up on the targets, as it tells the others. JSON: `[[target, openLayers, cache], ...]`.
using LoadDigest = std::map<TargetId, StreamLoad>;

[[nodiscard]] nlohmann::json toJson(const LoadDigest &digest);
[[nodiscard]] Result<LoadDigest, DecodeFailure> readLoadDigest(const nlohmann::json &json);

} // namespace Carawaymill
