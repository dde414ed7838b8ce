#pragma once

#include "placement/PlacementMessages.h"

#include <vector>

namespace Carawaymill {

struct PlacementPlannerOptions
{
    /// Maximum number of targets with layers that one plan moves to other layers.
    std::uint32_t maximumMoves = 2;
    /// A target is moved only if the gain of its new layers is more than this multiple of the gain of its current ones.
    double moveThreshold = 1.5;
    /// Number of times that the layers of each target without current layers are chosen anew, given those of all
    /// others.
    std::uint32_t passes = 4;
};

/// Plans which target holds which layers, for maximum throughput. Has no state: the same input gives the same plan.
///
/// Every target is assigned as many adjoining layers as fit, where they increase the value of the placement most (see
/// `LayerCapacity`). Targets keep the layers that they hold, except for a few moves with a large gain.
class PlacementPlanner
{
public:
    explicit PlacementPlanner(PlacementPlannerOptions options);

    /// `current` is the last plan, or the layers that the targets hold. Entries of unknown targets or models are
    /// ignored.
    [[nodiscard]] PlacementPlan plan(const std::vector<PlacementTarget> &targets,
                                     const std::vector<PlacementDemand> &demands,
                                     const PlacementPlan &current) const;

private:
    PlacementPlannerOptions m_options;
};

/// Splits the model into equal parts, assigned to the targets in the order of the list. Baseline for measurements.
[[nodiscard]] PlacementPlan equalSplitPlan(const std::vector<PlacementTarget> &targets, const PlacementDemand &demand);

/// Upper bound of the throughput of one model with the plan, in tokens per second.
[[nodiscard]] double
throughputBound(const std::vector<PlacementTarget> &targets, const PlacementDemand &demand, const PlacementPlan &plan);

/// Upper bound of the throughput of one model over all plans and routings, in tokens per second.
[[nodiscard]] double hardwareBound(const std::vector<PlacementTarget> &targets, const PlacementDemand &demand);

} // namespace Carawaymill
