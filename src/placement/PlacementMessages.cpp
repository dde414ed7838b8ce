#include "placement/PlacementMessages.h"

#include <algorithm>
#include <limits>

namespace Carawaymill {

double linkTokensPerSecond(const PlacementTarget &target, const PlacementDemand &demand)
{
    if (demand.activationBytes.value() == 0 || target.linkBytesPerSecond <= 0) {
        return std::numeric_limits<double>::infinity();
    }
    return target.linkBytesPerSecond / (2.0 * static_cast<double>(demand.activationBytes.value()));
}

std::uint32_t layersThatFit(const PlacementTarget &target, const PlacementDemand &demand)
{
    if (demand.bytesPerLayer.value() == 0) {
        return demand.layers;
    }
    const std::uint64_t fitting = target.layerMemory.value() / demand.bytesPerLayer.value();
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(fitting, demand.layers));
}

bool matches(const PlacementDemand &demand, const ModelLayers &layers)
{
    return demand.model == layers.model && demand.version == layers.version && demand.adapter == layers.adapter;
}

} // namespace Carawaymill
