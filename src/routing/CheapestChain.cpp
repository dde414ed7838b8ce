#include "routing/CheapestChain.h"

#include <algorithm>
#include <limits>

namespace Carawaymill {

static constexpr double unreachable = std::numeric_limits<double>::infinity();

namespace {

/// The cheapest partial chain that covers all layers before a boundary and whose last stage is in a given failure
/// domain.
struct PartialChain
{
    double seconds = unreachable;
    std::size_t candidate = 0;
    /// Index of the boundary at which the last stage begins, and the failure domain of the stage before it.
    std::size_t begin = 0;
    std::uint32_t domainBefore = 0;
};

/// The cheapest partial chain up to the current boundary whose last stage is run by a given candidate and may be
/// extended over further layers.
struct OpenStage
{
    double seconds = unreachable;
    std::size_t begin = 0;
    std::uint32_t domainBefore = 0;
};

} // namespace

static std::vector<LayerIndex> boundariesWithin(LayerRange layers, const std::vector<StageCandidate> &candidates)
{
    std::vector<LayerIndex> boundaries{layers.first, layers.end};
    for (const StageCandidate &candidate : candidates) {
        for (const LayerIndex boundary : {candidate.layers.first, candidate.layers.end}) {
            if (layers.contains(boundary)) {
                boundaries.push_back(boundary);
            }
        }
    }
    std::sort(boundaries.begin(), boundaries.end());
    boundaries.erase(std::unique(boundaries.begin(), boundaries.end()), boundaries.end());
    return boundaries;
}

/// The cheapest partial chain to which a stage in `domain` can be appended. `partialChains` are the partial chains that
/// end at the boundary, indexed by the failure domain of their last stage.
static OpenStage openStage(const std::vector<PartialChain> &partialChains, std::uint32_t domain, double secondsToCross)
{
    OpenStage opened;
    for (std::uint32_t before = 0; before < partialChains.size(); ++before) {
        const double seconds = partialChains[before].seconds + (before == domain ? 0 : secondsToCross);
        if (seconds < opened.seconds) {
            opened = {.seconds = seconds, .begin = 0, .domainBefore = before};
        }
    }
    return opened;
}

/// Merges stages of the same candidate, and drops the stages between them: a candidate's range has no gaps, so it can
/// run the layers in between as well.
static void mergeRepeatedOffers(std::vector<SelectedStage> &stages)
{
    for (std::size_t first = 0; first < stages.size(); ++first) {
        for (std::size_t last = stages.size() - 1; last > first; --last) {
            if (stages[last].candidate == stages[first].candidate) {
                stages[first].layers.end = stages[last].layers.end;
                const auto begin = stages.begin() + static_cast<std::ptrdiff_t>(first);
                stages.erase(begin + 1, stages.begin() + static_cast<std::ptrdiff_t>(last) + 1);
                break;
            }
        }
    }
}

std::vector<SelectedStage>
cheapestChain(LayerRange layers, const std::vector<StageCandidate> &candidates, const DomainCrossingCost &crossing)
{
    const std::vector<LayerIndex> boundaries = boundariesWithin(layers, candidates);
    std::uint32_t domains = crossing.firstDomain + 1;
    for (const StageCandidate &candidate : candidates) {
        domains = std::max(domains, candidate.domain + 1);
    }
    std::vector<std::vector<PartialChain>> partialChains(boundaries.size(), std::vector<PartialChain>(domains));
    partialChains.front()[crossing.firstDomain].seconds = 0;
    std::vector<OpenStage> open(candidates.size());
    for (std::size_t i = 0; i + 1 < boundaries.size(); ++i) {
        const LayerRange segment{boundaries[i], boundaries[i + 1]};
        const double secondsToCross = i == 0 ? crossing.secondsToEnter : crossing.secondsBetweenStages;
        for (std::size_t candidate = 0; candidate < candidates.size(); ++candidate) {
            if (!candidates[candidate].layers.contains(segment) || (i == 0 && !candidates[candidate].mayBeFirst)) {
                continue;
            }
            const std::uint32_t domain = candidates[candidate].domain;
            OpenStage opened = openStage(partialChains[i], domain, secondsToCross);
            opened.seconds += candidates[candidate].secondsPerStage;
            if (opened.seconds < open[candidate].seconds) {
                open[candidate] = {.seconds = opened.seconds, .begin = i, .domainBefore = opened.domainBefore};
            }
            open[candidate].seconds += candidates[candidate].secondsPerLayer * segment.size();
            if (PartialChain &partialChain = partialChains[i + 1][domain];
                open[candidate].seconds < partialChain.seconds) {
                partialChain = {.seconds = open[candidate].seconds,
                                .candidate = candidate,
                                .begin = open[candidate].begin,
                                .domainBefore = open[candidate].domainBefore};
            }
        }
    }
    std::vector<SelectedStage> stages;
    const auto cheapest = std::ranges::min_element(partialChains.back(), {}, &PartialChain::seconds);
    if (cheapest->seconds == unreachable) {
        return stages;
    }
    auto domain = static_cast<std::size_t>(cheapest - partialChains.back().begin());
    for (std::size_t end = boundaries.size() - 1; end > 0;) {
        const PartialChain &partialChain = partialChains[end][domain];
        stages.push_back(
            {.candidate = partialChain.candidate, .layers = {boundaries[partialChain.begin], boundaries[end]}});
        end = partialChain.begin;
        domain = partialChain.domainBefore;
    }
    std::ranges::reverse(stages);
    mergeRepeatedOffers(stages);
    return stages;
}

} // namespace Carawaymill
