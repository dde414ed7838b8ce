#pragma once

#include "placement/LayerCapacity.h"
#include "placement/PlacementMessages.h"

#include <map>
#include <optional>
#include <vector>

namespace Carawaymill {

/// A place for one target: layers of the wanted model at position `demand`.
struct PlacementSlot
{
    std::size_t demand = 0;
    LayerRange layers;
    /// What the place adds to the value of the placement.
    double gain = 0;
};

/// A plan in the making: the capacity of every layer, and where each target stands.
class PlacementWorkspace
{
public:
    PlacementWorkspace(const std::vector<PlacementTarget> &targets, const std::vector<PlacementDemand> &demands);

    /// Puts the target at position `target` into the slot.
    void put(std::size_t target, const PlacementSlot &slot);

    /// Takes the target out; empty when it had no place.
    std::optional<PlacementSlot> take(std::size_t target);

    /// The most valuable slot for a target that has none, which must contain `kept` when given. Empty when nothing
    /// fits.
    [[nodiscard]] std::optional<PlacementSlot> best(std::size_t target,
                                                    const std::optional<PlacementSlot> &kept = std::nullopt) const;

    /// What the slot would add now, for a target that has none.
    [[nodiscard]] double gain(std::size_t target, const PlacementSlot &slot) const;

    /// Whether every layer of every wanted model has a holder.
    [[nodiscard]] bool complete() const;

    [[nodiscard]] PlacementPlan plan() const;

private:
    [[nodiscard]] std::vector<double> gainsOf(std::size_t target, std::size_t demand, std::uint32_t layers) const;
    [[nodiscard]] double speedPerLayer(std::size_t target, std::size_t demand, std::uint32_t layers) const;

    const std::vector<PlacementTarget> &m_targets;
    const std::vector<PlacementDemand> &m_demands;
    std::vector<std::size_t> m_failureDomains;
    std::vector<LayerCapacity> m_capacities;
    std::vector<std::optional<PlacementSlot>> m_slots;
};

} // namespace Carawaymill
