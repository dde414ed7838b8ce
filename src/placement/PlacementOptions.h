#pragma once

#include "placement/ChainPlanner.h"
#include "placement/EngineOrders.h"
#include "placement/LoadSchedule.h"
#include "placement/PlacementPlanner.h"
#include "support/Time.h"

#include <cstdint>
#include <variant>

namespace Carawaymill {

struct PlacementControllerOptions
{
    PlacementScope scope;
    /// Which planner is used: `PlacementPlanner` maximises throughput, `ChainPlanner` builds chains within failure
    /// domains.
    std::variant<PlacementPlannerOptions, ChainPlannerOptions> planner;
    /// Maximum validity period of an order.
    Duration orderValidity = std::chrono::seconds(2);
    /// Minimum time between the end of an order's validity and the end of the lease. Covers clock drift and a write
    /// that is delayed in the network.
    Duration leaseMargin = std::chrono::milliseconds(500);
    /// Time after acquiring the lease in which no orders are sent to engines that neither check fencing numbers nor
    /// count their orders. By its end the former lease holder's last order has either arrived or expired.
    Duration formerHolderGracePeriod = std::chrono::seconds(3);
    /// Time between two reads of an engine's state; a tenth of it while the engine is loading.
    Duration stateReadInterval = std::chrono::seconds(10);
    /// Timeout of a read, after which it is repeated.
    Duration stateReadTimeout = std::chrono::seconds(2);
    /// Maximum number of reads per second over all engines of the scope.
    double stateReadsPerSecond = 50;
    /// How long a new lease holder waits for the states of all engines before it plans without the missing ones.
    Duration initialReadTimeout = std::chrono::seconds(6);
    /// While the targets do not hold complete models yet, planning waits until no target was added or changed for this
    /// time.
    Duration arrivalQuietPeriod{};
    /// Maximum age of the state that an engine reports.
    Duration stateReportLag{};
    /// A target that is missing from the list for this time counts as lost.
    Duration targetLossGracePeriod = std::chrono::seconds(2);
    /// If more than this fraction of the targets is missing, the fault is probably in what this host sees, and
    /// `massLossGracePeriod` applies instead of `targetLossGracePeriod`.
    double massLossFraction = 0.6;
    /// Time after which missing targets count as lost if more than `massLossFraction` of the targets is missing.
    Duration massLossGracePeriod = std::chrono::seconds(30);
    /// Minimum time between two passes that read states, plan, and send orders.
    Duration decisionInterval = std::chrono::milliseconds(50);
    /// Minimum time between two plans.
    Duration planInterval = std::chrono::seconds(1);
    /// Maximum number of targets that load at the same time. The weight store is rate-limited, so more concurrent loads
    /// would delay the most urgent ones.
    std::uint32_t concurrentLoads = 4;
    /// `CompleteRange` is for engines that can hold only a single range of layers.
    OrderForm orderForm = OrderForm::Incremental;
    Duration initialRetryDelay = std::chrono::seconds(1);
    Duration maximumRetryDelay = std::chrono::seconds(60);
};

} // namespace Carawaymill
