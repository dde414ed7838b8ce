#pragma once

#include "placement/LayerCapacity.h"
#include "placement/PlacementMessages.h"

#include <map>
#include <optional>
#include <vector>

namespace Carawaymill {

/// Layers that can be assigned to a target, of the model at position `demand` of the demands.
struct PlacementSlot
{
    std::size_t demand = 0;
    LayerRange layers;
    /// Increase of the value of the placement by this slot.
    double gain = 0;
};

/// A plan under construction: the capacity of every layer, and the slot of each target.
class PlacementWorkspace
{
public:
    PlacementWorkspace(const std::vector<PlacementTarget> &targets, const std::vector<PlacementDemand> &demands);

    /// Assigns the slot to the target at position `target`.
    void assign(std::size_t target, const PlacementSlot &slot);

    /// Removes the target's slot and returns it; empty if it had none.
    std::optional<PlacementSlot> unassign(std::size_t target);

    /// The slot with the largest gain for a target without slot. It contains the layers of `kept`, if given. Empty if
    /// no layers fit.
    [[nodiscard]] std::optional<PlacementSlot> bestSlot(std::size_t target,
                                                        const std::optional<PlacementSlot> &kept = std::nullopt) const;

    /// The gain that the slot would have now, for a target without slot.
    [[nodiscard]] double gain(std::size_t target, const PlacementSlot &slot) const;

    /// Whether every layer of every demanded model is assigned to a target.
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
