#pragma once

#include "placement/PlacementMessages.h"

#include <vector>

namespace Carawaymill {

/// Groups of failure domains that can each hold all that is wanted by themselves; a rest that can't joins the last one.
[[nodiscard]] std::vector<std::vector<PlacementTarget>>
groupByFailureDomain(const std::vector<PlacementTarget> &targets, const std::vector<PlacementDemand> &demands);

} // namespace Carawaymill
