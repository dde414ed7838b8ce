#pragma once

#include "placement/PlacementMessages.h"

#include <vector>

namespace Carawaymill {

struct PlacementPlannerOptions
{
    /// Targets that already hold something and may be moved in one plan.
    std::uint32_t maximumMoves = 2;
    /// A target is moved only when the new place is worth so many times the old one.
    double moveThreshold = 1.5;
    /// How often each target that holds nothing yet is weighed again against all others.
    std::uint32_t passes = 4;
};

/// Decides which target holds which layers. Keeps no state: the same input gives the same plan.
///
/// Every target gets as many neighbouring layers as fit, where they add most to `LayerCapacity`'s value. What targets
/// already hold stays, but for a few moves that are worth much.
class PlacementPlanner
{
public:
    explicit PlacementPlanner(PlacementPlannerOptions options);

    /// `current` is the last plan, or what the targets were found to hold; entries of unknown targets or models are
    /// ignored.
    [[nodiscard]] PlacementPlan plan(const std::vector<PlacementTarget> &targets,
                                     const std::vector<PlacementDemand> &demands,
                                     const PlacementPlan &current) const;

private:
    PlacementPlannerOptions m_options;
};

/// Each model split into equal parts over the targets in the order of the list, as the baseline of measurements.
[[nodiscard]] PlacementPlan equalSplitPlan(const std::vector<PlacementTarget> &targets, const PlacementDemand &demand);

/// The throughput bound of a plan for one wanted model, in tokens a second.
[[nodiscard]] double
throughputBound(const std::vector<PlacementTarget> &targets, const PlacementDemand &demand, const PlacementPlan &plan);

/// The throughput bound over all plans and routings for one wanted model, in tokens a second.
[[nodiscard]] double hardwareBound(const std::vector<PlacementTarget> &targets, const PlacementDemand &demand);

} // namespace Carawaymill
