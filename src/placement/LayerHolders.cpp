#include "placement/LayerHolders.h"

#include <algorithm>

namespace Carawaymill {

void LayerHolders::add(std::vector<DomainCounts> &counts,
                       const ModelLayers &layers,
                       const FailureDomainId &domain,
                       int change)
{
    if (!matches(m_demand, layers)) {
        return;
    }
    const std::uint32_t end = std::min(layers.layers.end.value(), m_demand.layers);
    for (std::uint32_t layer = layers.layers.first.value(); layer < end; ++layer) {
        if ((counts[layer][domain] += change) <= 0) {
            counts[layer].erase(domain);
        }
    }
}

bool LayerHolders::uncovered(std::uint32_t layer) const
{
    return m_ready[layer].empty() && m_loading[layer].empty();
}

bool LayerHolders::needsDomain(std::uint32_t layer, const FailureDomainId &domain) const
{
    const auto elsewhere = [&](const auto &count) { return count.first != domain; };
    const auto &ready = m_ready[layer];
    const auto &coming = m_loading[layer];
    const FailureDomainId &first = ready.empty() ? coming.begin()->first : ready.begin()->first;
    const auto same = [&](const auto &count) { return count.first == first; };
    return std::all_of(ready.begin(), ready.end(), same) && std::all_of(coming.begin(), coming.end(), same)
           && (std::any_of(ready.begin(), ready.end(), elsewhere)
               || std::any_of(coming.begin(), coming.end(), elsewhere));
}

bool LayerHolders::redundant(LayerRange layers) const
{
    const std::uint32_t end = std::min(layers.end.value(), m_demand.layers);
    for (std::uint32_t layer = layers.first.value(); layer < end; ++layer) {
        int holders = 0;
        for (const auto &[domain, count] : m_ready[layer]) {
            holders += count;
        }
        if (holders < 2) {
            return false;
        }
    }
    return true;
}

} // namespace Carawaymill
