#include "placement/ScopeTargets.h"

#include <algorithm>

namespace Carawaymill {

ScopeTargets::ScopeTargets(const PlacementControllerOptions &options)
    : m_targetLossGracePeriod(options.targetLossGracePeriod)
    , m_massLossGracePeriod(options.massLossGracePeriod)
    , m_massLossFraction(options.massLossFraction)
{
}

bool ScopeTargets::update(const std::vector<PlacementTarget> &listed, TimePoint now)
{
    std::map<TargetId, const PlacementTarget *> present;
    bool changed = false;
    for (const PlacementTarget &target : listed) {
        present[target.id] = &target;
        const auto [entry, added] = m_entries.try_emplace(target.id, Entry{.target = target});
        changed = changed || added || entry->second.target != target;
        entry->second = {.target = target};
    }
    for (auto &[id, entry] : m_entries) {
        if (!present.contains(id) && !entry.missingSince) {
            entry.missingSince = now;
        }
    }
    return changed;
}

bool ScopeTargets::removeLost(TimePoint now)
{
    const auto missing =
        std::count_if(m_entries.begin(), m_entries.end(), [](const auto &entry) { return entry.second.missingSince; });
    const bool massLoss = static_cast<double>(missing) > m_massLossFraction * static_cast<double>(m_entries.size());
    const Duration grace = massLoss ? m_massLossGracePeriod : m_targetLossGracePeriod;
    return std::erase_if(m_entries,
                         [&](const auto &entry) {
                             return entry.second.missingSince && now - *entry.second.missingSince >= grace;
                         })
           > 0;
}

std::vector<PlacementTarget> ScopeTargets::all() const
{
    std::vector<PlacementTarget> targets;
    for (const auto &[id, entry] : m_entries) {
        targets.push_back(entry.target);
    }
    return targets;
}

std::vector<PlacementTarget> ScopeTargets::listed() const
{
    std::vector<PlacementTarget> targets;
    for (const auto &[id, entry] : m_entries) {
        if (!entry.missingSince) {
            targets.push_back(entry.target);
        }
    }
    return targets;
}

bool ScopeTargets::isListed(const TargetId &target) const
{
    const auto entry = m_entries.find(target);
    return entry != m_entries.end() && !entry->second.missingSince;
}

} // namespace Carawaymill
