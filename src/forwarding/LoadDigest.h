#pragma once

#include "routing/RoutingMessages.h"
#include "support/Codec.h"

#include <map>

namespace Carawaymill {

/// Load that one host's streams put on the targets, as it is sent to other hosts. JSON: `[[target, openLayers, cache,
/// unread], ...]`; `unread` is missing in digests of earlier builds.
using LoadDigest = std::map<TargetId, StreamLoad>;

[[nodiscard]] nlohmann::json toJson(const LoadDigest &digest);
[[nodiscard]] Result<LoadDigest, DecodeFailure> readLoadDigest(const nlohmann::json &json);

} // namespace Carawaymill
