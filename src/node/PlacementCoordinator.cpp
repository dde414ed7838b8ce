#include "node/PlacementCoordinator.h"

#include "node/NodeOutput.h"

#include <algorithm>

namespace Carawaymill {

PlacementCoordinator::PlacementCoordinator(PlacementSource source)
    : m_source(std::move(source))
{
}

std::vector<LeaseScopeId> PlacementCoordinator::scopes() const
{
    std::vector<LeaseScopeId> scopes;
    for (const auto &[id, scope] : m_scopes) {
        scopes.push_back(id);
    }
    return scopes;
}

bool PlacementCoordinator::setDemands(const PlacementScopes &scopes, NodeContext &context)
{
    bool changed = std::erase_if(m_scopes, [&](const auto &entry) { return !scopes.contains(entry.first); }) > 0;
    for (const auto &[id, demands] : scopes) {
        auto found = m_scopes.find(id);
        if (found == m_scopes.end()) {
            PlacementControllerOptions options = m_source.controller;
            options.scope = PlacementScope(id.value());
            found =
                m_scopes.emplace(id, Scope{.controller = PlacementController(options), .targets = {}, .demands = {}})
                    .first;
            changed = true;
        }
        if (found->second.demands != demands) {
            found->second.demands = demands;
            dispatch(id, PlacementDemandsChanged{demands}, context);
        }
    }
    return changed;
}

void PlacementCoordinator::tick(const LeaseManager &leases, NodeContext &context)
{
    for (auto &[id, scope] : m_scopes) {
        if (!leases.holds(id, context.now)) {
            continue;
        }
        std::vector<PlacementTarget> targets = m_source.usableTargets(id);
        if (targets != scope.targets) {
            scope.targets = targets;
            for (const PlacementTarget &target : targets) {
                m_scopeOfTarget.insert_or_assign(target.id, id);
            }
            dispatch(id, PlacementTargetsChanged{std::move(targets)}, context);
        }
        dispatch(id, LeaseExtended{.scope = id, .validUntil = leases.validUntil()}, context);
        dispatch(id, Tick{}, context);
    }
}

void PlacementCoordinator::scopeChanged(const ScopeChange &change, NodeContext &context)
{
    std::visit(
        [&](const auto &concrete) {
            if (m_scopes.contains(concrete.scope)) {
                dispatch(concrete.scope, concrete, context);
            }
        },
        change);
}

LeaseScopeId PlacementCoordinator::scopeOf(const TargetId &target) const
{
    const auto found = m_scopeOfTarget.find(target);
    return found == m_scopeOfTarget.end() ? LeaseScopeId() : found->second;
}

void PlacementCoordinator::stateRead(const EngineState &state, NodeContext &context)
{
    if (const LeaseScopeId scope = scopeOf(state.target); m_scopes.contains(scope)) {
        dispatch(scope, EngineStateRead{state}, context);
    }
}

void PlacementCoordinator::orderReturned(const OrderReturned &event, NodeContext &context)
{
    const LeaseScopeId scope = scopeOf(event.order.target);
    if (!m_scopes.contains(scope)) {
        return;
    }
    if (event.reply) {
        dispatch(scope, EngineOrderAnswered{.target = event.order.target, .reply = *event.reply}, context);
    } else {
        dispatch(scope, EngineOrderUnanswered{.target = event.order.target, .number = event.order.number}, context);
    }
}

std::size_t PlacementCoordinator::scopesHeld(const LeaseManager &leases, TimePoint now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_scopes, [&](const auto &entry) { return leases.holds(entry.first, now); }));
}

void PlacementCoordinator::dispatch(const LeaseScopeId &scope, const PlacementEvent &event, NodeContext &context)
{
    for (const PlacementAction &action : m_scopes.at(scope).controller.handle(event, context.now)) {
        std::visit(Overloaded{[&](const ReadEngineState &read) { readState(read.target, context); },
                              [&](const SendEngineOrder &send) {
                                  context.output.log(describe(send));
                                  // The driver sends the order while it performs the actions of this event, so that
                                  // `sendBefore` can't pass before the order is sent.
                                  context.output.add(
                                      SendOrder{.address = m_source.address(send.order.target), .order = send.order});
                              },
                              [&](const PlanChanged &changed) { context.output.log(describe(changed)); },
                              [&](const HolderSuperseded &superseded) { context.output.log(describe(superseded)); }},
                   action);
    }
}

void PlacementCoordinator::readState(const TargetId &target, NodeContext &context) const
{
    constexpr Duration readTimeout = 1s;
    context.output.add(RequestTargetReport{
        .target = target, .kind = TargetKind::Engine, .address = m_source.address(target), .timeout = readTimeout});
}

} // namespace Carawaymill
