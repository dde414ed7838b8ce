#pragma once

#include "placement/EngineOrders.h"
#include "placement/PlacementMessages.h"
#include "placement/PlacementOptions.h"

#include <map>
#include <optional>
#include <vector>

namespace Carawaymill {

/// The lease holder's record of the engines in its scope: the last state read from each, and its pending order.
///
/// After each order the engine's state is read again before the next order, whatever the outcome of the order.
class EngineTracker
{
public:
    explicit EngineTracker(const PlacementControllerOptions &options);

    /// Clears all states and orders, which date from an earlier term as lease holder.
    void reset(TimePoint now);

    /// Removes the engines of all other targets.
    void retain(const std::vector<PlacementTarget> &targets);

    /// Returns the targets whose state is to be read now, within the rate limit, and marks them as being read.
    [[nodiscard]] std::vector<TargetId> startDueReads(const std::vector<TargetId> &targets, TimePoint now);

    void recordState(const EngineState &state);
    void recordOrder(const EngineOrder &order, TimePoint now);

    /// Ends the pending order, accepted or not; `accepted` is false also if no response will come. Returns false if the
    /// number is not that of the pending order, as with the late response to an earlier one.
    bool finishOrder(const TargetId &target, OrderNumber number, bool accepted, TimePoint now);

    /// Ends the orders whose response is overdue, as not accepted.
    void expireOverdueOrders(TimePoint now);

    /// The last state read. Loads of a pending order are included in `loading`, its unloads are excluded from `held`.
    /// Empty if the state has not been read yet.
    [[nodiscard]] std::optional<EngineState> state(const TargetId &target) const;

    /// Whether the state was read since `readAfter` and since the last order, and no order or retry delay is pending.
    [[nodiscard]] bool canReceiveOrder(const TargetId &target, TimePoint readAfter, TimePoint now) const;

    /// Number of engines that are loading layers or have a pending order to load some.
    [[nodiscard]] std::size_t loadingEngines() const;

private:
    struct Engine
    {
        std::optional<EngineState> state;
        /// When the read that returned `state` was requested. The state is not older than that.
        TimePoint stateAsOf{};
        std::optional<TimePoint> readRequestedAt;
        std::optional<EngineOrder> order;
        TimePoint orderedAt{};
        /// Another order is allowed only with a state whose read was requested after this time.
        std::optional<TimePoint> lastOrderEnded;
        std::uint32_t failures = 0;
        TimePoint retryAt{};
    };

    [[nodiscard]] bool readDue(const Engine &engine, TimePoint now) const;

    PlacementControllerOptions m_options;
    std::map<TargetId, Engine> m_engines;
    double m_readAllowance = 0;
    TimePoint m_allowanceAt{};
    /// When the last order of the former lease holder has expired. Every engine is read once more after this.
    TimePoint m_formerHolderExpiresAt{};
};

} // namespace Carawaymill
