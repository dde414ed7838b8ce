#pragma once

#include "placement/PlacementMessages.h"

#include <cstdint>
#include <vector>

namespace Carawaymill {

struct ChainPlannerOptions
{
    /// Part of its memory that a target's layers take when it is given a range. The rest is left to the KV cache, and
    /// to layers of a neighbour that is lost.
    double weightMemoryFraction = 0.75;
};

/// Decides which layers each target holds, where a failure must be repaired within seconds.
///
/// Each failure domain holds whole chains of neighbouring ranges, as far as its memory allows; further targets double
/// the layers that are run most slowly. What targets hold stays: a gap goes to targets that hold nothing, or is
/// closed by its neighbours, which have only the missing layers to load.
class ChainPlanner
{
public:
    explicit ChainPlanner(ChainPlannerOptions options)
        : m_options(options)
    {
    }

    /// Plans the first demand only. `current`: what the targets hold, or are about to.
    [[nodiscard]] PlacementPlan plan(const std::vector<PlacementTarget> &targets,
                                     const std::vector<PlacementDemand> &demands,
                                     const PlacementPlan &current) const;

private:
    ChainPlannerOptions m_options;
};

} // namespace Carawaymill
