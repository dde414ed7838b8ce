#pragma once

#include "placement/PlacementMessages.h"
#include "placement/PlacementOptions.h"

#include <map>
#include <optional>
#include <vector>

namespace Carawaymill {

/// The targets of a scope. A target that is missing from the list is kept for a grace period, which is longer if most
/// targets are missing.
class ScopeTargets
{
public:
    explicit ScopeTargets(const PlacementControllerOptions &options);

    /// Applies a new list. Returns whether a target is new or has changed.
    bool update(const std::vector<PlacementTarget> &listed, TimePoint now);

    /// Removes the targets whose grace period has ended. Returns whether there were any.
    bool removeLost(TimePoint now);

    /// Including the missing targets in their grace period.
    [[nodiscard]] std::vector<PlacementTarget> all() const;

    /// Only the targets on the current list. Missing targets get no orders.
    [[nodiscard]] std::vector<PlacementTarget> listed() const;

    [[nodiscard]] bool isListed(const TargetId &target) const;

private:
    struct Entry
    {
        PlacementTarget target;
        std::optional<TimePoint> missingSince;
    };

    Duration m_targetLossGracePeriod;
    Duration m_massLossGracePeriod;
    double m_massLossFraction;
    std::map<TargetId, Entry> m_entries;
};

} // namespace Carawaymill
