#pragma once

#include "placement/PlacementController.h"

#include <map>
#include <set>
#include <vector>

namespace Carawaymill {

/// How soon a fleet recovers; negative when it did not within the time of the run.
struct RecoveryResult
{
    /// Seconds until every layer has a holder.
    double serviceSeconds = -1;
    /// Seconds until the throughput bound is nine tenths of what the remaining hardware allows.
    double throughputSeconds = -1;
    std::size_t orders = 0;
    double loadedGigabytes = 0;
};

/// Engines that load layers through a weight store with a limited total rate, in virtual time.
class RecoveryModel
{
public:
    RecoveryModel(std::vector<PlacementTarget> targets, PlacementDemand demand, double storeBytesPerSecond);

    /// Makes the engines hold what the plan wants.
    void fill(const PlacementPlan &plan);

    void lose(const std::set<TargetId> &lost);

    /// Lets a controller, which has already held the scope, bring the fleet back.
    [[nodiscard]] RecoveryResult recoverByController(const std::set<TargetId> &lost, std::uint32_t concurrentLoads);

    /// Orders the whole plan at once, as the baseline.
    [[nodiscard]] RecoveryResult recoverAtOnce(const PlacementPlan &plan);

private:
    struct Load
    {
        ModelLayers layers;
        double remainingBytes = 0;
    };

    void feed(PlacementController &controller, const PlacementEvent &event, RecoveryResult &result);
    void order(const EngineOrder &order, RecoveryResult &result);
    void advanceLoads(double seconds);
    void observe(RecoveryResult &result, double seconds);
    [[nodiscard]] EngineState stateOf(const TargetId &target) const;
    [[nodiscard]] double bound() const;

    std::vector<PlacementTarget> m_targets;
    PlacementDemand m_demand;
    double m_storeBytesPerSecond;
    std::map<TargetId, std::vector<ModelLayers>> m_held;
    std::map<TargetId, std::vector<Load>> m_loads;
    TimePoint m_now{};
    /// What is held has changed since the last look.
    bool m_changed = true;
    double m_hardwareBound = 0;
};

} // namespace Carawaymill
