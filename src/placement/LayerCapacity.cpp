#include "placement/LayerCapacity.h"

#include <algorithm>

namespace Carawaymill {

/// Limits the cost of a layer without holder to that of about a hundred layers of capacity 1.
static constexpr double minimumCapacity = 0.01;

static double value(double capacity)
{
    return -1 / (std::max(capacity, 0.0) + minimumCapacity);
}

LayerCapacity::LayerCapacity(std::uint32_t layers, std::size_t failureDomains, double evenTokensPerSecond)
    : m_evenTokensPerSecond(evenTokensPerSecond)
    , m_failureDomains(failureDomains)
    , m_totals(layers, 0)
    , m_holders(layers, 0)
    , m_perDomain(layers * failureDomains, 0)
{
}

void LayerCapacity::change(LayerRange layers, std::size_t failureDomain, double tokensPerSecond, int holders)
{
    for (std::size_t layer = layers.first.value(); layer < layers.end.value(); ++layer) {
        m_totals[layer] += tokensPerSecond / m_evenTokensPerSecond;
        m_perDomain[layer * m_failureDomains + failureDomain] += tokensPerSecond / m_evenTokensPerSecond;
        m_holders[layer] += holders;
    }
}

void LayerCapacity::add(LayerRange layers, std::size_t failureDomain, double tokensPerSecond)
{
    change(layers, failureDomain, tokensPerSecond, 1);
}

void LayerCapacity::remove(LayerRange layers, std::size_t failureDomain, double tokensPerSecond)
{
    change(layers, failureDomain, -tokensPerSecond, -1);
}

std::vector<double> LayerCapacity::gains(std::size_t failureDomain, double tokensPerSecond) const
{
    const double added = tokensPerSecond / m_evenTokensPerSecond;
    std::vector<double> result(m_totals.size());
    for (std::size_t layer = 0; layer < m_totals.size(); ++layer) {
        const double total = m_totals[layer];
        double gain = value(total + added) - value(total);
        for (std::size_t domain = 0; domain < m_failureDomains; ++domain) {
            if (domain != failureDomain) {
                const double remaining = total - m_perDomain[layer * m_failureDomains + domain];
                gain += (value(remaining + added) - value(remaining)) / static_cast<double>(m_failureDomains);
            }
        }
        result[layer] = gain;
    }
    return result;
}

bool LayerCapacity::complete() const
{
    return std::none_of(m_holders.begin(), m_holders.end(), [](int holders) { return holders == 0; });
}

} // namespace Carawaymill
