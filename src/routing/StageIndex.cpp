#include "routing/StageIndex.h"

#include <algorithm>
#include <cassert>

namespace Carawaymill {

static std::vector<LayerIndex> boundariesOf(const std::vector<Holding> &holdings)
{
    std::vector<LayerIndex> boundaries;
    boundaries.reserve(holdings.size() * 2);
    for (const Holding &holding : holdings) {
        boundaries.push_back(holding.layers.first);
        boundaries.push_back(holding.layers.end);
    }
    std::sort(boundaries.begin(), boundaries.end());
    boundaries.erase(std::unique(boundaries.begin(), boundaries.end()), boundaries.end());
    return boundaries;
}

StageIndex::StageIndex(std::vector<Holding> holdings)
    : m_holdings(std::move(holdings))
{
    std::erase_if(m_holdings, [](const Holding &holding) { return holding.layers.empty(); });
    const std::vector<LayerIndex> boundaries = boundariesOf(m_holdings);
    for (std::size_t i = 0; i + 1 < boundaries.size(); ++i) {
        Segment segment{.layers = {boundaries[i], boundaries[i + 1]}};
        double sum = 0;
        for (std::uint32_t position = 0; position < m_holdings.size(); ++position) {
            if (const Holding &holding = m_holdings[position]; holding.layers.contains(segment.layers)) {
                sum += holding.weight;
                segment.holdings.push_back(position);
                segment.cumulativeWeights.push_back(sum);
            }
        }
        if (!segment.holdings.empty()) {
            m_segments.push_back(std::move(segment));
        }
    }
}

std::uint32_t StageIndex::sample(const Segment &segment, Random &random)
{
    assert(!segment.holdings.empty());
    const auto &sums = segment.cumulativeWeights;
    const double point = random.fraction() * sums.back();
    const auto found = std::upper_bound(sums.begin(), sums.end(), point);
    const auto position = std::min<std::size_t>(found - sums.begin(), sums.size() - 1);
    return segment.holdings[position];
}

} // namespace Carawaymill
