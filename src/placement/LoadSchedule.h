#pragma once

#include "placement/PlacementMessages.h"

#include <optional>
#include <string>
#include <vector>

namespace Carawaymill {

/// Why layers are loaded, the most urgent first.
enum class LoadReason {
    /// No target holds or is loading them, so the model cannot run.
    RestoresService,
    /// All of their holders are in the same failure domain.
    SecondFailureDomain,
    /// They increase the throughput of the model.
    Capacity,
};

[[nodiscard]] std::string describe(LoadReason reason);

/// Which layers of a target an order names.
enum class OrderForm {
    /// The ranges to load, and those to unload to free memory for them.
    Incremental,
    /// The single range that the target holds after the order: all layers outside of it are unloaded.
    CompleteRange,
};

/// The next loads and unloads of one target.
struct LoadStep
{
    TargetId target;
    LoadReason reason = LoadReason::Capacity;
    /// Layers that are equally urgent; less urgent ones of the same target follow in a later step. With
    /// `OrderForm::CompleteRange` all layers that the target is to hold.
    std::vector<ModelLayers> loads;
    /// Layers to unload to free memory for the loads, or those outside of the complete range. Other layers that are not
    /// in the plan stay loaded as additional copies.
    std::vector<ModelLayers> unloads;
};

/// A target whose state has been read.
struct ScheduledEngine
{
    PlacementTarget target;
    /// Must include in `loading` the layers that were ordered to be loaded and that the read state does not show yet.
    EngineState state;
    /// Whether an order can be sent to the engine now. If not, its layers are only counted as held.
    bool canReceiveOrder = true;
};

/// The steps that lead from the layers that the engines hold to the plan, the most urgent first.
///
/// The last holder of a layer never unloads it, unless the memory is needed for a layer without any holder. Of several
/// targets that could load equally urgent layers, the one with the fastest link comes first. At most `maximumSteps`
/// steps are returned.
[[nodiscard]] std::vector<LoadStep> scheduleLoads(const std::vector<ScheduledEngine> &engines,
                                                  const std::vector<PlacementDemand> &demands,
                                                  const PlacementPlan &plan,
                                                  std::size_t maximumSteps,
                                                  OrderForm form = OrderForm::Incremental);

} // namespace Carawaymill
