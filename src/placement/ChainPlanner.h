#pragma once

#include "placement/PlacementMessages.h"

#include <cstdint>
#include <vector>

namespace Carawaymill {

struct ChainPlannerOptions
{
    /// Largest fraction of a target's memory that is used for layers when it is assigned a range. The rest is reserved
    /// for the KV cache and for layers of a neighbour that fails.
    double weightMemoryFraction = 0.75;
    /// Fraction of the requests that a target runs at once for which its assigned range leaves KV cache. Some targets
    /// are the only holders of their layers in a failure domain, so that all requests there need their memory. More
    /// KV cache would leave fewer copies of the layers, which slows streams down and makes losses worse.
    double cachedConcurrencyFraction = 0.75;
};

/// Plans which layers each target holds, for deployments in which failures must be repaired within seconds.
///
/// Each failure domain holds complete chains of adjoining ranges, as far as its memory allows; further targets hold
/// additional copies of the layers with the lowest throughput. Targets keep the layers that they hold: a gap is
/// assigned to targets without layers, or closed by its neighbours, which then load only the missing layers.
class ChainPlanner
{
public:
    explicit ChainPlanner(ChainPlannerOptions options)
        : m_options(options)
    {
    }

    /// Plans the first demand only. `current` is what the targets hold or are loading.
    [[nodiscard]] PlacementPlan plan(const std::vector<PlacementTarget> &targets,
                                     const std::vector<PlacementDemand> &demands,
                                     const PlacementPlan &current) const;

private:
    ChainPlannerOptions m_options;
};

} // namespace Carawaymill
