#pragma once

#include "placement/PlacementMessages.h"

#include <cstdint>
#include <vector>

namespace Carawaymill {

/// Speed that each layer of one wanted model has, over all failure domains and in each, in proportion to the demand:
/// 1 means that all targets together, spread evenly over all layers of all wanted models, would give as much.
///
/// The value of a placement is the sum, over all layers, of `-1 / capacity`, for the whole fleet and averaged over the
/// loss of each failure domain. A layer with no holder costs most, then one that the loss of a failure domain would
/// leave with none, then the slowest one.
class LayerCapacity
{
public:
    /// `evenTokensPerSecond` is the speed of a layer whose capacity counts as 1.
    LayerCapacity(std::uint32_t layers, std::size_t failureDomains, double evenTokensPerSecond);

    void add(LayerRange layers, std::size_t failureDomain, double tokensPerSecond);
    void remove(LayerRange layers, std::size_t failureDomain, double tokensPerSecond);

    /// How much the value would grow by a target with so much speed on each layer, for each layer.
    [[nodiscard]] std::vector<double> gains(std::size_t failureDomain, double tokensPerSecond) const;

    /// Whether every layer has a holder.
    [[nodiscard]] bool complete() const;

    [[nodiscard]] std::uint32_t layers() const { return static_cast<std::uint32_t>(m_totals.size()); }

private:
    void change(LayerRange layers, std::size_t failureDomain, double tokensPerSecond, int holders);

    double m_evenTokensPerSecond;
    std::size_t m_failureDomains;
    std::vector<double> m_totals;
    std::vector<int> m_holders;
    /// Indexed by layer, then failure domain.
    std::vector<double> m_perDomain;
};

} // namespace Carawaymill
