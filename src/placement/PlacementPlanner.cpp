#include "placement/PlacementPlanner.h"

#include "placement/MaximumFlow.h"
#include "placement/PlacementWorkspace.h"

#include <algorithm>

namespace Carawaymill {

using Positions = std::vector<std::size_t>;

/// Loading time that halves the gain of a move, in seconds.
static constexpr double gainHalvingLoadSeconds = 10;

/// The slot of the target's current layers; empty if there is no demand for them or they do not fit.
static std::optional<PlacementSlot>
currentSlot(const PlacementTarget &target, const std::vector<PlacementDemand> &demands, const PlacementPlan &current)
{
    const auto held = current.find(target.id);
    if (held == current.end() || held->second.layers.empty()) {
        return std::nullopt;
    }
    for (std::size_t demand = 0; demand < demands.size(); ++demand) {
        const LayerRange layers = held->second.layers;
        if (matches(demands[demand], held->second) && layers.end.value() <= demands[demand].layers
            && layers.size() <= layersThatFit(target, demands[demand])) {
            return PlacementSlot{.demand = demand, .layers = layers};
        }
    }
    return std::nullopt;
}

static void assignFreeTargets(PlacementWorkspace &workspace, const Positions &free, std::uint32_t passes)
{
    for (std::uint32_t pass = 0; pass < passes; ++pass) {
        for (const std::size_t target : free) {
            workspace.unassign(target);
            if (const auto slot = workspace.bestSlot(target)) {
                workspace.assign(target, *slot);
            }
        }
    }
}

/// Discounts a gain by the time that it takes to load the layers over the target's link.
static double discounted(double gain, const PlacementTarget &target, const PlacementDemand &demand, LayerRange layers)
{
    if (target.linkBytesPerSecond <= 0) {
        return gain;
    }
    const auto bytes = static_cast<double>(demand.bytesPerLayer.value() * layers.size());
    return gain / (1 + bytes / target.linkBytesPerSecond / gainHalvingLoadSeconds);
}

static void moveTargets(PlacementWorkspace &workspace,
                        const Positions &placed,
                        const std::vector<PlacementTarget> &targets,
                        const std::vector<PlacementDemand> &demands,
                        const PlacementPlannerOptions &options)
{
    for (std::uint32_t move = 0; move < options.maximumMoves; ++move) {
        double mostGained = 0;
        std::optional<std::pair<std::size_t, PlacementSlot>> chosen;
        for (const std::size_t target : placed) {
            const auto present = workspace.unassign(target);
            if (!present) {
                continue;
            }
            const double presentGain = workspace.gain(target, *present);
            const auto better = workspace.bestSlot(target);
            workspace.assign(target, *present);
            if (!better || better->gain <= presentGain * options.moveThreshold) {
                continue;
            }
            if (const double gained =
                    discounted(better->gain - presentGain, targets[target], demands[better->demand], better->layers);
                gained > mostGained) {
                mostGained = gained;
                chosen = {target, *better};
            }
        }
        if (!chosen) {
            return;
        }
        workspace.unassign(chosen->first);
        workspace.assign(chosen->first, chosen->second);
    }
}

/// Sorts targets with more memory first, since those with little memory fit into the gaps that remain.
static void sortByMemory(Positions &positions, const std::vector<PlacementTarget> &targets)
{
    std::sort(positions.begin(), positions.end(), [&](std::size_t left, std::size_t right) {
        const auto &[a, b] = std::tie(targets[left], targets[right]);
        return a.layerMemory != b.layerMemory ? a.layerMemory > b.layerMemory : a.id < b.id;
    });
}

PlacementPlanner::PlacementPlanner(PlacementPlannerOptions options)
    : m_options(options)
{
}

PlacementPlan PlacementPlanner::plan(const std::vector<PlacementTarget> &targets,
                                     const std::vector<PlacementDemand> &demands,
                                     const PlacementPlan &current) const
{
    PlacementWorkspace workspace(targets, demands);
    Positions all;
    Positions placed;
    Positions free;
    for (std::size_t target = 0; target < targets.size(); ++target) {
        all.push_back(target);
        if (const auto slot = currentSlot(targets[target], demands, current)) {
            placed.push_back(target);
            workspace.assign(target, *slot);
        } else {
            free.push_back(target);
        }
    }
    sortByMemory(all, targets);
    sortByMemory(free, targets);
    for (const std::size_t target : placed) {
        // A target that holds fewer layers than fit keeps them and is assigned adjoining ones in addition.
        const auto kept = workspace.unassign(target);
        workspace.assign(target, workspace.bestSlot(target, kept).value_or(*kept));
    }
    assignFreeTargets(workspace, free, m_options.passes);
    moveTargets(workspace, placed, targets, demands, m_options);
    if (!workspace.complete() && !placed.empty()) {
        // The held layers prevent a complete model. Restoring service takes precedence over the limit on moves, so plan
        // again without them.
        PlacementWorkspace fresh(targets, demands);
        assignFreeTargets(fresh, all, m_options.passes);
        if (fresh.complete()) {
            return fresh.plan();
        }
    }
    return workspace.plan();
}

PlacementPlan equalSplitPlan(const std::vector<PlacementTarget> &targets, const PlacementDemand &demand)
{
    std::uint32_t size = demand.layers;
    for (const PlacementTarget &target : targets) {
        size = std::min(size, layersThatFit(target, demand));
    }
    PlacementPlan plan;
    if (size == 0) {
        return plan;
    }
    const std::uint32_t parts = (demand.layers + size - 1) / size;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const auto part = static_cast<std::uint32_t>(i % parts);
        const LayerRange layers{LayerIndex(part * demand.layers / parts),
                                LayerIndex((part + 1) * demand.layers / parts)};
        plan[targets[i].id] = {demand.model, demand.version, demand.adapter, layers};
    }
    return plan;
}

double
throughputBound(const std::vector<PlacementTarget> &targets, const PlacementDemand &demand, const PlacementPlan &plan)
{
    std::vector<FlowTarget> flows;
    for (const PlacementTarget &target : targets) {
        if (const auto held = plan.find(target.id); held != plan.end() && matches(demand, held->second)) {
            flows.push_back({.layerTokensPerSecond = target.layerTokensPerSecond,
                             .linkTokensPerSecond = linkTokensPerSecond(target, demand),
                             .layers = held->second.layers});
        }
    }
    return throughputBound(flows, demand.layers);
}

double hardwareBound(const std::vector<PlacementTarget> &targets, const PlacementDemand &demand)
{
    std::vector<FlowTarget> flows;
    for (const PlacementTarget &target : targets) {
        const double link = linkTokensPerSecond(target, demand);
        const double maximumByLink = link * layersThatFit(target, demand);
        flows.push_back({.layerTokensPerSecond = std::min(target.layerTokensPerSecond, maximumByLink),
                         .linkTokensPerSecond = link,
                         .layers = {LayerIndex(0), LayerIndex(demand.layers)}});
    }
    return throughputBound(flows, demand.layers);
}

} // namespace Carawaymill
