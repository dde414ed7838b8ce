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
    /// How layers are given to targets: for the most throughput, or as chains within failure domains.
    std::variant<PlacementPlannerOptions, ChainPlannerOptions> planner;
    /// No order is valid for longer.
    Duration orderValidity = std::chrono::seconds(2);
    /// Orders end so long before the lease does. Covers the drift of clocks and a write that the network holds back.
    Duration leaseMargin = std::chrono::milliseconds(500);
    /// A new holder gives no order for so long to engines that ignore fencing numbers: by then the former holder's last
    /// order has arrived or was given up.
    Duration formerHolderGracePeriod = std::chrono::seconds(3);
    /// How often an engine's real state is read.
    Duration stateReadInterval = std::chrono::seconds(10);
    /// How long a reading may take before it is asked for again.
    Duration stateReadTimeout = std::chrono::seconds(2);
    /// Readings a second over all engines of the scope.
    double stateReadsPerSecond = 50;
    /// A new holder plans without the engines that have not told their state by then.
    Duration initialReadTimeout = std::chrono::seconds(6);
    /// While nobody holds a whole model yet, a plan waits until no new target has come for so long.
    Duration arrivalQuietPeriod{};
    /// What an engine tells of itself may be so old.
    Duration stateReportLag{};
    /// A target that vanishes from the list counts as lost after this time.
    Duration targetLossGracePeriod = std::chrono::seconds(2);
    /// When more than this part of the targets vanishes at once, it is probably this host that cannot see them.
    double massLossFraction = 0.6;
    /// How long a doubtful loss is waited out.
    Duration massLossGracePeriod = std::chrono::seconds(30);
    /// The least time between two looks at what is to be done.
    Duration decisionInterval = std::chrono::milliseconds(50);
    /// The least time between two plans.
    Duration planInterval = std::chrono::seconds(1);
    /// Targets that load at the same time: the weight store is rate-limited, so that more would delay the most urgent.
    std::uint32_t concurrentLoads = 4;
    /// `CompleteRange` for engines that hold one range of layers.
    OrderForm orderForm = OrderForm::Incremental;
    Duration initialRetryDelay = std::chrono::seconds(1);
    Duration maximumRetryDelay = std::chrono::seconds(60);
};

} // namespace Carawaymill
