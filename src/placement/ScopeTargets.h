#pragma once

#include "placement/PlacementMessages.h"
#include "placement/PlacementOptions.h"

#include <map>
#include <optional>
#include <vector>

namespace Carawaymill {

/// The targets of a scope, where one that vanishes for a short time, or together with most others, still counts.
class ScopeTargets
{
public:
    explicit ScopeTargets(const PlacementControllerOptions &options);

    /// Takes in a new list. True when a target is new or has changed.
    bool update(const std::vector<PlacementTarget> &listed, TimePoint now);

    /// Drops those that have been missing for long enough. True when there were any.
    bool removeLost(TimePoint now);

    [[nodiscard]] std::vector<PlacementTarget> all() const;

    /// Only the targets that are on the list: the others get no orders.
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
