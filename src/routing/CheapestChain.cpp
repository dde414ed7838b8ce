#include "routing/CheapestChain.h"

#include <algorithm>
#include <limits>

namespace Carawaymill {

static constexpr double unreachable = std::numeric_limits<double>::infinity();

namespace {

/// The cheapest way to have run all layers before a boundary, with the last stage in one failure domain.
struct Arrival
{
    double seconds = unreachable;
    std::size_t offer = 0;
    /// Boundary at which the last stage began, and the domain of the stage before that.
    std::size_t begin = 0;
    std::uint32_t domainBefore = 0;
};

/// The cheapest way to be at the current boundary with the offer's stage still open.
struct OpenStage
{
    double seconds = unreachable;
    std::size_t begin = 0;
    std::uint32_t domainBefore = 0;
};

} // namespace

static std::vector<LayerIndex> boundariesWithin(LayerRange layers, const std::vector<StageCandidate> &offers)
{
    std::vector<LayerIndex> boundaries{layers.first, layers.end};
    for (const StageCandidate &offer : offers) {
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

/// The cheapest way to begin a stage in `domain` at a boundary; `arrivals` are those of the boundary, by domain.
static OpenStage openStage(const std::vector<Arrival> &arrivals, std::uint32_t domain, double secondsToCross)
{
    OpenStage opened;
    for (std::uint32_t before = 0; before < arrivals.size(); ++before) {
        const double seconds = arrivals[before].seconds + (before == domain ? 0 : secondsToCross);
        if (seconds < opened.seconds) {
            opened = {.seconds = seconds, .begin = 0, .domainBefore = before};
        }
    }
    return opened;
}

/// An offer that is used again after a gap runs the layers in between as well, since its range has no gap.
static void mergeRepeatedOffers(std::vector<SelectedStage> &stages)
{
    for (std::size_t first = 0; first < stages.size(); ++first) {
        for (std::size_t last = stages.size() - 1; last > first; --last) {
            if (stages[last].offer == stages[first].offer) {
                stages[first].layers.end = stages[last].layers.end;
                const auto begin = stages.begin() + static_cast<std::ptrdiff_t>(first);
                stages.erase(begin + 1, stages.begin() + static_cast<std::ptrdiff_t>(last) + 1);
                break;
            }
        }
    }
}

std::vector<SelectedStage>
cheapestChain(LayerRange layers, const std::vector<StageCandidate> &offers, const DomainCrossingCost &crossing)
{
    const std::vector<LayerIndex> boundaries = boundariesWithin(layers, offers);
    std::uint32_t domains = crossing.firstDomain + 1;
    for (const StageCandidate &offer : offers) {
        domains = std::max(domains, offer.domain + 1);
    }
    std::vector<std::vector<Arrival>> arrivals(boundaries.size(), std::vector<Arrival>(domains));
    arrivals.front()[crossing.firstDomain].seconds = 0;
    std::vector<OpenStage> open(offers.size());
    for (std::size_t i = 0; i + 1 < boundaries.size(); ++i) {
        const LayerRange segment{boundaries[i], boundaries[i + 1]};
        const double secondsToCross = i == 0 ? crossing.secondsToEnter : crossing.secondsBetweenStages;
        for (std::size_t offer = 0; offer < offers.size(); ++offer) {
            if (!offers[offer].layers.contains(segment)) {
                continue;
            }
            const std::uint32_t domain = offers[offer].domain;
            OpenStage opened = openStage(arrivals[i], domain, secondsToCross);
            opened.seconds += offers[offer].secondsPerStage;
            if (opened.seconds < open[offer].seconds) {
                open[offer] = {.seconds = opened.seconds, .begin = i, .domainBefore = opened.domainBefore};
            }
            open[offer].seconds += offers[offer].secondsPerLayer * segment.size();
            if (Arrival &arrival = arrivals[i + 1][domain]; open[offer].seconds < arrival.seconds) {
                arrival = {.seconds = open[offer].seconds,
                           .offer = offer,
                           .begin = open[offer].begin,
                           .domainBefore = open[offer].domainBefore};
            }
        }
    }
    std::vector<SelectedStage> stages;
    const auto cheapest = std::ranges::min_element(arrivals.back(), {}, &Arrival::seconds);
    if (cheapest->seconds == unreachable) {
        return stages;
    }
    auto domain = static_cast<std::size_t>(cheapest - arrivals.back().begin());
    for (std::size_t end = boundaries.size() - 1; end > 0;) {
        const Arrival &arrival = arrivals[end][domain];
        stages.push_back({.offer = arrival.offer, .layers = {boundaries[arrival.begin], boundaries[end]}});
        end = arrival.begin;
        domain = arrival.domainBefore;
    }
    std::ranges::reverse(stages);
    mergeRepeatedOffers(stages);
    return stages;
}

} // namespace Carawaymill
