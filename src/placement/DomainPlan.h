#pragma once

#include "placement/PlacementPlanner.h"

#include <vector>

namespace Carawaymill {

/// A plan in which each failure domain holds whole models by itself, as far as its memory allows.
///
/// Domains that cannot hold every wanted model are planned together with the next ones.
[[nodiscard]] PlacementPlan planByFailureDomain(const PlacementPlanner &planner,
                                                const std::vector<PlacementTarget> &targets,
                                                const std::vector<PlacementDemand> &demands,
                                                const PlacementPlan &current);

} // namespace Carawaymill
