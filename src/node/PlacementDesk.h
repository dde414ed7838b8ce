#pragma once

#include "node/NodeContext.h"
#include "node/NodeMessages.h"
#include "node/ScopeDesk.h"
#include "placement/PlacementController.h"

#include <map>
#include <vector>

namespace Carawaymill {

/// The placement of every region's targets, as far as this host holds the region's scope.
class PlacementDesk
{
public:
    /// A scope for each region that has engines.
    [[nodiscard]] std::vector<LeaseScopeId> scopes() const;

    /// The catalogue's targets, models or entries changed. True when the regions changed.
    [[nodiscard]] bool catalogueChanged(NodeContext &context);
    void tick(const LeaseKeeper &leases, NodeContext &context);
    void scopeChanged(const ScopeChange &change, NodeContext &context);
    /// A poll has read what an engine holds.
    void stateRead(const EngineState &state, NodeContext &context);
    void orderReturned(const OrderReturned &event, NodeContext &context);

    /// Whether this host decides on the placement of some region.
    [[nodiscard]] std::size_t regionsHeld(const LeaseKeeper &leases, TimePoint now) const;

private:
    void feed(const LeaseScopeId &scope, const PlacementEvent &event, NodeContext &context);
    void readState(const TargetId &target, NodeContext &context) const;
    [[nodiscard]] std::vector<PlacementTarget> usableTargets(const RegionId &region, const NodeContext &context) const;
    [[nodiscard]] LeaseScopeId scopeOf(const TargetId &target, const NodeContext &context) const;

    struct Region
    {
        RegionId id;
        PlacementController controller;
        std::vector<PlacementTarget> targets;
        std::vector<PlacementDemand> demands;
    };

    std::map<LeaseScopeId, Region> m_regions;
};

} // namespace Carawaymill
