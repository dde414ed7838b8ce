#pragma once

#include "support/Random.h"
#include "support/Units.h"

#include <cstdint>
#include <vector>

namespace Carawaymill {

/// A range of layers that one target holds.
struct Holding
{
    /// Position of the target in `ChainRouter::m_targets`.
    std::uint32_t target = 0;
    LayerRange layers;
    /// Relative probability with which the holding is sampled among those of a segment.
    double weight = 0;
};

/// The layers between two neighbouring boundaries of held ranges. Every holding contains either all of them or none.
struct Segment
{
    LayerRange layers;
    /// Positions in `StageIndex::holdings()`.
    std::vector<std::uint32_t> holdings;
    /// Cumulative weights of `holdings`, for sampling.
    std::vector<double> cumulativeWeights;
};

/// Index of the targets that hold the layers of one model, version and adapter, for random sampling of candidates.
///
/// The cost of a stage grows linearly with its layers, so the cheapest chain changes targets only where a held range
/// begins or ends. It is therefore enough to consider the segments between these boundaries.
class StageIndex
{
public:
    StageIndex() = default;

    /// Holdings with an empty range are ignored.
    explicit StageIndex(std::vector<Holding> holdings);

    [[nodiscard]] const std::vector<Holding> &holdings() const { return m_holdings; }

    /// In order of layers. Layers that no target holds have no segment.
    [[nodiscard]] const std::vector<Segment> &segments() const { return m_segments; }

    /// Samples a holding of the segment by weight. Returns its position in `holdings()`.
    [[nodiscard]] static std::uint32_t sample(const Segment &segment, Random &random);

private:
    std::vector<Holding> m_holdings;
    std::vector<Segment> m_segments;
};

} // namespace Carawaymill
