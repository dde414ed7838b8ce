#pragma once

#include "placement/PlacementMessages.h"

#include <cstdint>
#include <vector>

namespace Carawaymill {

/// Capacity of each layer of one demanded model, in total and for each failure domain. Capacity is relative to demand:
/// 1 is what each layer would have if all targets were spread evenly over all layers of all demanded models.
///
/// The value of a placement is the sum over all layers of `-1 / capacity`, once for all targets and once averaged over
/// the loss of each failure domain. It is lowest if a layer has no holder, then if the loss of one failure domain would
/// leave a layer without holder, then if a layer is slow.
class LayerCapacity
{
public:
    /// `evenTokensPerSecond` is the speed of a layer with the capacity 1.
    LayerCapacity(std::uint32_t layers, std::size_t failureDomains, double evenTokensPerSecond);

    void add(LayerRange layers, std::size_t failureDomain, double tokensPerSecond);
    void remove(LayerRange layers, std::size_t failureDomain, double tokensPerSecond);

    /// For each layer, the increase of the value if a target in `failureDomain` ran that layer at `tokensPerSecond`.
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
