#include "node/PlacementDesk.h"

#include "catalogue/CatalogueReplica.h"
#include "node/NodeOutput.h"
#include "node/TargetTable.h"

#include <algorithm>
#include <set>

namespace Carawaymill {

/// Part of an engine's memory that is left to the KV cache.
static constexpr double cacheShare = 0.25;

static LeaseScopeId leaseScopeOf(const RegionId &region)
{
    return LeaseScopeId(placementScope(region).value());
}

std::vector<LeaseScopeId> PlacementDesk::scopes() const
{
    std::vector<LeaseScopeId> scopes;
    for (const auto &[scope, region] : m_regions) {
        scopes.push_back(scope);
    }
    return scopes;
}

/// Every model, version and adapter that some entry names, with the same weight each.
static std::vector<PlacementDemand> demandsOf(const CatalogueReplica &catalogue)
{
    std::set<std::tuple<ModelId, std::string, std::string>> wanted;
    for (const EntryRecord *entry : catalogue.entries()) {
        if (const auto *model = std::get_if<ModelEntry>(&entry->backEnd)) {
            wanted.emplace(model->model, model->version, model->adapter);
        }
    }
    std::vector<PlacementDemand> demands;
    for (const auto &[id, version, adapter] : wanted) {
        if (const ModelRecord *model = catalogue.model(id)) {
            demands.push_back({.model = id,
                               .version = version,
                               .adapter = adapter,
                               .layers = model->layers,
                               .bytesPerLayer = model->bytesPerLayer,
                               .activationBytes = model->activationBytes});
        }
    }
    return demands;
}

bool PlacementDesk::catalogueChanged(NodeContext &context)
{
    std::set<LeaseScopeId> present;
    bool changed = false;
    for (const TargetRecord *target : context.catalogue.targets()) {
        if (target->kind != TargetKind::Engine) {
            continue;
        }
        const LeaseScopeId scope = leaseScopeOf(target->region);
        present.insert(scope);
        if (!m_regions.contains(scope)) {
            PlacementControllerOptions options{.scope = placementScope(target->region), .planner = {}};
            m_regions.emplace(
                scope,
                Region{.id = target->region, .controller = PlacementController(options), .targets = {}, .demands = {}});
            changed = true;
        }
    }
    changed =
        std::erase_if(m_regions, [&](const auto &entry) { return !present.contains(entry.first); }) > 0 || changed;
    const std::vector<PlacementDemand> demands = demandsOf(context.catalogue);
    for (auto &[scope, region] : m_regions) {
        if (region.demands != demands) {
            region.demands = demands;
            feed(scope, PlacementDemandsChanged{demands}, context);
        }
    }
    return changed;
}

std::vector<PlacementTarget> PlacementDesk::usableTargets(const RegionId &region, const NodeContext &context) const
{
    std::vector<PlacementTarget> targets;
    for (const TargetRecord *target : context.catalogue.targets()) {
        const TargetAvailability availability = context.targets.availability(target->id);
        const bool usable =
            availability == TargetAvailability::Available || availability == TargetAvailability::Suspect;
        if (target->kind != TargetKind::Engine || target->region != region || !usable) {
            continue;
        }
        targets.push_back({.id = target->id,
                           .layerMemory = ByteCount(static_cast<std::uint64_t>(
                               static_cast<double>(target->memory.value()) * (1 - cacheShare))),
                           .layerTokensPerSecond = target->layerTokensPerSecond,
                           .linkBytesPerSecond = target->linkBytesPerSecond,
                           .failureDomain = target->failureDomain,
                           .checksFencingNumber = target->checksFencingNumber});
    }
    return targets;
}

void PlacementDesk::tick(const LeaseKeeper &leases, NodeContext &context)
{
    for (auto &[scope, region] : m_regions) {
        if (!leases.holds(scope, context.now)) {
            continue;
        }
        std::vector<PlacementTarget> targets = usableTargets(region.id, context);
        if (targets != region.targets) {
            region.targets = targets;
            feed(scope, PlacementTargetsChanged{std::move(targets)}, context);
        }
        feed(scope, LeaseExtended{.scope = scope, .validUntil = leases.validUntil()}, context);
        feed(scope, Tick{}, context);
    }
}

void PlacementDesk::scopeChanged(const ScopeChange &change, NodeContext &context)
{
    std::visit(
        [&](const auto &concrete) {
            if (m_regions.contains(concrete.scope)) {
                feed(concrete.scope, concrete, context);
            }
        },
        change);
}

LeaseScopeId PlacementDesk::scopeOf(const TargetId &target, const NodeContext &context) const
{
    const TargetRecord *record = context.catalogue.target(target);
    return record == nullptr ? LeaseScopeId() : leaseScopeOf(record->region);
}

void PlacementDesk::stateRead(const EngineState &state, NodeContext &context)
{
    if (const LeaseScopeId scope = scopeOf(state.target, context); m_regions.contains(scope)) {
        feed(scope, EngineStateRead{state}, context);
    }
}

void PlacementDesk::orderReturned(const OrderReturned &event, NodeContext &context)
{
    const LeaseScopeId scope = scopeOf(event.order.target, context);
    if (!m_regions.contains(scope)) {
        return;
    }
    if (event.reply) {
        feed(scope, EngineOrderAnswered{.target = event.order.target, .reply = *event.reply}, context);
    } else {
        feed(scope, EngineOrderUnanswered{.target = event.order.target, .number = event.order.number}, context);
    }
}

std::size_t PlacementDesk::regionsHeld(const LeaseKeeper &leases, TimePoint now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_regions, [&](const auto &entry) { return leases.holds(entry.first, now); }));
}

void PlacementDesk::feed(const LeaseScopeId &scope, const PlacementEvent &event, NodeContext &context)
{
    for (const PlacementAction &action : m_regions.at(scope).controller.handle(event, context.now)) {
        std::visit(Overloaded{[&](const ReadEngineState &read) { readState(read.target, context); },
                              [&](const SendEngineOrder &send) {
                                  context.output.log(describe(send));
                                  // The driver writes at once, in the same turn, so that `sendBefore` can't pass first.
                                  context.output.add(GiveOrder{.address = context.targets.address(send.order.target),
                                                               .order = send.order});
                              },
                              [&](const PlanChanged &changed) { context.output.log(describe(changed)); },
                              [&](const HolderOverruled &overruled) { context.output.log(describe(overruled)); }},
                   action);
    }
}

void PlacementDesk::readState(const TargetId &target, NodeContext &context) const
{
    constexpr Duration readTimeout = 1s;
    context.output.add(AskTarget{.target = target,
                                 .kind = TargetKind::Engine,
                                 .address = context.targets.address(target),
                                 .timeout = readTimeout});
}

} // namespace Carawaymill
