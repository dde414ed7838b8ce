#pragma once

#include "support/Units.h"

#include <cstddef>
#include <vector>

namespace Carawaymill {

/// What a candidate offers to a chain, and at what cost.
struct StageOffer
{
    LayerRange layers;
    double secondsPerLayer = 0;
    /// Added once for a stage, whatever its length.
    double secondsPerStage = 0;
};

/// A part of a chain: the offer at position `offer` runs `layers`.
struct OfferedStage
{
    std::size_t offer = 0;
    LayerRange layers;
};

/// The cheapest way to cover `layers` once, in order, by sub-ranges of the offers. Empty when they leave a gap.
///
/// Takes time in proportion to offers times distinct ends of ranges.
[[nodiscard]] std::vector<OfferedStage> cheapestChain(LayerRange layers, const std::vector<StageOffer> &offers);

} // namespace Carawaymill
