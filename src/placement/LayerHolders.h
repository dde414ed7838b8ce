#pragma once

#include "placement/PlacementMessages.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Carawaymill {

/// Who holds, or is about to hold, each layer of one wanted model.
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

    /// Whether nobody holds or loads the layer.
    [[nodiscard]] bool uncovered(std::uint32_t layer) const;

    /// Whether a target outside `domain` would give the layer its second failure domain.
    [[nodiscard]] bool needsDomain(std::uint32_t layer, const FailureDomainId &domain) const;

    /// Whether more than one target is ready to run each of the layers.
    [[nodiscard]] bool redundant(LayerRange layers) const;

private:
    using DomainCounts = std::map<FailureDomainId, int>;

    void add(std::vector<DomainCounts> &counts, const ModelLayers &layers, const FailureDomainId &domain, int change);

    PlacementDemand m_demand;
    std::vector<DomainCounts> m_ready;
    std::vector<DomainCounts> m_loading;
};

} // namespace Carawaymill
