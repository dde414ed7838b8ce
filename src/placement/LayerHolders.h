#pragma once

#include "placement/PlacementMessages.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Carawaymill {

/// Number of targets that hold or are loading each layer of one demanded model, by failure domain.
class LayerHolders
{
public:
    LayerHolders(const PlacementDemand &demand)
        : m_demand(demand)
        , m_ready(demand.layers)
        , m_loading(demand.layers)
    {
    }

    /// Layers of other models are ignored.
    void addReady(const ModelLayers &layers, const FailureDomainId &domain) { add(m_ready, layers, domain, 1); }

    void removeReady(const ModelLayers &layers, const FailureDomainId &domain) { add(m_ready, layers, domain, -1); }

    void addLoading(const ModelLayers &layers, const FailureDomainId &domain) { add(m_loading, layers, domain, 1); }

    [[nodiscard]] const PlacementDemand &demand() const { return m_demand; }

    /// Whether no target holds or is loading the layer.
    [[nodiscard]] bool uncovered(std::uint32_t layer) const;

    /// Whether all targets that hold or are loading the layer are in one failure domain other than `domain`, so that a
    /// target in `domain` would be its second failure domain. The layer must not be uncovered.
    [[nodiscard]] bool needsDomain(std::uint32_t layer, const FailureDomainId &domain) const;

    /// Whether each of the layers is held by at least two targets.
    [[nodiscard]] bool redundant(LayerRange layers) const;

private:
    using DomainCounts = std::map<FailureDomainId, int>;

    void add(std::vector<DomainCounts> &counts, const ModelLayers &layers, const FailureDomainId &domain, int change);

    PlacementDemand m_demand;
    std::vector<DomainCounts> m_ready;
    std::vector<DomainCounts> m_loading;
};

} // namespace Carawaymill
