#pragma once

#include "node/PlacementCoordinator.h"

namespace Carawaymill {

class CatalogueReplica;
class TargetTable;

/// The placement scopes of the catalogue: one for each region that has engines.
[[nodiscard]] PlacementScopes cataloguePlacementScopes(const CatalogueReplica &catalogue);

/// The catalogue's engines in the scope that are neither leaving nor dead.
[[nodiscard]] std::vector<PlacementTarget>
cataloguePlacementTargets(const CatalogueReplica &catalogue, const TargetTable &targets, const LeaseScopeId &scope);

} // namespace Carawaymill
