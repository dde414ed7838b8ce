#pragma once

#include "placement/EngineTracker.h"
#include "placement/PlacementEvents.h"
#include "placement/PlacementOptions.h"
#include "placement/ScopeTargets.h"

#include <optional>
#include <vector>

namespace Carawaymill {

/// Plans the placement of one scope while this host holds the lease for it, and sends the engines orders to carry it
/// out.
///
/// Works from the state that the engines report. It reads that state after acquiring the lease and then periodically,
/// so that lost orders, and late orders of a former lease holder, are detected. Without the lease it does nothing.
class PlacementController
{
public:
    explicit PlacementController(PlacementControllerOptions options);

    [[nodiscard]] std::vector<PlacementAction> handle(const PlacementEvent &event, TimePoint now);

    /// The current plan. While this host does not hold the lease: the last plan of its previous term as lease holder.
    [[nodiscard]] const PlacementPlan &plan() const { return m_plan; }

private:
    struct HeldLease
    {
        FencingNumber fencingNumber;
        TimePoint validUntil;
        TimePoint acquiredAt;
    };

    using Actions = std::vector<PlacementAction>;

    void leaseAcquired(const LeaseAcquired &acquired, TimePoint now);
    void orderAnswered(const EngineOrderAnswered &answered, Actions &actions, TimePoint now);
    /// Reads states, plans and sends orders, each as far as it is due.
    void runDecisionPass(Actions &actions, TimePoint now);
    void readStates(Actions &actions, TimePoint now);
    void planIfDue(Actions &actions, TimePoint now);
    /// Whether the states of all listed engines have been read, or the time to wait for them is over.
    [[nodiscard]] bool readyToPlan(TimePoint now) const;
    /// Whether all layers of every demanded model are held, according to the states last read.
    [[nodiscard]] bool holdsCompleteModels(const std::vector<PlacementTarget> &targets) const;
    /// The current plan, completed for targets that are not in it by the largest demanded range that they hold or load.
    [[nodiscard]] PlacementPlan currentPlan(const std::vector<PlacementTarget> &targets) const;
    /// Targets whose layers differ between `before` and the current plan.
    [[nodiscard]] PlanChanged changesFrom(const PlacementPlan &before) const;
    void sendOrders(Actions &actions, TimePoint now);
    [[nodiscard]] std::vector<ScheduledEngine> scheduledEngines(TimePoint now) const;
    /// Validity period of an order sent now; zero if the lease ends too soon to send one.
    [[nodiscard]] Duration validity(TimePoint now) const;

    PlacementControllerOptions m_options;
    std::variant<PlacementPlanner, ChainPlanner> m_planner;
    ScopeTargets m_targets;
    EngineTracker m_engines;
    std::optional<HeldLease> m_lease;
    OrderNumber m_lastOrder;
    std::vector<PlacementDemand> m_demands;
    PlacementPlan m_plan;
    bool m_planOutdated = true;
    TimePoint m_targetsChangedAt{};
    std::optional<TimePoint> m_plannedAt;
    std::optional<TimePoint> m_decidedAt;
};

} // namespace Carawaymill
