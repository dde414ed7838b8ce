#pragma once

#include "placement/PlacementMessages.h"

#include <optional>
#include <string>
#include <vector>

namespace Carawaymill {

/// Why layers are loaded, the most urgent first.
enum class LoadReason {
    /// Nobody holds or loads them: the model can't run.
    RestoresService,
    /// All their holders share a failure domain.
    SecondFailureDomain,
    /// They make the model faster.
    Capacity,
};

[[nodiscard]] std::string describe(LoadReason reason);

/// What an order says of the layers of a target.
enum class OrderForm {
    /// The ranges to load, and those to drop for them.
    Incremental,
    /// The one range that the target holds from then on: everything outside of it is dropped.
    CompleteRange,
};

/// What one target is to do next.
struct LoadStep
{
    TargetId target;
    LoadReason reason = LoadReason::Capacity;
    /// Layers that are equally urgent; less urgent ones of the same target follow in a later step. With
    /// `OrderForm::CompleteRange` all layers that the target is to hold.
    std::vector<ModelLayers> loads;
    /// What makes room for them, or lies outside of the whole range. Layers that are not in the way stay as spares.
    std::vector<ModelLayers> unloads;
};

/// A target whose real state is known.
struct ScheduledEngine
{
    PlacementTarget target;
    /// Loads that were ordered and are not yet seen in the state are to be added to `loading`.
    EngineState state;
    /// Whether it may be given an order now. The others count as holders only.
    bool canReceiveOrder = true;
};

/// The steps from what the engines hold to the plan, the most urgent first.
///
/// The last holder of a layer never drops it, unless a layer that nobody holds needs the room. Of several targets that
/// could load equally urgent layers the one with the fastest link comes first. At most `most` steps are returned.
[[nodiscard]] std::vector<LoadStep> scheduleLoads(const std::vector<ScheduledEngine> &engines,
                                                  const std::vector<PlacementDemand> &demands,
                                                  const PlacementPlan &plan,
                                                  std::size_t most,
                                                  OrderForm form = OrderForm::Incremental);

} // namespace Carawaymill
