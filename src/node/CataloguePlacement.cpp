#include "node/CataloguePlacement.h"

#include "catalogue/CatalogueReplica.h"
#include "node/TargetTable.h"

#include <set>
#include <tuple>

namespace Carawaymill {

/// Fraction of an engine's memory that is reserved for the KV cache.
static constexpr double cacheShare = 0.25;

static LeaseScopeId scopeOfRegion(const RegionId &region)
{
    return LeaseScopeId(placementScope(region).value());
}

/// One demand for each combination of model, version and adapter that a catalogue entry names, all of the same weight.
static std::vector<PlacementDemand> demandsOf(const CatalogueReplica &catalogue)
{
    std::set<std::tuple<ModelId, std::string, std::string>> requested;
    for (const EntryRecord *entry : catalogue.entries()) {
        if (const auto *model = std::get_if<ModelEntry>(&entry->backEnd)) {
            requested.emplace(model->model, model->version, model->adapter);
        }
    }
    std::vector<PlacementDemand> demands;
    for (const auto &[id, version, adapter] : requested) {
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

PlacementScopes cataloguePlacementScopes(const CatalogueReplica &catalogue)
{
    PlacementScopes scopes;
    const std::vector<PlacementDemand> demands = demandsOf(catalogue);
    for (const TargetRecord *target : catalogue.targets()) {
        if (target->kind == TargetKind::Engine) {
            scopes[scopeOfRegion(target->region)] = demands;
        }
    }
    return scopes;
}

std::vector<PlacementTarget>
cataloguePlacementTargets(const CatalogueReplica &catalogue, const TargetTable &targets, const LeaseScopeId &scope)
{
    std::vector<PlacementTarget> usable;
    for (const TargetRecord *target : catalogue.targets()) {
        const TargetAvailability availability = targets.availability(target->id);
        const bool isUsable =
            availability == TargetAvailability::Available || availability == TargetAvailability::Suspect;
        if (target->kind != TargetKind::Engine || scopeOfRegion(target->region) != scope || !isUsable) {
            continue;
        }
        usable.push_back({.id = target->id,
                          .layerMemory = ByteCount(static_cast<std::uint64_t>(
                              static_cast<double>(target->memory.value()) * (1 - cacheShare))),
                          .layerTokensPerSecond = target->layerTokensPerSecond,
                          .linkBytesPerSecond = target->linkBytesPerSecond,
                          .failureDomain = target->failureDomain,
                          .checksFencingNumber = target->checksFencingNumber});
    }
    return usable;
}

} // namespace Carawaymill
