#pragma once

#include "support/Units.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Carawaymill {

/// What a candidate offers to a chain, and at what cost.
struct StageCandidate
{
    LayerRange layers;
    double secondsPerLayer = 0;
    /// Added once for a stage, whatever its length.
    double secondsPerStage = 0;
    /// Numbers the failure domains from 0.
    std::uint32_t domain = 0;
};

/// What it costs to go from one failure domain to another.
struct DomainCrossingCost
{
    /// Where the chain is begun from.
    std::uint32_t firstDomain = 0;
    /// Added when the first stage is in another domain.
    double secondsToEnter = 0;
    /// Added for each stage that is in another domain than the one before it.
    double secondsBetweenStages = 0;
};

/// A part of a chain: the offer at position `offer` runs `layers`.
struct SelectedStage
{
    std::size_t offer = 0;
    LayerRange layers;
};

/// The cheapest way to cover `layers` once, in order, by sub-ranges of the offers. Empty when they leave a gap.
/// No offer is used for more than one stage.
///
/// Takes time in proportion to offers times distinct ends of ranges times failure domains.
[[nodiscard]] std::vector<SelectedStage>
cheapestChain(LayerRange layers, const std::vector<StageCandidate> &offers, const DomainCrossingCost &crossing = {});

} // namespace Carawaymill
