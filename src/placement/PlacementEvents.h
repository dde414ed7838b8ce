#pragma once

#include "lease/LeaseMessages.h"
#include "placement/LoadSchedule.h"
#include "placement/PlacementMessages.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Carawaymill {

/// Event: the lease that this host holds was renewed.
struct LeaseExtended
{
    LeaseScopeId scope;
    TimePoint validUntil;
};

/// Event: the engines of the scope that may be used; those that are leaving or dead are left out.
struct PlacementTargetsChanged
{
    std::vector<PlacementTarget> targets;
};

/// Event: what the catalogue wants of the scope.
struct PlacementDemandsChanged
{
    std::vector<PlacementDemand> demands;
};

/// Event: answer to `ReadEngineState`. When none comes, the state is asked for again.
struct EngineStateRead
{
    EngineState state;
};

/// Event: an engine has answered an order.
struct EngineOrderAnswered
{
    TargetId target;
    EngineOrderReply reply;
};

/// Event: no answer came, so that the order may or may not have been carried out.
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

/// Action: ask the engine what it holds.
struct ReadEngineState
{
    TargetId target;
};

/// Action: send the order, unless `sendBefore` has passed when the call is about to be written. `order.validFor` is the
/// call's time limit.
struct SendEngineOrder
{
    EngineOrder order;
    LoadReason reason = LoadReason::Capacity;
    TimePoint sendBefore;
};

/// One target whose layers are changed by a plan.
struct PlannedChange
{
    TargetId target;
    std::optional<ModelLayers> before;
    std::optional<ModelLayers> after;
};

/// Action, for the log: a new plan is in force.
struct PlanChanged
{
    PlacementScope scope;
    FencingNumber fencingNumber;
    std::vector<PlannedChange> changes;
    /// Throughput bound of the plan in tokens a second, for each wanted model in the order of the demands.
    std::vector<double> throughputBounds;
};

/// Action, for the log: an engine has seen a later holder, so that this host stops giving orders.
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
[[nodiscard]] std::string describe(const HolderSuperseded &overruled);

} // namespace Carawaymill
