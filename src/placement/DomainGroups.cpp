#include "placement/DomainGroups.h"

#include <algorithm>
#include <map>

namespace Carawaymill {

using Targets = std::vector<PlacementTarget>;

/// Whether the targets together have the memory for one copy of every demanded model.
static bool holdsAll(const Targets &targets, const std::vector<PlacementDemand> &demands)
{
    // Each target holds layers of a single model, so its capacity is counted once, for the model of which it can hold
    // the most layers.
    std::uint64_t needed = 0;
    std::uint64_t available = 0;
    for (const PlacementDemand &demand : demands) {
        needed += demand.layers;
    }
    for (const PlacementTarget &target : targets) {
        std::uint32_t maximum = 0;
        for (const PlacementDemand &demand : demands) {
            maximum = std::max(maximum, layersThatFit(target, demand));
        }
        available += maximum;
    }
    return available >= needed;
}

std::vector<Targets> groupByFailureDomain(const Targets &targets, const std::vector<PlacementDemand> &demands)
{
    std::map<FailureDomainId, Targets> domains;
    for (const PlacementTarget &target : targets) {
        domains[target.failureDomain].push_back(target);
    }
    std::vector<Targets> groups;
    Targets open;
    for (const auto &[domain, members] : domains) {
        open.insert(open.end(), members.begin(), members.end());
        if (holdsAll(open, demands)) {
            groups.push_back(std::move(open));
            open.clear();
        }
    }
    if (groups.empty()) {
        return {open};
    }
    groups.back().insert(groups.back().end(), open.begin(), open.end());
    return groups;
}

} // namespace Carawaymill
