#pragma once

#include "support/Units.h"

#include <cstdint>
#include <vector>

namespace Carawaymill {

/// What one target can add to a model's throughput.
struct FlowTarget
{
    /// Layers that the target runs for one token in one second.
    double layerTokensPerSecond = 0;
    /// Tokens a second that its link can carry, in and out.
    double linkTokensPerSecond = 0;
    /// Layers that it can run.
    LayerRange layers;
};

/// Upper bound of the tokens a second that any routing can get out of the targets, for a model of `layers` layers.
///
/// Maximum flow from a source over targets (limited by their speed) and over layers (limited by their target's link) to
/// a sink that takes the same number of tokens from each layer; that number is the greatest for which every layer's
/// edge to the sink is full. Without limits of links the bound can be reached; with them it can be a little too high,
/// since a target that is entered twice for one token is counted as entered once.
[[nodiscard]] double throughputBound(const std::vector<FlowTarget> &targets, std::uint32_t layers);

} // namespace Carawaymill
