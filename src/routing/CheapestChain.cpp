#include "routing/CheapestChain.h"

#include <algorithm>
#include <limits>

namespace Carawaymill {

static constexpr double unreachable = std::numeric_limits<double>::infinity();

namespace {

/// The cheapest way to have run all layers before a boundary.
struct Arrival
{
    double seconds = unreachable;
    std::size_t offer = 0;
    /// Boundary at which the last stage began.
    std::size_t begin = 0;
};

/// The cheapest way to be at the current boundary with the offer's stage still open.
struct OpenStage
{
    double seconds = unreachable;
    std::size_t begin = 0;
};

} // namespace

static std::vector<LayerIndex> boundariesWithin(LayerRange layers, const std::vector<StageOffer> &offers)
{
    std::vector<LayerIndex> boundaries{layers.first, layers.end};
    for (const StageOffer &offer : offers) {
        for (const LayerIndex boundary : {offer.layers.first, offer.layers.end}) {
            if (layers.contains(boundary)) {
                boundaries.push_back(boundary);
            }
        }
    }
    std::sort(boundaries.begin(), boundaries.end());
    boundaries.erase(std::unique(boundaries.begin(), boundaries.end()), boundaries.end());
    return boundaries;
}

std::vector<OfferedStage> cheapestChain(LayerRange layers, const std::vector<StageOffer> &offers)
{
    const std::vector<LayerIndex> boundaries = boundariesWithin(layers, offers);
    std::vector<Arrival> arrivals(boundaries.size());
    arrivals.front().seconds = 0;
    std::vector<OpenStage> open(offers.size());
    for (std::size_t i = 0; i + 1 < boundaries.size(); ++i) {
        const LayerRange segment{boundaries[i], boundaries[i + 1]};
        for (std::size_t offer = 0; offer < offers.size(); ++offer) {
            if (!offers[offer].layers.contains(segment)) {
                continue;
            }
            if (const double entered = arrivals[i].seconds + offers[offer].secondsPerStage;
                entered < open[offer].seconds) {
                open[offer] = {.seconds = entered, .begin = i};
            }
            open[offer].seconds += offers[offer].secondsPerLayer * segment.size();
            if (open[offer].seconds < arrivals[i + 1].seconds) {
                arrivals[i + 1] = {.seconds = open[offer].seconds, .offer = offer, .begin = open[offer].begin};
            }
        }
    }
    std::vector<OfferedStage> stages;
    if (arrivals.back().seconds == unreachable) {
        return stages;
    }
    for (std::size_t end = boundaries.size() - 1; end > 0; end = arrivals[end].begin) {
        stages.push_back({.offer = arrivals[end].offer, .layers = {boundaries[arrivals[end].begin], boundaries[end]}});
    }
    std::reverse(stages.begin(), stages.end());
    return stages;
}

} // namespace Carawaymill
