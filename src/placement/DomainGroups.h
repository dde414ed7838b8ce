#pragma once

#include "placement/PlacementMessages.h"

#include <vector>

namespace Carawaymill {

/// Groups the targets by one or more failure domains, in order of their ids, so that each group has the memory for one
/// copy of every demanded model. Failure domains that remain without enough memory are added to the last group.
[[nodiscard]] std::vector<std::vector<PlacementTarget>>
groupByFailureDomain(const std::vector<PlacementTarget> &targets, const std::vector<PlacementDemand> &demands);

} // namespace Carawaymill
