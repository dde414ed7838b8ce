#pragma once

#include "support/Random.h"
#include "support/Units.h"

#include <cstdint>
#include <vector>

namespace Carawaymill {

/// A range of layers that one target holds.
struct Holding
{
    /// Position of the target in the router's table.
    std::uint32_t target = 0;
    LayerRange layers;
    /// How often the holding is drawn, against the others of its segment.
    double weight = 0;
};

/// The layers between two neighbouring ends of held ranges. Every holding has either all of them or none.
struct Segment
{
    LayerRange layers;
    /// Positions in `StageIndex::holdings()`.
    std::vector<std::uint32_t> holdings;
    /// Running sum of the holdings' weights.
    std::vector<double> cumulativeWeights;
};

/// Who holds which layers of one model, version and adapter, ready for drawing candidates at random.
///
/// The cost of a stage grows linearly with its layers, so that the cheapest chain changes targets only where a held
/// range begins or ends: only these segments are looked at.
class StageIndex
{
public:
    StageIndex() = default;

    /// Empty ranges are left out.
    explicit StageIndex(std::vector<Holding> holdings);

    [[nodiscard]] const std::vector<Holding> &holdings() const { return m_holdings; }

    /// In order of layers. Layers that nobody holds have no segment.
    [[nodiscard]] const std::vector<Segment> &segments() const { return m_segments; }

    /// A holding of the segment, drawn by weight.
    [[nodiscard]] static std::uint32_t draw(const Segment &segment, Random &random);

private:
    std::vector<Holding> m_holdings;
    std::vector<Segment> m_segments;
};

} // namespace Carawaymill
