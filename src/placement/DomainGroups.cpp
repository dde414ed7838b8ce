#include "placement/DomainGroups.h"

#include <algorithm>
#include <map>

namespace Carawaymill {

using Targets = std::vector<PlacementTarget>;

/// Whether the targets have the room for every wanted model once.
static bool holdsAll(const Targets &targets, const std::vector<PlacementDemand> &demands)
{
    // Each target holds layers of one model here, so that rooms for several models add up.
    std::uint64_t needed = 0;
    std::uint64_t fitting = 0;
    for (const PlacementDemand &demand : demands) {
        needed += demand.layers;
    }
    for (const PlacementTarget &target : targets) {
        std::uint32_t most = 0;
        for (const PlacementDemand &demand : demands) {
            most = std::max(most, layersThatFit(target, demand));
        }
        fitting += most;
    }
    return fitting >= needed;
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
