#include "placement/ChainPlanner.h"

#include "placement/DomainGroups.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <optional>

namespace Carawaymill {

using Targets = std::vector<PlacementTarget>;

namespace {

/// A target and the layers that are assigned to it; empty if none are.
struct Slot
{
    const PlacementTarget *target = nullptr;
    /// Number of layers that the target is assigned at first, which leaves memory as `ChainPlannerOptions` say.
    std::uint32_t preferredLayers = 0;
    /// Number of layers that fit into the target.
    std::uint32_t maximumLayers = 0;
    LayerRange layers;
};

/// The plan of one group of targets for one model.
class GroupPlan
{
public:
    GroupPlan(const Targets &targets,
              const PlacementDemand &demand,
              const PlacementPlan &current,
              const ChainPlannerOptions &options);

    /// Assigns every layer without holder to a target, as far as targets without layers, neighbours of the gap, and
    /// redundant targets allow, in this order.
    void closeGaps();
    /// Assigns the layers with the lowest throughput to targets without layers, as additional copies.
    void replicateSlowestLayers();
    void addTo(PlacementPlan &plan) const;

private:
    [[nodiscard]] std::uint32_t holders(std::uint32_t layer) const;
    [[nodiscard]] std::optional<LayerRange> firstGap(std::uint32_t from) const;
    /// The largest target without layers; null if there is none.
    [[nodiscard]] Slot *largestEmpty();
    /// Assigns the target a range that contains the first layer of the gap.
    void place(Slot &slot, LayerRange gap) const;
    /// The target that can be moved without leaving a gap: all of its layers have another holder. Prefers the smallest
    /// one that takes at least `minimumLayers`. Null if there is none.
    [[nodiscard]] Slot *redundant(std::uint32_t minimumLayers);
    [[nodiscard]] bool isRedundant(const Slot &slot) const;
    /// Number of layers that the targets beside the gap can still load.
    [[nodiscard]] std::uint32_t neighboursCapacity(LayerRange gap);
    /// Extends the ranges beside the gap, in proportion to their free capacity. Can leave a part of the gap open.
    void extendNeighbours(LayerRange gap);
    [[nodiscard]] Slot *neighbour(LayerIndex boundary, bool below);
    [[nodiscard]] double rateAt(std::uint32_t layer) const;
    /// The range of `size` layers with the lowest throughput, among those that begin at a layer from `from` to `to`.
    [[nodiscard]] LayerRange slowest(std::uint32_t size, std::uint32_t from, std::uint32_t to) const;

    PlacementDemand m_demand;
    std::vector<Slot> m_slots;
};

/// Number of layers that leave room for the KV cache of some requests, and for layers of a neighbour that fails.
static std::uint32_t
preferredLayers(const PlacementTarget &target, const PlacementDemand &demand, const ChainPlannerOptions &options)
{
    const auto memory = static_cast<double>(target.memory.value());
    const auto layer = static_cast<double>(demand.bytesPerLayer.value());
    const double requests = demand.concurrency * options.cachedConcurrencyFraction;
    const double cache = requests * static_cast<double>(demand.cacheBytesPerLayer.value());
    return static_cast<std::uint32_t>(
        std::min(memory * options.weightMemoryFraction / layer, memory / (layer + cache)));
}

GroupPlan::GroupPlan(const Targets &targets,
                     const PlacementDemand &demand,
                     const PlacementPlan &current,
                     const ChainPlannerOptions &options)
    : m_demand(demand)
{
    for (const PlacementTarget &target : targets) {
        Slot slot{
            .target = &target, .preferredLayers = 0, .maximumLayers = layersThatFit(target, demand), .layers = {}};
        slot.preferredLayers =
            std::clamp(preferredLayers(target, demand, options), std::min(1U, slot.maximumLayers), slot.maximumLayers);
        const auto held = current.find(target.id);
        const bool keeps =
            held != current.end() && matches(demand, held->second) && held->second.layers.end.value() <= demand.layers;
        if (keeps && held->second.layers.size() <= slot.maximumLayers) {
            slot.layers = held->second.layers;
        }
        if (slot.maximumLayers > 0) {
            m_slots.push_back(slot);
        }
    }
    // Sort so that the plan does not depend on the order of the targets.
    std::ranges::sort(m_slots, [](const Slot &left, const Slot &right) {
        return left.maximumLayers != right.maximumLayers ? left.maximumLayers > right.maximumLayers
                                                         : left.target->id < right.target->id;
    });
}

std::uint32_t GroupPlan::holders(std::uint32_t layer) const
{
    return static_cast<std::uint32_t>(
        std::ranges::count_if(m_slots, [&](const Slot &slot) { return slot.layers.contains(LayerIndex(layer)); }));
}

std::optional<LayerRange> GroupPlan::firstGap(std::uint32_t from) const
{
    std::uint32_t first = from;
    while (first < m_demand.layers && holders(first) > 0) {
        ++first;
    }
    if (first >= m_demand.layers) {
        return std::nullopt;
    }
    std::uint32_t end = first;
    while (end < m_demand.layers && holders(end) == 0) {
        ++end;
    }
    return LayerRange{LayerIndex(first), LayerIndex(end)};
}

Slot *GroupPlan::largestEmpty()
{
    const auto found = std::ranges::find_if(m_slots, [](const Slot &slot) { return slot.layers.empty(); });
    return found == m_slots.end() ? nullptr : &*found;
}

void GroupPlan::place(Slot &slot, LayerRange gap) const
{
    // If the range is larger than the gap, it also covers layers beside the gap.
    const std::uint32_t first = gap.first.value();
    const std::uint32_t more = slot.preferredLayers > gap.size() ? slot.preferredLayers - gap.size() : 0;
    slot.layers = {};
    slot.layers = slowest(slot.preferredLayers, first - std::min(first, more), first);
}

bool GroupPlan::isRedundant(const Slot &slot) const
{
    for (std::uint32_t layer = slot.layers.first.value(); layer < slot.layers.end.value(); ++layer) {
        if (holders(layer) < 2) {
            return false;
        }
    }
    return !slot.layers.empty();
}

Slot *GroupPlan::redundant(std::uint32_t minimumLayers)
{
    Slot *best = nullptr;
    for (Slot &slot : m_slots) {
        if (isRedundant(slot)
            && (best == nullptr
                || (slot.preferredLayers < best->preferredLayers && slot.preferredLayers >= minimumLayers))) {
            best = &slot;
        }
    }
    return best;
}

void GroupPlan::closeGaps()
{
    for (std::uint32_t from = 0; const auto gap = firstGap(from);) {
        if (Slot *free = largestEmpty()) {
            place(*free, *gap);
        } else if (neighboursCapacity(*gap) >= gap->size()) {
            extendNeighbours(*gap);
        } else if (Slot *moved = redundant(gap->size())) {
            place(*moved, *gap);
        } else {
            extendNeighbours(*gap);
            from = gap->end.value();
        }
    }
}

std::uint32_t GroupPlan::neighboursCapacity(LayerRange gap)
{
    std::uint32_t capacity = 0;
    for (const Slot *slot : {neighbour(gap.first, true), neighbour(gap.end, false)}) {
        capacity += slot != nullptr ? slot->maximumLayers - slot->layers.size() : 0;
    }
    return capacity;
}

/// The target with the most free capacity whose range ends (`below`) or begins at the boundary. Null if there is none.
Slot *GroupPlan::neighbour(LayerIndex boundary, bool below)
{
    Slot *best = nullptr;
    for (Slot &slot : m_slots) {
        const bool adjoins = !slot.layers.empty() && (below ? slot.layers.end : slot.layers.first) == boundary;
        if (adjoins
            && (best == nullptr
                || slot.maximumLayers - slot.layers.size() > best->maximumLayers - best->layers.size())) {
            best = &slot;
        }
    }
    return best;
}

void GroupPlan::extendNeighbours(LayerRange gap)
{
    Slot *below = neighbour(gap.first, true);
    Slot *above = neighbour(gap.end, false);
    const std::uint32_t capacityBelow = below != nullptr ? below->maximumLayers - below->layers.size() : 0;
    const std::uint32_t capacityAbove = above != nullptr ? above->maximumLayers - above->layers.size() : 0;
    if (capacityBelow + capacityAbove == 0) {
        return;
    }
    const double shareBelow = static_cast<double>(capacityBelow) / (capacityBelow + capacityAbove);
    auto growBelow = static_cast<std::uint32_t>(std::lround(shareBelow * gap.size()));
    growBelow = std::min({growBelow, capacityBelow, gap.size()});
    const std::uint32_t growAbove = std::min(capacityAbove, gap.size() - growBelow);
    if (below != nullptr) {
        below->layers.end = LayerIndex(below->layers.end.value() + growBelow);
    }
    if (above != nullptr) {
        above->layers.first = LayerIndex(above->layers.first.value() - growAbove);
    }
}

/// Tokens per second that the holders of the layer can run, if each of them runs all of its layers for every token.
double GroupPlan::rateAt(std::uint32_t layer) const
{
    double rate = 0;
    for (const Slot &slot : m_slots) {
        if (slot.layers.contains(LayerIndex(layer))) {
            rate += slot.target->layerTokensPerSecond / slot.layers.size();
        }
    }
    return rate;
}

LayerRange GroupPlan::slowest(std::uint32_t size, std::uint32_t from, std::uint32_t to) const
{
    std::vector<double> rates;
    for (std::uint32_t layer = 0; layer < m_demand.layers; ++layer) {
        rates.push_back(rateAt(layer));
    }
    const std::uint32_t last = m_demand.layers - size;
    std::uint32_t best = std::min(to, last);
    double lowestRate = std::numeric_limits<double>::max();
    for (std::uint32_t first = std::min(from, last); first <= std::min(to, last); ++first) {
        const double rate = std::accumulate(rates.begin() + first, rates.begin() + first + size, 0.0);
        if (rate < lowestRate) {
            lowestRate = rate;
            best = first;
        }
    }
    return {LayerIndex(best), LayerIndex(best + size)};
}

void GroupPlan::replicateSlowestLayers()
{
    while (Slot *free = largestEmpty()) {
        free->layers = slowest(free->preferredLayers, 0, m_demand.layers);
    }
}

void GroupPlan::addTo(PlacementPlan &plan) const
{
    for (const Slot &slot : m_slots) {
        if (!slot.layers.empty()) {
            plan[slot.target->id] = {m_demand.model, m_demand.version, m_demand.adapter, slot.layers};
        }
    }
}

} // namespace

PlacementPlan ChainPlanner::plan(const Targets &targets,
                                 const std::vector<PlacementDemand> &demands,
                                 const PlacementPlan &current) const
{
    PlacementPlan plan;
    if (demands.empty() || targets.empty()) {
        return plan;
    }
    const PlacementDemand &demand = demands.front();
    for (const Targets &group : groupByFailureDomain(targets, demands)) {
        GroupPlan groupPlan(group, demand, current, m_options);
        groupPlan.closeGaps();
        groupPlan.replicateSlowestLayers();
        groupPlan.addTo(plan);
    }
    // A layer without any holder stops all requests, so closing such a gap takes precedence over chains within one
    // failure domain.
    GroupPlan acrossDomains(targets, demand, plan, m_options);
    acrossDomains.closeGaps();
    acrossDomains.addTo(plan);
    return plan;
}

} // namespace Carawaymill
