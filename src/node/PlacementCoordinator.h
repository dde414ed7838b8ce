#pragma once

#include "node/NodeContext.h"
#include "node/NodeMessages.h"
#include "node/ScopeCoordinator.h"
#include "placement/PlacementController.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Carawaymill {

/// Supplies the placement's targets, addresses and controller options.
struct PlacementSource
{
    /// The targets of the scope that may be given layers.
    std::function<std::vector<PlacementTarget>(const LeaseScopeId &scope)> usableTargets;
    /// Empty when the target is not known.
    std::function<std::string(const TargetId &target)> address;
    /// Options of each scope's controller. The coordinator sets `scope`.
    PlacementControllerOptions controller;
};

/// The demands of each placement scope.
using PlacementScopes = std::map<LeaseScopeId, std::vector<PlacementDemand>>;

/// Places models on the targets of the scopes that this host holds.
class PlacementCoordinator
{
public:
    explicit PlacementCoordinator(PlacementSource source);

    [[nodiscard]] std::vector<LeaseScopeId> scopes() const;

    /// Updates the scopes and their demands. Returns whether the set of scopes changed.
    [[nodiscard]] bool setDemands(const PlacementScopes &scopes, NodeContext &context);
    void tick(const LeaseManager &leases, NodeContext &context);
    void scopeChanged(const ScopeChange &change, NodeContext &context);
    /// Dispatches an engine's polled state to the controller of the engine's scope.
    void stateRead(const EngineState &state, NodeContext &context);
    void orderReturned(const OrderReturned &event, NodeContext &context);

    /// Number of scopes whose placement this host decides.
    [[nodiscard]] std::size_t scopesHeld(const LeaseManager &leases, TimePoint now) const;

private:
    void dispatch(const LeaseScopeId &scope, const PlacementEvent &event, NodeContext &context);
    void readState(const TargetId &target, NodeContext &context) const;
    [[nodiscard]] LeaseScopeId scopeOf(const TargetId &target) const;

    struct Scope
    {
        PlacementController controller;
        std::vector<PlacementTarget> targets;
        std::vector<PlacementDemand> demands;
    };

    PlacementSource m_source;
    std::map<LeaseScopeId, Scope> m_scopes;
    /// The scope of every target that was ever usable.
    std::map<TargetId, LeaseScopeId> m_scopeOfTarget;
};

} // namespace Carawaymill
