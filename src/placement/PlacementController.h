#pragma once

#include "placement/EngineTracker.h"
#include "placement/PlacementEvents.h"
#include "placement/PlacementOptions.h"
#include "placement/ScopeTargets.h"

#include <optional>
#include <vector>

namespace Carawaymill {

/// Decides on placement in one scope while this host holds its lease, and brings the engines there by orders.
///
/// It begins from what the engines really hold, which it reads after taking over and from time to time, so that neither
/// an order that was lost nor one that a former holder sent late stays unnoticed. Without the lease it does nothing.
class PlacementController
{
public:
    explicit PlacementController(PlacementControllerOptions options);

    [[nodiscard]] std::vector<PlacementAction> handle(const PlacementEvent &event, TimePoint now);

    /// The plan in force; of an earlier time as holder when the scope is not held.
    [[nodiscard]] const PlacementPlan &plan() const { return m_plan; }

private:
    struct Holding
    {
        FencingNumber fencingNumber;
        TimePoint validUntil;
        TimePoint acquiredAt;
    };

    using Actions = std::vector<PlacementAction>;

    void acquired(const LeaseAcquired &acquired, TimePoint now);
    void orderAnswered(const EngineOrderAnswered &answered, Actions &actions, TimePoint now);
    void proceed(Actions &actions, TimePoint now);
    void readStates(Actions &actions, TimePoint now);
    void planIfDue(Actions &actions, TimePoint now);
    [[nodiscard]] bool readyToPlan(TimePoint now) const;
    /// Whether each wanted model's layers are all held, by the engines' last reports.
    [[nodiscard]] bool holdsCompleteModels(const std::vector<PlacementTarget> &targets) const;
    [[nodiscard]] PlacementPlan currentPlan(const std::vector<PlacementTarget> &targets) const;
    [[nodiscard]] PlanChanged compare(const PlacementPlan &before) const;
    void sendOrders(Actions &actions, TimePoint now);
    [[nodiscard]] std::vector<ScheduledEngine> scheduledEngines(TimePoint now) const;
    /// How long an order may be valid now; zero when the lease is too near its end.
    [[nodiscard]] Duration validity(TimePoint now) const;

    PlacementControllerOptions m_options;
    std::variant<PlacementPlanner, ChainPlanner> m_planner;
    ScopeTargets m_targets;
    EngineTracker m_engines;
    std::optional<Holding> m_holding;
    OrderNumber m_lastOrder;
    std::vector<PlacementDemand> m_demands;
    PlacementPlan m_plan;
    bool m_planOutdated = true;
    TimePoint m_targetsChangedAt{};
    std::optional<TimePoint> m_plannedAt;
    std::optional<TimePoint> m_decidedAt;
};

} // namespace Carawaymill
