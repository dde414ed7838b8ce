#include "placement/PlacementWorkspace.h"

#include <algorithm>
#include <numeric>

namespace Carawaymill {

PlacementWorkspace::PlacementWorkspace(const std::vector<PlacementTarget> &targets,
                                       const std::vector<PlacementDemand> &demands)
    : m_targets(targets)
    , m_demands(demands)
    , m_slots(targets.size())
{
    std::map<FailureDomainId, std::size_t> numbers;
    double speed = 0;
    for (const PlacementTarget &target : targets) {
        m_failureDomains.push_back(numbers.try_emplace(target.failureDomain, numbers.size()).first->second);
        speed += target.layerTokensPerSecond;
    }
    double totalDemand = 0;
    for (const PlacementDemand &demand : demands) {
        totalDemand += demand.tokensPerSecond * demand.layers;
    }
    for (const PlacementDemand &demand : demands) {
        const double even = speed > 0 ? speed * demand.tokensPerSecond / totalDemand : 1;
        m_capacities.emplace_back(demand.layers, numbers.size(), even);
    }
}

double PlacementWorkspace::speedPerLayer(std::size_t target, std::size_t demand, std::uint32_t layers) const
{
    return std::min(m_targets[target].layerTokensPerSecond / layers,
                    linkTokensPerSecond(m_targets[target], m_demands[demand]));
}

std::vector<double> PlacementWorkspace::gainsOf(std::size_t target, std::size_t demand, std::uint32_t layers) const
{
    auto gains = m_capacities[demand].gains(m_failureDomains[target], speedPerLayer(target, demand, layers));
    // Weighted by demand, so that the best placement gives each model capacity in proportion to its demand.
    for (double &gain : gains) {
        gain *= m_demands[demand].tokensPerSecond;
    }
    return gains;
}

void PlacementWorkspace::assign(std::size_t target, const PlacementSlot &slot)
{
    m_capacities[slot.demand].add(
        slot.layers, m_failureDomains[target], speedPerLayer(target, slot.demand, slot.layers.size()));
    m_slots[target] = slot;
}

std::optional<PlacementSlot> PlacementWorkspace::unassign(std::size_t target)
{
    std::optional<PlacementSlot> slot;
    std::swap(slot, m_slots[target]);
    if (slot) {
        m_capacities[slot->demand].remove(
            slot->layers, m_failureDomains[target], speedPerLayer(target, slot->demand, slot->layers.size()));
    }
    return slot;
}

std::optional<PlacementSlot> PlacementWorkspace::bestSlot(std::size_t target,
                                                          const std::optional<PlacementSlot> &kept) const
{
    std::optional<PlacementSlot> found;
    for (std::size_t demand = 0; demand < m_demands.size(); ++demand) {
        const std::uint32_t size = layersThatFit(m_targets[target], m_demands[demand]);
        if (size == 0 || (kept && kept->demand != demand)) {
            continue;
        }
        const std::vector<double> gains = gainsOf(target, demand, size);
        double gain = std::accumulate(gains.begin(), gains.begin() + size, 0.0);
        for (std::uint32_t first = 0; first + size <= gains.size(); ++first) {
            const LayerRange layers{LayerIndex(first), LayerIndex(first + size)};
            if ((!kept || layers.contains(kept->layers)) && (!found || gain > found->gain * (1 + 1e-9))) {
                found = PlacementSlot{.demand = demand, .layers = layers, .gain = gain};
            }
            if (first + size < gains.size()) {
                gain += gains[first + size] - gains[first];
            }
        }
    }
    return found;
}

double PlacementWorkspace::gain(std::size_t target, const PlacementSlot &slot) const
{
    const std::vector<double> gains = gainsOf(target, slot.demand, slot.layers.size());
    return std::accumulate(gains.begin() + slot.layers.first.value(), gains.begin() + slot.layers.end.value(), 0.0);
}

bool PlacementWorkspace::complete() const
{
    return std::all_of(
        m_capacities.begin(), m_capacities.end(), [](const LayerCapacity &capacity) { return capacity.complete(); });
}

PlacementPlan PlacementWorkspace::plan() const
{
    PlacementPlan plan;
    for (std::size_t target = 0; target < m_targets.size(); ++target) {
        if (const auto &slot = m_slots[target]) {
            const PlacementDemand &demand = m_demands[slot->demand];
            plan[m_targets[target].id] = {
                .model = demand.model, .version = demand.version, .adapter = demand.adapter, .layers = slot->layers};
        }
    }
    return plan;
}

} // namespace Carawaymill
