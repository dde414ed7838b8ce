#pragma once

#include "placement/PlacementMessages.h"
#include "routing/ChainRouter.h"

#include <vector>

namespace Carawaymill {

/// Targets of 7 kinds of accelerators, on links that differ a hundredfold, in three failure domains.
[[nodiscard]] std::vector<PlacementTarget> mixedFleet(std::size_t count, std::uint64_t seed);

/// A model of 48 layers of 500 MB, with activations of 16 KiB.
[[nodiscard]] PlacementDemand largeModel();

/// What a router is told of a target under a plan.
[[nodiscard]] TargetSpeed routingSpeed(const PlacementTarget &target);
[[nodiscard]] std::vector<HeldRange> heldRanges(const PlacementTarget &target, const PlacementPlan &plan);

} // namespace Carawaymill
