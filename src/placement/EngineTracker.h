#pragma once

#include "placement/EngineOrders.h"
#include "placement/PlacementMessages.h"
#include "placement/PlacementOptions.h"

#include <map>
#include <optional>
#include <vector>

namespace Carawaymill {

/// What a holder knows of the engines of its scope: their last read state, and the orders that are under way.
///
/// After each order the engine's state is read before the next one, whatever became of the order.
class EngineTracker
{
public:
    explicit EngineTracker(const PlacementControllerOptions &options);

    /// Forgets all states and orders: they are of an earlier time as holder.
    void reset(TimePoint now);

    /// Forgets the engines of all other targets.
    void retain(const std::vector<PlacementTarget> &targets);

    /// Which of the targets to read now, at the rate that the options allow.
    [[nodiscard]] std::vector<TargetId> startDueReads(const std::vector<TargetId> &targets, TimePoint now);

    void recordState(const EngineState &state);
    void recordOrder(const EngineOrder &order, TimePoint now);

    /// The order's outcome is known, or will never be. False for a late answer to an earlier order.
    bool finishOrder(const TargetId &target, OrderNumber number, bool accepted, TimePoint now);

    /// Gives up orders whose answer is overdue.
    void expireOverdueOrders(TimePoint now);

    /// The last read state, with the loads of an order under way added to those being loaded, and without what it
    /// drops.
    [[nodiscard]] std::optional<EngineState> state(const TargetId &target) const;

    /// Whether the engine has been read since `readAfter` and since its last order, and no order or delay is pending.
    [[nodiscard]] bool canReceiveOrder(const TargetId &target, TimePoint readAfter, TimePoint now) const;

    /// Engines that load something, or are ordered to.
    [[nodiscard]] std::size_t loadingEngines() const;

private:
    struct Engine
    {
        std::optional<EngineState> state;
        /// When the reading that brought `state` was asked for, since it can't be older than that.
        TimePoint stateAsOf{};
        std::optional<TimePoint> readRequestedAt;
        std::optional<EngineOrder> order;
        TimePoint orderedAt{};
        /// The state must have been asked for after this to allow another order.
        std::optional<TimePoint> lastOrderEnded;
        std::uint32_t failures = 0;
        TimePoint retryAt{};
    };

    [[nodiscard]] bool readDue(const Engine &engine, TimePoint now) const;

    PlacementControllerOptions m_options;
    std::map<TargetId, Engine> m_engines;
    double m_readAllowance = 0;
    TimePoint m_allowanceAt{};
    /// Every engine is read once more after this.
    TimePoint m_formerHolderExpiresAt{};
};

} // namespace Carawaymill
