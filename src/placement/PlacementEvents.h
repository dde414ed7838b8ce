#pragma once

#include "lease/LeaseMessages.h"
#include "placement/LoadSchedule.h"
#include "placement/PlacementMessages.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Carawaymill {

/// Event: the lease of this host for the scope was renewed.
struct LeaseExtended
{
    LeaseScopeId scope;
    TimePoint validUntil;
};

/// Event: all engines of the scope that can be used, without those that are leaving or dead.
struct PlacementTargetsChanged
{
    std::vector<PlacementTarget> targets;
};

/// Event: the models that the scope must serve, according to the catalogue.
struct PlacementDemandsChanged
{
    std::vector<PlacementDemand> demands;
};

/// Event: response to `ReadEngineState`. Without a response the read is repeated after `stateReadTimeout`.
struct EngineStateRead
{
    EngineState state;
};

/// Event: response to `SendEngineOrder`.
struct EngineOrderAnswered
{
    TargetId target;
    EngineOrderReply reply;
};

/// Event: no response to `SendEngineOrder` arrived. The order may or may not have been carried out.
struct EngineOrderUnanswered
{
    TargetId target;
    OrderNumber number;
};

using PlacementEvent = std::variant<Tick,
                                    LeaseAcquired,
                                    LeaseExtended,
                                    LeaseLost,
                                    PlacementTargetsChanged,
                                    PlacementDemandsChanged,
                                    EngineStateRead,
                                    EngineOrderAnswered,
                                    EngineOrderUnanswered>;

/// Action: request the state of the engine.
struct ReadEngineState
{
    TargetId target;
};

/// Action: send the order, unless `sendBefore` has passed when the call is about to be written. `order.validFor` is the
/// timeout of the call.
struct SendEngineOrder
{
    EngineOrder order;
    LoadReason reason = LoadReason::Capacity;
    TimePoint sendBefore;
};

/// A target to which a new plan assigns other layers. Empty: no layers.
struct PlannedChange
{
    TargetId target;
    std::optional<ModelLayers> before;
    std::optional<ModelLayers> after;
};

/// Action, for the log: the plan has changed.
struct PlanChanged
{
    PlacementScope scope;
    FencingNumber fencingNumber;
    std::vector<PlannedChange> changes;
    /// Throughput bound of the plan in tokens per second, for each demanded model in the order of the demands.
    std::vector<double> throughputBounds;
};

/// Action, for the log: an engine has seen a higher fencing number, so this host stops sending orders for the scope.
struct HolderSuperseded
{
    PlacementScope scope;
    TargetId target;
    FencingNumber ownNumber;
    FencingNumber seenNumber;
};

using PlacementAction = std::variant<ReadEngineState, SendEngineOrder, PlanChanged, HolderSuperseded>;

/// Log lines of decisions.
[[nodiscard]] std::string describe(const SendEngineOrder &send);
[[nodiscard]] std::string describe(const PlanChanged &changed);
[[nodiscard]] std::string describe(const HolderSuperseded &superseded);

} // namespace Carawaymill
