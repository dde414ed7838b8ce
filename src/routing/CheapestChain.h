#pragma once

#include "support/Units.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Carawaymill {

/// A range of layers that one candidate can run, and its cost.
struct StageCandidate
{
    LayerRange layers;
    double secondsPerLayer = 0;
    /// Added once for each stage, independent of its number of layers.
    double secondsPerStage = 0;
    /// Index of the candidate's failure domain, counted from 0.
    std::uint32_t domain = 0;
    /// Whether the candidate may run the first stage.
    bool mayBeFirst = true;
};

/// Additional cost where neighbouring stages are in different failure domains.
struct DomainCrossingCost
{
    /// Failure domain of the host that starts the chain.
    std::uint32_t firstDomain = 0;
    /// Added when the first stage is not in `firstDomain`.
    double secondsToEnter = 0;
    /// Added for each stage that is not in the failure domain of the stage before it.
    double secondsBetweenStages = 0;
};

/// A stage of the chain: the candidate at position `candidate` of the input runs `layers`.
struct SelectedStage
{
    std::size_t candidate = 0;
    LayerRange layers;
};

/// The cheapest sequence of stages that covers each of `layers` once, in order. Each stage is a sub-range of one
/// candidate's layers, and no candidate gets more than one stage. Empty when the candidates leave a gap.
///
/// The running time is proportional to the number of candidates, times the number of distinct range ends, times the
/// number of failure domains.
[[nodiscard]] std::vector<SelectedStage> cheapestChain(LayerRange layers,
                                                       const std::vector<StageCandidate> &candidates,
                                                       const DomainCrossingCost &crossing = {});

} // namespace Carawaymill
