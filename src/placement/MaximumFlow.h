#pragma once

#include "support/Units.h"

#include <cstdint>
#include <vector>

namespace Carawaymill {

/// What one target can contribute to a model's throughput.
struct FlowTarget
{
    /// Tokens per second times layers that the target runs.
    double layerTokensPerSecond = 0;
    /// Tokens per second whose activations the link can carry, in and out.
    double linkTokensPerSecond = 0;
    /// Layers that the target can run.
    LayerRange layers;
};

/// Upper bound, over all routings, of the throughput in tokens per second of a model with `layers` layers.
///
/// Computed as a maximum flow: from a source through the targets (limited by their speed) and the layers (limited by
/// the links of their targets) to a sink that takes the same number of tokens from each layer. The result is the
/// largest such number for which the edges from all layers to the sink are saturated. Without link limits the bound can
/// be reached. With them it can be slightly too high, since two stages of one job on the same target are counted as one
/// transfer.
[[nodiscard]] double throughputBound(const std::vector<FlowTarget> &targets, std::uint32_t layers);

} // namespace Carawaymill
